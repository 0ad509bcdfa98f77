package controller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/pace"
)

// paces is what the leader knows of the pace of endpoints by the reports of all entries.
type paces struct {
	book      *pace.Book
	published pace.Publication
}

// recordPaces records an entry's observations.
func (c *Controller) recordPaces(sums []pace.Sum) {
	if !c.enabled(feature.Pace) {
		return
	}
	if len(sums) > pace.MaxSums {
		sums = sums[:pace.MaxSums]
	}
	for _, s := range sums {
		if c.planner.Knows(fleet.EndpointID(s.Endpoint)) {
			c.paces.book.Add(s)
		}
	}
}

// updatePaces judges the pace of endpoints, and publishes which are slower or faster than their peers.
func (c *Controller) updatePaces(now time.Time) {
	if !c.enabled(feature.Pace) {
		return
	}
	known := func(id string) bool { return c.planner.Knows(fleet.EndpointID(id)) }
	if !c.paces.book.Update(now, c.planner.Engines()) {
		return
	}
	c.paces.book.Retain(known)
	c.pub.setPaceStatus(c.paces.book.Status())
	before := c.paces.published.Factors()
	if !c.paces.published.Update(now, c.paces.book.Decided(), known) {
		c.pub.setPaces(before) // endpoints may hold other models than before
		return
	}
	factors := c.paces.published.Factors()
	for id, f := range factors {
		if before[id] != f {
			_, evidence := c.paces.book.Factor(id)
			c.cfg.Log.Info().Str("endpoint", id).Float64("pace", float64(f)).Float64("before", before[id].Or()).Float64("evidence", evidence).Msg("endpoint_pace")
		}
	}
	byID := make(map[fleet.EndpointID]pace.Factor, len(factors))
	for id, f := range factors {
		byID[fleet.EndpointID(id)] = f
	}
	c.planner.SetPaces(byID)
	c.pub.setPaces(factors)
	c.met.setSlowEndpoints(factors)
}

// setPaces sets the paces to publish. It wakes no call: a second more matters little for what was
// learned over several.
func (pub *publisher) setPaces(factors map[string]pace.Factor) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.paces = map[string]map[fleet.EndpointID]pace.Factor{}
	for id, f := range factors {
		addByModel(pub, pub.paces, fleet.EndpointID(id), f)
	}
}

// pacesFor returns the paces that an entry needs, if it is due to be told. The caller holds mu.
func (pub *publisher) pacesFor(now time.Time, entry ident.HostID) map[fleet.EndpointID]pace.Factor {
	if len(pub.paces) == 0 || now.Sub(pub.pacesTold[entry]) < pace.ShareInterval(pub.entries) {
		return nil
	}
	out := fleet.OfInterest(pub.interests, string(entry), pub.paces)
	if len(out) > 0 {
		pub.pacesTold[entry] = now
	}
	return out
}

// setPaceStatus sets what operators are shown.
func (pub *publisher) setPaceStatus(all []pace.Status) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.paceStatus = all
}

// PacesPath is the path of the operator API at which the paces of endpoints are read.
const PacesPath = "/v1/paces"

// ServePaces answers an operator's request with a []pace.Status. Only the leader has it.
func (c *Controller) ServePaces(x echo.Context) error {
	c.pub.mu.Lock()
	all, leads := c.pub.paceStatus, c.pub.leading
	c.pub.mu.Unlock()
	if !leads {
		return c.notLeader(x)
	}
	if all == nil {
		all = []pace.Status{}
	}
	return x.JSON(http.StatusOK, all)
}
