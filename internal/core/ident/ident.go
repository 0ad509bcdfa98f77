// Package ident defines the identifiers shared by all parts of the system:
// hosts, process incarnations, log positions, requests and replica targets.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// HostID identifies a host. It is set in the settings and does not change on restart.
type HostID string

// Zone names an availability zone. It is set in the settings.
type Zone string

// Customer names a customer as written in service records.
type Customer string

// Incarnation identifies one run of a process and increases with each start. A
// message with a lower incarnation than the highest one known comes from a process
// that no longer exists and is ignored.
type Incarnation uint64

// Group names a replicated log. At present one group holds everything. At full
// size each region has a group for replica decisions in addition to a global one
// for records (docs/CAPACITY.md), so every position includes its group.
type Group string

// DefaultGroup is the only group of a deployment that has not been split.
const DefaultGroup Group = "main"

// Index is a position in one group's replicated log. Positions are totally
// ordered and never reused, so an Index also serves as configuration version and
// as fencing token.
type Index uint64

// Position is an Index together with the group whose log it refers to.
type Position struct {
	Group Group `json:"group"`
	Index Index `json:"index"`
}

// RequestID identifies one caller request. It is unique across all entries.
type RequestID string

// Attempt identifies one attempt of a request at one endpoint.
type Attempt struct {
	Request RequestID `json:"request"`
	Number  uint32    `json:"number"`
}

// String returns the attempt as "request/number".
func (a Attempt) String() string {
	return string(a.Request) + "/" + strconv.FormatUint(uint64(a.Number), 10)
}

// Target is what a replica serves: a model version, and optionally one adapter
// version on top of it. An empty adapter means the base model itself.
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

// ParseTarget parses the form written by Target.String. Versions may be omitted; the
// caller then uses the default version of the record. It fails if the name of the
// model or adapter is empty.
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
