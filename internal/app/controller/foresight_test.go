package controller

import (
	"bytes"
	"strings"
	"testing"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// TestPreparationsAreLoggedAndCounted guards against loads that nobody can explain afterwards.
func TestPreparationsAreLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	var log, metrics bytes.Buffer
	set := vm.NewSet()
	c := New(Config{Fleet: &testFleet{}, Planner: fleet.DefaultConfig(), Log: zerolog.New(&log), Metrics: set})
	d := fleet.Prepared{Order: fleet.Order{Endpoint: "e1", Want: fleet.Want{Model: "m1"}, Source: fleet.FromStore}, Loss: "zone z1", Cost: 80}
	c.execute(fleet.Work{Prepared: []fleet.Prepared{d}, Unused: []fleet.Prepared{d}, Foreseen: &fleet.Foreseen{Short: 3}})
	is.True(strings.Contains(log.String(), `"loss":"zone z1","cost_foreseen":80,"message":"prepared_for"`))
	is.True(strings.Contains(log.String(), `"message":"preparation_unused"`))
	set.WritePrometheus(&metrics)
	for _, line := range []string{`cassiapass_fleet_preparations_total{source="store"} 1`, `cassiapass_fleet_preparations_unused_total{source="store"} 1`, `cassiapass_fleet_models_short_after_loss 3`} {
		is.True(strings.Contains(metrics.String(), line)) // line
	}
}
