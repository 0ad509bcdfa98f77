package control

import (
	"sync/atomic"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/adapter/opshttp"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
)

// metrics holds the metrics of one control host.
type metrics struct {
	set         *vm.Set
	syncs       *vm.Counter
	applied     *vm.Counter
	syncSeconds *vm.Summary
	planSeconds *vm.Summary
	turnSeconds *vm.Summary // turns of the loop
	waitSeconds *vm.Summary // waits of messages to other control hosts until they are written
	losable     atomic.Int64
}

// unknownLosable is the number of disks that may be lost as shown by hosts that do not lead.
const unknownLosable = -1

func newMetrics(s *vm.Set, count *rpc.ByteCounter, status func() consensus.Status, subscribers func() int) *metrics {
	if s == nil {
		s = vm.NewSet()
	}
	m := &metrics{
		set:         s,
		syncs:       s.NewCounter("cassiapass_control_log_syncs_total"),
		applied:     s.NewCounter("cassiapass_control_commands_applied_total"),
		syncSeconds: s.NewSummary("cassiapass_control_log_sync_seconds"),
		planSeconds: s.NewSummary("cassiapass_control_plan_seconds"),
		turnSeconds: s.NewSummary("cassiapass_control_loop_turn_seconds"),
		waitSeconds: s.NewSummary("cassiapass_control_message_wait_seconds"),
	}
	m.losable.Store(unknownLosable)
	s.NewGauge("cassiapass_control_losable_disks", func() float64 { return float64(m.losable.Load()) })
	s.NewGauge("cassiapass_control_subscribers", func() float64 { return float64(subscribers()) })
	s.NewGauge("cassiapass_control_is_leader", func() float64 {
		if status().Role == consensus.Leader {
			return 1
		}
		return 0
	})
	s.NewGauge("cassiapass_control_term", func() float64 { return float64(status().Term) })
	s.NewGauge("cassiapass_control_commit_index", func() float64 { return float64(status().Commit) })
	s.NewGauge("cassiapass_control_applied_index", func() float64 { return float64(status().Applied) })
	opshttp.RegisterByteCounters(s, count)
	return m
}
