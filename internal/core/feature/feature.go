// Package feature decides which optional parts of the system are in use. A part is in use where a
// deployment calls for it, unless an operator has set it on or off. The package does no I/O.
package feature

import (
	"fmt"
	"slices"
	"strings"
)

// Name names an optional part.
type Name string

// The optional parts.
const (
	Urgency   Name = "urgency"   // urgent requests come first where something is scarce
	Pace      Name = "pace"      // endpoints are chosen by expected finish
	Standby   Name = "standby"   // silent streams are taken from their endpoint and go on
	Backups   Name = "backups"   // with Standby: the memory of runs is copied while they run
	Foresight Name = "foresight" // replicas and copies are prepared for losses
)

// Names returns the optional parts in a fixed order.
func Names() []Name { return []Name{Urgency, Pace, Standby, Backups, Foresight} }

// Mode is an operator's setting for a part.
type Mode string

// The modes. The zero value counts as Auto.
const (
	Auto Mode = "auto" // as the deployment calls for it
	On   Mode = "on"
	Off  Mode = "off"
)

// Settings holds the modes that an operator has set. The zero value leaves all parts at Auto.
type Settings map[Name]Mode

// Parse reads settings of the form NAME=MODE.
func Parse(values []string) (Settings, error) {
	s := Settings{}
	for _, v := range values {
		name, mode, found := strings.Cut(v, "=")
		n, m := Name(name), Mode(mode)
		if !found || !slices.Contains(Names(), n) {
			return nil, fmt.Errorf("feature %q: want NAME=MODE, where NAME is one of %v", v, Names())
		}
		if m != Auto && m != On && m != Off {
			return nil, fmt.Errorf("feature %q: the mode %q is not auto, on or off", v, mode)
		}
		if _, twice := s[n]; twice {
			return nil, fmt.Errorf("feature %q is set twice", name)
		}
		s[n] = m
	}
	return s, nil
}

// Deployment is what a deployment's configuration and settings, and the answers of its endpoints,
// show about the load that it expects.
type Deployment struct {
	// Pressure is set where the platform's contracts ask for an order of urgency under overload.
	Pressure bool
	// SharedHosts is set once an endpoint reported how fast its host is at the moment: it shares
	// the host with other work, so endpoints differ in speed.
	SharedHosts bool
	// Backups and Moves are set where engines copy the memory of runs to other engines, or move runs.
	Backups bool
	Moves   bool
}

// Enabled reports whether a part is in use in a deployment. A part that endpoints cannot carry out
// is not, whatever the setting.
func (s Settings) Enabled(n Name, d Deployment) bool {
	if n == Standby && !d.Backups && !d.Moves || n == Backups && !d.Backups {
		return false
	}
	switch s[n] {
	case On:
		return true
	case Off:
		return false
	}
	switch n {
	case Urgency:
		return d.Pressure
	case Pace, Standby:
		return d.SharedHosts
	}
	return false // Backups and Foresight take engine time and loads from all requests: for operators to decide
}
