package fleet

import "github.com/cassiapass/cassiapass/internal/core/pace"

// SetPaces replaces what is known of the pace of endpoints. Those that are not named work at the
// usual pace.
func (p *Planner) SetPaces(paces map[EndpointID]pace.Factor) { p.paces = paces }

// pace returns how long work takes at an engine relative to its peers.
func (p *Planner) pace(e *engine) float64 { return p.paces[e.ep.ID].Or() }

// Engines returns how many engines are listed.
func (p *Planner) Engines() int { return len(p.engines) }
