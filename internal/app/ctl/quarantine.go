package ctl

import (
	"net/http"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

type quarantineCmd struct{ cli *cli }

// Execute implements flags.Commander.
func (x *quarantineCmd) Execute([]string) error {
	var cases []poison.Case
	if err := x.cli.call(http.MethodGet, control.QuarantinePath, nil, &cases); err != nil {
		return err
	}
	return x.cli.print(cases, func() {
		x.cli.table("FINGERPRINT\tSINCE\tKIND\tENDED UNDER IT", func(add func(string, ...any)) {
			for _, c := range cases {
				add("%s\t%s\t%s\t%s", c.Request, c.Quarantined.Format(time.RFC3339), kindOf(c), strings.Join(c.Incarnations, " "))
			}
		})
	})
}

// kindOf names what a case is about.
func kindOf(c poison.Case) string {
	if c.Part {
		return "part"
	}
	return "request"
}

type liftCmd struct {
	cli  *cli
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" description:"as quarantine and the logs name the request"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *liftCmd) Execute([]string) error {
	f, err := poison.Parse(x.Args.Fingerprint)
	if err != nil {
		return fail(ExitUsage, "%v", err)
	}
	var res state.Result
	if err := x.cli.call(http.MethodDelete, control.QuarantinePath+"/"+f.String(), nil, &res); err != nil {
		return err
	}
	return x.cli.print(res, func() { x.cli.table("LIFTED", func(add func(string, ...any)) { add("%s", f) }) })
}
