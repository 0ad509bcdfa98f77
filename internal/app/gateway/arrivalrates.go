package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// reportRates adds to the first report to a leader what earlier reports showed to the former one.
// The leader then plans with the true demand at once, instead of learning it over seconds.
func (s *syncer) reportRates(p *wire.TellParams, first bool) {
	if !s.g.enabled(feature.Foresight) {
		return
	}
	now := time.Now()
	if first {
		p.Rates = s.rates.Rates(now)
	}
	s.rates.Record(now, p.Demands)
}
