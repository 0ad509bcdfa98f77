package ctl

import (
	"fmt"
	"net/http"

	"github.com/cassiapass/cassiapass/internal/app/controller"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
)

type limitsCmd struct {
	cli     *cli
	Entries bool `long:"entries" description:"also list what each entry asks for"`
}

// Execute implements flags.Commander.
func (x *limitsCmd) Execute([]string) error {
	var all []allowance.LimitStatus
	if err := x.cli.call(http.MethodGet, controller.LimitsPath, nil, &all); err != nil {
		return err
	}
	return x.cli.print(all, func() {
		x.cli.table("ENDPOINT\tRATE/S\tNAMED\tSOURCE\tPERMITS LEFT\tASKED/S\tWAITING\tGRANTED\tENTRIES", func(add func(string, ...any)) {
			for _, s := range all {
				rate := fmt.Sprintf("%.2f", s.Rate)
				if s.Ended {
					rate = "ended"
				}
				add("%s\t%s\t%.1f s ago\t%s\t%.1f\t%.2f\t%d\t%.0f\t%d", s.Endpoint, rate, s.Age, s.Source, s.Level, s.Demand, s.Waiting, s.Granted, len(s.Entries))
			}
		})
		if x.Entries {
			x.cli.table("ENDPOINT\tENTRY\tASKED/S\tWAITING\tFALLBACK/S\tSILENT", func(add func(string, ...any)) {
				for _, s := range all {
					for _, e := range s.Entries {
						add("%s\t%s\t%.2f\t%d\t%.2f\t%t", s.Endpoint, e.Entry, e.Demand, e.Waiting, e.Fallback, e.Silent)
					}
				}
			})
		}
	})
}
