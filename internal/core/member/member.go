// Package member decides which endpoints are up, leaving or gone, from two
// sources: the leases that agents hold by their beats, and the platform's list
// of hosts, which lags.
//
// The list is never believed over a live lease: it may show an earlier life of
// the host. An endpoint is forgotten, and its memory given up, only when both
// agree: the lease ended and the host has been absent from the list for longer
// than the list may lag.
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

// Config tunes a Table.
type Config struct {
	Lease    time.Duration // an agent not heard for this long is down
	GoneWait time.Duration // absence from the list before a down endpoint is forgotten
}

// DefaultConfig allows five lost beats and half a minute of lag.
func DefaultConfig() Config {
	return Config{Lease: 5 * time.Second, GoneWait: 30 * time.Second}
}

// Table is the leader's memory of leases and of the list. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	started time.Time
	heard   map[ident.HostID]lease
	listed  map[ident.HostID]listing
	haveAny bool
}

type lease struct {
	incarnation ident.Incarnation
	at          time.Time
	since       time.Time // first beat of this incarnation
}

type listing struct {
	standing Standing
	since    time.Time
	sawLive  time.Time // when the list last showed it live
}

// New returns a Table of a leader that has just begun. Every agent counts as
// heard at that moment: a new leader must not take all of them for dead.
func New(cfg Config, now time.Time) *Table {
	return &Table{cfg: cfg, started: now, heard: map[ident.HostID]lease{}, listed: map[ident.HostID]listing{}}
}

// Heard takes in a beat.
func (t *Table) Heard(now time.Time, h ident.HostID, inc ident.Incarnation) {
	l, ok := t.heard[h]
	if ok && inc < l.incarnation {
		return // delayed, from a process that no longer exists
	}
	if !ok || inc > l.incarnation {
		l = lease{incarnation: inc, since: now}
	}
	l.at = now
	t.heard[h] = l
}

// List takes in the platform's list.
func (t *Table) List(now time.Time, hosts map[ident.HostID]Standing) {
	t.haveAny = true
	for h, s := range hosts {
		t.note(now, h, s)
	}
	for h := range t.listed {
		if _, ok := hosts[h]; !ok {
			t.note(now, h, Absent)
		}
	}
}

func (t *Table) note(now time.Time, h ident.HostID, s Standing) {
	l, ok := t.listed[h]
	if !ok || l.standing != s {
		l.standing, l.since = s, now
	}
	if s == Live {
		l.sawLive = now
	}
	t.listed[h] = l
}

// Check returns the commands that leases and list call for.
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
		return set(e, "its lease is held again"), true
	case !held && e.Up:
		e.Up = false
		return set(e, "its lease ended"), true
	case !held && t.gone(now, e.Host):
		f := &state.EndpointForget{Host: e.Host, Incarnation: e.Incarnation, Reason: "its lease ended and the platform no longer lists the host"}
		return state.Command{Forget: f}, true
	case held && !e.Leaving && t.leaving(e):
		e.Leaving = true
		return set(e, "the platform lists the host as leaving"), true
	}
	return state.Command{}, false
}

func set(e state.Endpoint, reason string) state.Command {
	return state.Command{Endpoint: &state.EndpointSet{Endpoint: e, Reason: reason}}
}

// held reports whether the endpoint's agent holds its lease.
func (t *Table) held(now time.Time, e state.Endpoint) bool {
	l, ok := t.heard[e.Host]
	if !ok {
		return e.Up && now.Sub(t.started) < t.cfg.Lease
	}
	return l.incarnation >= e.Incarnation && now.Sub(l.at) < t.cfg.Lease
}

// gone reports whether the list has lacked a host for long enough.
func (t *Table) gone(now time.Time, h ident.HostID) bool {
	if !t.haveAny {
		return false
	}
	l, ok := t.listed[h]
	if !ok {
		return now.Sub(t.started) > t.cfg.GoneWait
	}
	return l.standing == Absent && now.Sub(l.since) > t.cfg.GoneWait
}

// leaving reports whether the list shows that this life of the host is ending:
// it was listed live after the process had started, and leaving after that.
func (t *Table) leaving(e state.Endpoint) bool {
	l, ok := t.listed[e.Host]
	started := t.heard[e.Host].since
	return ok && l.standing == Leaving && l.sawLive.After(started)
}
