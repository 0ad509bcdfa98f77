// Package member decides which endpoints are up, leaving or removed, from two
// sources: the leases that agents renew with their heartbeats, and the
// platform's list of hosts, which lags.
//
// A live lease takes precedence over the list, which may show an earlier
// incarnation of the host. An endpoint is removed, and its memory released, only
// when both agree: the lease has expired and the host has been absent from the
// list for longer than the list may lag.
package member

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// Standing is a host's state in the platform's list.
type Standing string

// The standings. A host that is not listed is Absent.
const (
	Live    Standing = "live"
	Leaving Standing = "leaving"
	Absent  Standing = "absent"
)

// Config holds the parameters of a Table.
type Config struct {
	Lease    time.Duration // time without a heartbeat after which an endpoint is down
	GoneWait time.Duration // absence from the list after which a down endpoint is removed
}

// DefaultConfig tolerates five lost heartbeats and half a minute of lag of the list.
func DefaultConfig() Config {
	return Config{Lease: 5 * time.Second, GoneWait: 30 * time.Second}
}

// Table is the leader's record of leases and of the platform's list. It is not
// safe for concurrent use.
type Table struct {
	cfg          Config
	started      time.Time
	leases       map[ident.HostID]lease
	listings     map[ident.HostID]listing
	listReceived bool
}

type lease struct {
	incarnation ident.Incarnation
	renewed     time.Time
	since       time.Time // first heartbeat of this incarnation
}

type listing struct {
	standing Standing
	since    time.Time
	lastLive time.Time // when a list last showed it as live
}

// New returns a Table for a leader whose term starts now. Endpoints that are up
// count as having renewed their lease now: a new leader must not mark all of them
// down.
func New(cfg Config, now time.Time) *Table {
	return &Table{cfg: cfg, started: now, leases: map[ident.HostID]lease{}, listings: map[ident.HostID]listing{}}
}

// RenewLease renews the lease of the host's agent on a heartbeat. Heartbeats of an older
// incarnation are ignored.
func (t *Table) RenewLease(now time.Time, h ident.HostID, inc ident.Incarnation) {
	l, ok := t.leases[h]
	if ok && inc < l.incarnation {
		return // delayed, from a process that no longer exists
	}
	if !ok || inc > l.incarnation {
		l = lease{incarnation: inc, since: now}
	}
	l.renewed = now
	t.leases[h] = l
}

// UpdateList records a new copy of the platform's list.
func (t *Table) UpdateList(now time.Time, hosts map[ident.HostID]Standing) {
	t.listReceived = true
	for h, s := range hosts {
		t.update(now, h, s)
	}
	for h := range t.listings {
		if _, ok := hosts[h]; !ok {
			t.update(now, h, Absent)
		}
	}
}

func (t *Table) update(now time.Time, h ident.HostID, s Standing) {
	l, ok := t.listings[h]
	if !ok || l.standing != s {
		l.standing, l.since = s, now
	}
	if s == Live {
		l.lastLive = now
	}
	t.listings[h] = l
}

// Check returns the commands that update endpoints according to the leases and the
// list.
func (t *Table) Check(now time.Time, endpoints []state.Endpoint) []state.Command {
	var cmds []state.Command
	for _, e := range endpoints {
		if c, ok := t.check(now, e); ok {
			cmds = append(cmds, c)
		}
	}
	return cmds
}

func (t *Table) check(now time.Time, e state.Endpoint) (state.Command, bool) {
	held := t.held(now, e)
	switch {
	case held && !e.Up:
		e.Up = true
		return endpointCommand(e, "its lease is held again"), true
	case !held && e.Up:
		e.Up = false
		return endpointCommand(e, "its lease ended"), true
	case !held && t.delisted(now, e.Host):
		f := &state.EndpointRemoval{Host: e.Host, Incarnation: e.Incarnation, Reason: "its lease ended and the platform no longer lists the host"}
		return state.Command{Forget: f}, true
	case held && !e.Leaving && t.leaving(e):
		e.Leaving = true
		return endpointCommand(e, "the platform lists the host as leaving"), true
	}
	return state.Command{}, false
}

func endpointCommand(e state.Endpoint, reason string) state.Command {
	return state.Command{Endpoint: &state.EndpointUpdate{Endpoint: e, Reason: reason}}
}

// held reports whether the endpoint's agent holds its lease.
func (t *Table) held(now time.Time, e state.Endpoint) bool {
	l, ok := t.leases[e.Host]
	if !ok {
		return e.Up && now.Sub(t.started) < t.cfg.Lease
	}
	return l.incarnation >= e.Incarnation && now.Sub(l.renewed) < t.cfg.Lease
}

// delisted reports whether a host has been absent from the list for longer than
// GoneWait.
func (t *Table) delisted(now time.Time, h ident.HostID) bool {
	if !t.listReceived {
		return false
	}
	l, ok := t.listings[h]
	if !ok {
		return now.Sub(t.started) > t.cfg.GoneWait
	}
	return l.standing == Absent && now.Sub(l.since) > t.cfg.GoneWait
}

// leaving reports whether the list shows that this incarnation of the host is
// leaving: it was listed as live after the process had started, and is listed as
// leaving now.
func (t *Table) leaving(e state.Endpoint) bool {
	l, ok := t.listings[e.Host]
	started := t.leases[e.Host].since
	return ok && l.standing == Leaving && l.lastLive.After(started)
}
