package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// TestFirstReportToALeaderNamesRates guards against a new leader that learns over seconds what is busy.
// Where the part is not in use, reports are as before.
func TestFirstReportToALeaderNamesRates(t *testing.T) {
	for _, mode := range []feature.Mode{feature.On, feature.Off} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			l := newTestLeader(t)
			cfg := testConfig()
			cfg.Control, cfg.Features = []string{l.srv.Addr()}, feature.Settings{feature.Foresight: mode}
			g, err := New(cfg)
			is.NoErr(err)
			t.Cleanup(g.Kill)
			firstReport := func(of func(r wire.TellParams) bool) wire.TellParams {
				t.Helper()
				for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
					for _, r := range l.reports() {
						if of(r) {
							return r
						}
					}
				}
				t.Fatal("no such report")
				return wire.TellParams{}
			}
			arrived := func(n int) func(wire.TellParams) bool {
				return func(r wire.TellParams) bool { return len(r.Demands) == 1 && r.Demands[0].Arrived == n }
			}
			arrive := func(n int) {
				g.demands.mu.Lock()
				defer g.demands.mu.Unlock()
				g.demands.forWant(fleet.Want{Model: "m"}).arrived += n
			}
			arrive(5)
			is.Equal(firstReport(arrived(5)).Rates, nil) // nothing has been reported before
			g.sync.mu.Lock()
			conn := g.sync.conn
			g.sync.mu.Unlock()
			conn.Close()
			if mode == feature.Off {
				arrive(7)
				is.Equal(firstReport(arrived(7)).Rates, nil)
				return
			}
			rates := firstReport(func(r wire.TellParams) bool { return r.Rates != nil }).Rates
			is.Equal(len(rates.Models), 1)
			is.Equal(rates.Models[0].Model, "m")
			is.True(rates.Models[0].Rate > 0.8) // 5 * ln 2 / 4 s
		})
	}
}
