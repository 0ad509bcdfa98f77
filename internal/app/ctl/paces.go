package ctl

import (
	"net/http"

	"github.com/cassiapass/cassiapass/internal/app/controller"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

type pacesCmd struct{ cli *cli }

// Execute implements flags.Commander.
func (x *pacesCmd) Execute([]string) error {
	var all []pace.Status
	if err := x.cli.call(http.MethodGet, controller.PacesPath, nil, &all); err != nil {
		return err
	}
	return x.cli.print(all, func() {
		x.cli.table("ENDPOINT\tIN FORCE\tESTIMATE\tEVIDENCE\tPROOF", func(add func(string, ...any)) {
			for _, s := range all {
				add("%s\t%.2f\t%.2f\t%.0f\t%.0f %%", s.Endpoint, s.Factor, s.Estimate, s.Evidence, 100*s.Proof)
			}
		})
	})
}
