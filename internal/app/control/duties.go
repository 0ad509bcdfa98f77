package control

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/member"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/port"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	leaseCheckInterval = 500 * time.Millisecond
	expireInterval     = 10 * time.Second
)

// duties holds what a control host does only while it leads: placement, leases of
// processes, and expiry of claims and quarantines. It is set up again in each term that
// this host leads.
type duties struct {
	log            zerolog.Logger
	cfg            placement.Config
	leases         member.Config
	term           uint64 // term in which duties are carried out, 0 while not leading
	planner        *placement.Planner
	table          *member.Table
	entrySeen      map[ident.HostID]time.Time
	lastLeaseCheck time.Time
	lastExpiry     time.Time
	hosts          []port.Host // latest list from the platform
	listed         bool
}

// tick runs the tasks that are due. It runs in the loop.
func (d *duties) tick(now time.Time, l *loop) {
	if !l.node.LeaderCaughtUp() {
		if d.term != 0 && !l.node.IsLeader() {
			d.term = 0
			l.log.Info().Uint64("term", l.node.Term()).Msg("leadership_lost")
		}
		return
	}
	if d.term != l.node.Term() {
		d.beginTerm(now, l)
	}
	if now.Sub(d.lastLeaseCheck) >= leaseCheckInterval {
		d.lastLeaseCheck = now
		d.processLocalBeats(now, l)
		for _, c := range d.table.Check(now, l.st.Endpoints()) {
			l.proposeInternal(c)
		}
	}
	if now.Sub(d.lastExpiry) >= expireInterval {
		d.lastExpiry = now
		if l.st.Claims() > 0 {
			l.proposeInternal(state.Command{Expire: &state.Expire{}})
		}
	}
	d.plan(now, l)
}

func (d *duties) beginTerm(now time.Time, l *loop) {
	d.term = l.node.Term()
	d.planner = placement.New(d.cfg, now)
	d.table = member.New(d.leases, now)
	d.entrySeen = map[ident.HostID]time.Time{}
	if d.listed {
		d.table.UpdateList(now, platformHosts(d.hosts))
	}
	l.log.Info().Uint64("term", d.term).Uint64("index", uint64(l.st.Index())).Msg("leadership_taken")
}

// plan runs the planner and proposes its commands.
func (d *duties) plan(now time.Time, l *loop) {
	begin := time.Now()
	for _, c := range d.planner.Plan(now, l.st) {
		l.proposeInternal(c)
	}
	l.met.planSeconds.UpdateDuration(begin)
}

// processLocalBeats processes the beats of this host's own subscribers.
func (d *duties) processLocalBeats(now time.Time, l *loop) {
	d.processBeats(now, l, l.hub.takeBeats())
	l.hub.setEntries(d.liveEntries(now))
}

// processBeats records entries as live, renews the leases of agents and passes their
// reports to the planner.
func (d *duties) processBeats(now time.Time, l *loop, beats []wire.Beat) {
	if d.term == 0 {
		return
	}
	for _, b := range beats {
		if b.Process.Role == wire.RoleEntry {
			d.entrySeen[b.Process.Host] = now
			continue
		}
		d.table.RenewLease(now, b.Process.Host, b.Process.Incarnation)
		if b.Report != nil {
			d.planner.Report(now, l.st, *b.Report)
		}
	}
}

// liveEntries counts the entries whose last beat is within the lease, and removes the others.
func (d *duties) liveEntries(now time.Time) int {
	n := 0
	for h, at := range d.entrySeen {
		if now.Sub(at) > d.leases.Lease {
			delete(d.entrySeen, h)
			continue
		}
		n++
	}
	return n
}

// handleDemand passes the demand of an entry to the planner and returns estimates.
func (d *duties) handleDemand(now time.Time, l *loop, p wire.DemandParams) wire.DemandResult {
	for _, in := range p.Demands {
		dm := in.Demand
		dm.Deadline = now.Add(in.Within)
		d.planner.Demand(now, l.st, dm)
	}
	d.plan(now, l)
	var out wire.DemandResult
	for _, in := range p.Demands {
		out.Estimates = append(out.Estimates, d.estimate(now, l.st, in.Demand.Target))
	}
	return out
}

func (d *duties) estimate(now time.Time, st *state.State, t ident.Target) wire.EstimateIn {
	e, ok := d.planner.Estimate(now, st, t)
	if !ok || e.Ready.IsZero() {
		return wire.EstimateIn{Target: t, Reason: e.Reason}
	}
	return wire.EstimateIn{Target: t, Known: true, In: max(0, e.Ready.Sub(now)), Reason: e.Reason}
}

// applied passes the result of an applied command to the planner.
func (d *duties) applied(c state.Command, res state.Result) {
	if d.planner != nil {
		d.planner.Applied(c, res)
	}
}

// setHosts replaces the host list from the platform.
func (d *duties) setHosts(now time.Time, hosts []port.Host) {
	d.hosts, d.listed = hosts, true
	if d.term != 0 {
		d.table.UpdateList(now, platformHosts(hosts))
	}
}

func platformHosts(hosts []port.Host) map[ident.HostID]member.Standing {
	out := make(map[ident.HostID]member.Standing, len(hosts))
	for _, h := range hosts {
		out[h.ID] = member.Live
		if h.State == port.HostLeaving {
			out[h.ID] = member.Leaving
		}
	}
	return out
}
