package controller

import (
	"fmt"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// logPrepared logs and counts what a plan prepared for losses, and the preparations that no request
// has used.
func (c *Controller) logPrepared(w fleet.Work) {
	for _, d := range w.Prepared {
		c.met.countPrepared(d)
		c.cfg.Log.Info().Str("endpoint", string(d.Endpoint)).Str("model", d.Want.Model).Str("source", string(d.Source)).Str("loss", d.Loss).
			Float64("cost_foreseen", d.Cost).Msg("prepared_for")
	}
	for _, d := range w.Unused {
		c.met.countUnusedPreparation(d)
		c.cfg.Log.Info().Str("endpoint", string(d.Endpoint)).Str("model", d.Want.Model).Str("source", string(d.Source)).Str("loss", d.Loss).Msg("preparation_unused")
	}
	if w.Foreseen != nil {
		c.met.setShort(w.Foreseen.Short)
	}
}

// countPrepared counts a load that was ordered for a loss that may come.
func (m *metrics) countPrepared(d fleet.Prepared) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cassiapass_fleet_preparations_total{source=%q}`, d.Source)).Inc()
}

// countUnusedPreparation counts a preparation that no request used in time.
func (m *metrics) countUnusedPreparation(d fleet.Prepared) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cassiapass_fleet_preparations_unused_total{source=%q}`, d.Source)).Inc()
}

// setShort sets how many models the worst single loss would leave short of engines.
func (m *metrics) setShort(n int) {
	m.set.GetOrCreateGauge("cassiapass_fleet_models_short_after_loss", nil).Set(float64(n))
}
