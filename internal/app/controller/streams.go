package controller

import (
	"context"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// noteInterval is the minimum time between two notes of begun streams in the log: what has begun
	// since the last one is not known after all processes have ended.
	noteInterval = 50 * time.Millisecond
	// maxNoted bounds the streams of one note: 90 kB.
	maxNoted = 4096
)

// streamOrigins is what this leader knows of which releases began streams. Calls are answered outside
// the controller's loop. A new leader begins with the releases and streams that the log names; entries
// report again which streams they know.
type streamOrigins struct {
	wait time.Duration // of release.Settlement

	mu         sync.Mutex
	leading    bool
	origins    release.Origins
	told       release.Origins // by entries that reached no leader; also while this host does not lead
	history    release.History
	settlement *release.Settlement
	logged     loggedReleases // newest in the log, as far as this leader knows
	committing bool           // a commit is under way
	unnoted    []release.Origin
	notedAt    time.Time
	noting     bool // a note is under way
}

// loggedReleases is what the log says of releases.
type loggedReleases struct {
	served, settled release.Served
	by              *release.Settlement // of the leadership that commits it
}

func (s *streamOrigins) startLeading(now time.Time, served, settled release.Served, noted release.Origins) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading, s.origins, s.history, s.logged, s.committing = true, noted.From(now), release.History{}, loggedReleases{served: served, settled: settled}, false
	s.unnoted, s.noting = nil, false
	s.told.All(func(id release.StreamID, n release.Name) { s.began(now, release.Origin{Stream: id, Release: n}) })
	s.settlement = release.NewSettlement(now, s.wait, served, settled)
	for service, names := range served {
		s.history.Heard(now, service, names...)
	}
}

// due returns what the log should name, and whether it is to be committed now.
func (s *streamOrigins) due(now time.Time) (loggedReleases, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading || s.committing {
		return loggedReleases{}, false
	}
	served := s.history.Served()
	s.settlement.Observe(now, served)
	r := loggedReleases{served: served, settled: s.settlement.Settled(now), by: s.settlement}
	if r.served.Equal(s.logged.served) && r.settled.Equal(s.logged.settled) {
		return loggedReleases{}, false
	}
	s.committing = true
	return r, true
}

func (s *streamOrigins) committed(r loggedReleases, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.by != s.settlement {
		return // of an earlier leadership
	}
	s.committing = false
	if err == nil {
		s.logged = r
	}
}

func (s *streamOrigins) isCommitting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committing
}

// streamNote is what a leadership is to note in the log.
type streamNote struct {
	origins []release.Origin
	by      *release.Settlement // of that leadership
}

// takeUnnoted returns the streams to note in the log now, if there are any.
func (s *streamOrigins) takeUnnoted(now time.Time) (streamNote, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading || s.noting || len(s.unnoted) == 0 || now.Sub(s.notedAt) < noteInterval {
		return streamNote{}, false
	}
	n := min(len(s.unnoted), maxNoted)
	note := streamNote{s.unnoted[:n:n], s.settlement}
	s.unnoted, s.notedAt, s.noting = s.unnoted[n:], now, true
	return note, true
}

// noted records how a note ended. One that may not be in the log is repeated.
func (s *streamOrigins) noted(n streamNote, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.by != s.settlement {
		return
	}
	s.noting = false
	if err != nil {
		s.unnoted = append(n.origins, s.unnoted...)
	}
}

// noteStreams notes in the log which releases began streams, so that it is known after all processes
// have ended.
func (c *Controller) noteStreams(now time.Time) {
	n, due := c.streams.takeUnnoted(now)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
		defer cancel()
		err := c.host.CommitStreams(ctx, release.NoteOf(n.origins))
		c.streams.noted(n, err)
		if err != nil {
			c.cfg.Log.Warn().Int("streams", len(n.origins)).Err(err).Msg("streams_not_noted")
			return
		}
		c.met.countNoted(len(n.origins))
	}()
}

// settled returns the releases at which streams may begin: those that the log names as settled.
func (s *streamOrigins) settled() release.Served {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logged.settled
}

// commitReleases notes in the log which releases serve and at which streams may begin, if that has
// changed.
func (c *Controller) commitReleases(now time.Time) {
	r, due := c.streams.due(now)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
		defer cancel()
		err := c.host.CommitReleases(ctx, r.served, r.settled)
		c.streams.committed(r, err)
		c.cfg.Log.Info().Int("services", len(r.served)).Interface("releases", r.served).Interface("settled", r.settled).Err(err).Msg("releases_noted")
		c.post(func(time.Time) {}) // has it published
	}()
}

// markSettled marks the endpoints at whose releases no streams may begin yet.
func (c *Controller) markSettled(eps []fleet.Endpoint) []fleet.Endpoint {
	for i, e := range eps {
		eps[i].Unsettled = !c.published.Has(e.Service, e.Release)
	}
	return eps
}

func (s *streamOrigins) stopLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = false
}

// listed records the releases of the listed endpoints. asOf is when the read of the list began.
func (s *streamOrigins) listed(now, asOf time.Time, eps []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string][]release.Name{}
	for _, e := range eps {
		release.ByService(names, e.Service, e.Release)
	}
	s.history.Listed(now, asOf, names)
}

// report applies an entry's report and answers its question.
func (s *streamOrigins) report(now time.Time, p wire.StreamParams) wire.StreamResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return s.remember(now, p)
	}
	for _, b := range p.Began {
		s.began(now, b)
	}
	for service, names := range p.Served {
		s.history.Heard(now, service, names...)
	}
	r := wire.StreamResult{Leading: true}
	if p.Find != nil {
		r.Release, r.Known = s.origins.Find(now, *p.Find)
		r.Served = s.history.Names(p.Service)
	}
	return r
}

// began records the origin of a stream, and that the log is to name it. The caller holds mu.
func (s *streamOrigins) began(now time.Time, o release.Origin) {
	if s.origins.Began(now, o.Stream, o.Release) {
		s.unnoted = append(s.unnoted, o)
	}
}

// remember applies a report, and answers a question, while this host does not lead. The caller holds mu.
func (s *streamOrigins) remember(now time.Time, p wire.StreamParams) wire.StreamResult {
	for _, b := range p.Began {
		s.told.Began(now, b.Stream, b.Release)
	}
	var r wire.StreamResult
	if p.Find != nil {
		r.Release, r.Known = s.told.Find(now, *p.Find)
	}
	return r
}

// findStream applies an entry's report and answers its question. That a stream is not known is said only
// while a quorum confirms that this host leads: a later leader may know releases that it does not.
func (c *Controller) findStream(ctx context.Context, p wire.StreamParams) (wire.StreamResult, error) {
	r := c.streams.report(time.Now(), p)
	if p.Find == nil || r.Known {
		return r, nil
	}
	if !r.Leading && c.host == nil {
		return r, nil // still starting
	}
	if !r.Leading {
		// What the log names is true whoever reads it, however late.
		r.Release, r.Known = c.host.FindStream(*p.Find)
		return r, nil
	}
	l := c.host.LeaderStatus()
	if err := c.host.ConfirmLeadership(ctx, l.Term); err != nil {
		return wire.StreamResult{}, nil // the caller asks again elsewhere
	}
	return c.streams.report(time.Now(), wire.StreamParams{Find: p.Find, Service: p.Service}), nil
}
