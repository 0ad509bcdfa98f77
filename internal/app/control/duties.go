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
	leaseCheck  = 500 * time.Millisecond
	expireEvery = 10 * time.Second
)

// duties is what a control host does only while it leads: placement, leases of
// processes and expiry. Everything in it is made anew at each change of leader.
type duties struct {
	log     zerolog.Logger
	cfg     placement.Config
	leases  member.Config
	leading uint64 // term in which duties are carried out, 0 while not leading
	planner *placement.Planner
	table   *member.Table
	entries map[ident.HostID]time.Time
	checked time.Time
	expired time.Time
	hosts   []port.Host // newest list from the platform
	listed  bool
}

// tick carries out what is due. It runs in the loop.
func (d *duties) tick(now time.Time, l *loop) {
	if !l.node.LeadsSettled() {
		if d.leading != 0 && !l.node.IsLeader() {
			d.leading = 0
			l.log.Info().Uint64("term", l.node.Term()).Msg("leadership_lost")
		}
		return
	}
	if d.leading != l.node.Term() {
		d.begin(now, l)
	}
	if now.Sub(d.checked) >= leaseCheck {
		d.checked = now
		d.forwardOwn(now, l)
		for _, c := range d.table.Check(now, l.st.Endpoints()) {
			l.proposeQuietly(c)
		}
	}
	if now.Sub(d.expired) >= expireEvery {
		d.expired = now
		if l.st.Claims() > 0 {
			l.proposeQuietly(state.Command{Expire: &state.Expire{}})
		}
	}
	d.plan(now, l)
}

func (d *duties) begin(now time.Time, l *loop) {
	d.leading = l.node.Term()
	d.planner = placement.New(d.cfg, now)
	d.table = member.New(d.leases, now)
	d.entries = map[ident.HostID]time.Time{}
	if d.listed {
		d.table.List(now, platformHosts(d.hosts))
	}
	l.log.Info().Uint64("term", d.leading).Uint64("index", uint64(l.st.Index())).Msg("leadership_taken")
}

// plan lets the planner decide and proposes its commands.
func (d *duties) plan(now time.Time, l *loop) {
	begin := time.Now()
	for _, c := range d.planner.Plan(now, l.st) {
		l.proposeQuietly(c)
	}
	l.met.planSeconds.UpdateDuration(begin)
}

// forwardOwn takes in the beats of this host's own subscribers.
func (d *duties) forwardOwn(now time.Time, l *loop) {
	d.hear(now, l, l.hub.takeBeats())
	l.hub.setEntries(d.liveEntries(now))
}

// hear takes in signs of life and reports.
func (d *duties) hear(now time.Time, l *loop, beats []wire.Beat) {
	if d.leading == 0 {
		return
	}
	for _, b := range beats {
		if b.Process.Role == wire.RoleEntry {
			d.entries[b.Process.Host] = now
			continue
		}
		d.table.Heard(now, b.Process.Host, b.Process.Incarnation)
		if b.Report != nil {
			d.planner.Report(now, l.st, *b.Report)
		}
	}
}

// liveEntries counts the entries heard recently.
func (d *duties) liveEntries(now time.Time) int {
	n := 0
	for h, at := range d.entries {
		if now.Sub(at) > d.leases.Lease {
			delete(d.entries, h)
			continue
		}
		n++
	}
	return n
}

// demand takes in what waits at an entry and answers with estimates.
func (d *duties) demand(now time.Time, l *loop, p wire.DemandParams) wire.DemandResult {
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

// applied lets the planner follow its commands through the log.
func (d *duties) applied(c state.Command, res state.Result) {
	if d.planner != nil {
		d.planner.Applied(c, res)
	}
}

// list takes in the platform's host list.
func (d *duties) list(now time.Time, hosts []port.Host) {
	d.hosts, d.listed = hosts, true
	if d.leading != 0 {
		d.table.List(now, platformHosts(hosts))
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
