package ctl

import (
	"net/http"

	"github.com/cassiapass/cassiapass/internal/app/controller"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
)

type allowancesCmd struct {
	cli     *cli
	Entries bool `long:"entries" description:"also list each customer's part at each entry"`
}

// Execute implements flags.Commander.
func (x *allowancesCmd) Execute([]string) error {
	var all []allowance.Status
	if err := x.cli.call(http.MethodGet, controller.AllowancesPath, nil, &all); err != nil {
		return err
	}
	return x.cli.print(all, func() {
		x.cli.table("CUSTOMER\tRATE/S\tBURST\tIN BUCKET\tASKED/S\tADMITTED\tREFUSED SO FAR\tENTRIES", func(add func(string, ...any)) {
			for _, s := range all {
				add("%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f %%\t%.0f\t%d", s.Customer, s.Rate, s.Burst, s.Level, s.Demand, 100*s.Chance, max(s.Asked-s.Used, 0), len(s.Entries))
			}
		})
		if x.Entries {
			x.cli.table("CUSTOMER\tENTRY\tASKED/S\tFALLBACK/S\tREPORTED\tSILENT", func(add func(string, ...any)) {
				for _, s := range all {
					for _, e := range s.Entries {
						add("%s\t%s\t%.0f\t%.0f\t%.1f s ago\t%t", s.Customer, e.Entry, e.Demand, e.Fallback, e.Age, e.Silent)
					}
				}
			})
		}
	})
}
