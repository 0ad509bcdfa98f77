// Package ident holds the identifiers that every part of the system shares:
// hosts, process incarnations, log positions, requests and replica targets.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// HostID names a host. It comes from settings and survives restarts.
type HostID string

// Zone names an availability zone. It comes from settings.
type Zone string

// Customer names a customer as written in service records.
type Customer string

// Incarnation is new at each start of a process. A message that carries an
// older incarnation than the newest one known comes from a process that no
// longer exists and is ignored.
type Incarnation uint64

// Group names a replicated log. Today one group holds everything; at full
// size each region has a group for replica decisions beside a global one for
// records (docs/CAPACITY.md), so every position carries its group.
type Group string

// DefaultGroup is the only group of a deployment that has not been split.
const DefaultGroup Group = "main"

// Index is a position in one group's replicated log. Positions are totally
// ordered and never reused, so an Index serves as configuration version and as
// fencing number.
type Index uint64

// Position is an Index together with the group whose log it counts.
type Position struct {
	Group Group `json:"group"`
	Index Index `json:"index"`
}

// RequestID names one caller request. It is unique over all entries.
type RequestID string

// Attempt names one try of a request at one endpoint.
type Attempt struct {
	Request RequestID `json:"request"`
	Number  uint32    `json:"number"`
}

// String returns the attempt as "request/number".
func (a Attempt) String() string {
	return string(a.Request) + "/" + strconv.FormatUint(uint64(a.Number), 10)
}

// Target is what a replica serves: a model version, and optionally one adapter
// version on top of it. The zero adapter means the base model itself.
type Target struct {
	Model          string `json:"model"`
	Version        string `json:"version"`
	Adapter        string `json:"adapter,omitempty"`
	AdapterVersion string `json:"adapterVersion,omitempty"`
}

// Base returns the target without its adapter.
func (t Target) Base() Target {
	return Target{Model: t.Model, Version: t.Version}
}

// IsAdapter reports whether the target is an adapter on a base model.
func (t Target) IsAdapter() bool { return t.Adapter != "" }

// String returns the caller-facing model name: "model@version" or
// "model@version:adapter@version".
func (t Target) String() string {
	if t.Model == "" {
		return ""
	}
	s := t.Model + "@" + t.Version
	if t.IsAdapter() {
		s += ":" + t.Adapter + "@" + t.AdapterVersion
	}
	return s
}

// ParseTarget reads the form written by Target.String. Versions may be left
// out; the caller then picks the default version of the record.
func ParseTarget(s string) (Target, error) {
	base, adapter, hasAdapter := strings.Cut(s, ":")
	var t Target
	t.Model, t.Version, _ = strings.Cut(base, "@")
	if t.Model == "" {
		return Target{}, fmt.Errorf("model %q: the name before '@' is empty", s)
	}
	if !hasAdapter {
		return t, nil
	}
	t.Adapter, t.AdapterVersion, _ = strings.Cut(adapter, "@")
	if t.Adapter == "" {
		return Target{}, fmt.Errorf("model %q: the adapter after ':' is empty", s)
	}
	return t, nil
}
