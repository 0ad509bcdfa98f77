package ctl

import (
	"net/http"
	"strings"

	"github.com/cassiapass/cassiapass/internal/app/controller"
	"github.com/cassiapass/cassiapass/internal/core/notice"
)

type noticesCmd struct{ cli *cli }

// Execute implements flags.Commander.
func (x *noticesCmd) Execute([]string) error {
	var all []notice.Status
	if err := x.cli.call(http.MethodGet, controller.NoticesPath, nil, &all); err != nil {
		return err
	}
	return x.cli.print(all, func() {
		x.cli.table("ENDPOINT\tPAUSE LEFT\tASKED OF\tREFUSES\tLEAVING\tHEARD BY", func(add func(string, ...any)) {
			for _, s := range all {
				add("%s\t%.1f s\t%s\t%s\t%t\t%s", s.Endpoint, s.Pause.Seconds(), strings.Join(s.Paused, " "), strings.Join(s.Refusing, " "), s.Leaving, strings.Join(s.HeardBy, " "))
			}
		})
	})
}
