package controller

import (
	"context"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// streamOrigins is what this leader knows of which releases began streams. Calls are answered outside
// the controller's loop. A new leader begins with the releases that the log names; entries report again
// which streams they know.
type streamOrigins struct {
	mu      sync.Mutex
	leading bool
	origins release.Origins
	history release.History
	logged  release.Served // newest in the log, as far as this leader knows
	// committing is set while a commit is under way.
	committing bool
}

func (s *streamOrigins) startLeading(now time.Time, logged release.Served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading, s.origins, s.history, s.logged, s.committing = true, release.Origins{}, release.History{}, logged, false
	for service, names := range logged {
		s.history.Listed(now, service, names...)
	}
}

// due returns the releases that the log should name, and whether they are to be committed now.
func (s *streamOrigins) due(now time.Time) (release.Served, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served := s.history.Served(now)
	if !s.leading || s.committing || served.Equal(s.logged) {
		return nil, false
	}
	s.committing = true
	return served, true
}

func (s *streamOrigins) committed(r release.Served, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = false
	if err == nil {
		s.logged = r
	}
}

// commitReleases notes in the log which releases serve, if that has changed.
func (c *Controller) commitReleases(now time.Time) {
	served, due := c.streams.due(now)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
		defer cancel()
		err := c.host.CommitReleases(ctx, served)
		c.streams.committed(served, err)
		c.cfg.Log.Info().Int("services", len(served)).Interface("releases", served).Err(err).Msg("releases_noted")
	}()
}

func (s *streamOrigins) stopLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = false
}

// listed records the releases of the listed endpoints.
func (s *streamOrigins) listed(now time.Time, eps []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string][]release.Name{}
	for _, e := range eps {
		release.ByService(names, e.Service, e.Release)
	}
	for service, ns := range names {
		s.history.Listed(now, service, ns...)
	}
}

// report applies an entry's report and answers its question.
func (s *streamOrigins) report(now time.Time, p wire.StreamParams) wire.StreamResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return wire.StreamResult{}
	}
	for _, b := range p.Began {
		s.origins.Began(now, b.Stream, b.Release)
	}
	for service, names := range p.Served {
		s.history.Listed(now, service, names...)
	}
	r := wire.StreamResult{Leading: true}
	if p.Find != nil {
		r.Release, r.Known = s.origins.Find(now, *p.Find)
		r.Served = s.history.Names(now, p.Service)
	}
	return r
}
