package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// streamReportDelay is how long a report of begun streams waits to include further ones. Their
	// callers come back at other entries once this one has ended.
	streamReportDelay = 10 * time.Millisecond
	// releaseRefresh is the interval at which the releases in service are recorded and, where there
	// are several, reported.
	releaseRefresh = time.Second
	// findTimeout bounds the question to the leader which release began a stream.
	findTimeout = 300 * time.Millisecond
)

// streams knows which releases began the streams that this entry passed on, and tells the leader while
// a service has several.
type streams struct {
	g      *Gateway
	signal chan struct{} // signalled when there is something to report
	others *otherHosts

	mu       sync.Mutex
	origins  release.Origins
	history  release.History
	services map[string]bool  // to whether they have several releases
	pending  []release.Origin // not reported yet
	resend   bool             // everything is due: several releases have begun to serve, or another leader leads
	mark     uint64           // term of the leader that was told
}

func newStreams(g *Gateway) *streams {
	return &streams{g: g, signal: make(chan struct{}, 1), others: newOtherHosts(g), services: map[string]bool{}}
}

// listed records the releases of the endpoints that are known from lists. asOf is an instant before the
// newest of these was read; zero if it is not known.
func (s *streams) listed(now, asOf time.Time, eps map[fleet.EndpointID]*endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string][]release.Name{}
	for _, e := range eps {
		if !e.removed {
			release.ByService(names, e.Service, e.Release)
		}
	}
	s.history.Listed(now, asOf, names)
	for service := range names {
		if _, known := s.services[service]; !known {
			s.services[service] = false
		}
	}
	s.findSeveral()
}

// findSeveral looks which services have several releases. The caller holds mu.
func (s *streams) findSeveral() {
	for service, was := range s.services {
		several := len(s.history.Names(service)) > 1
		s.services[service] = several
		if several && !was {
			s.resend = true
			s.signalReport()
		}
	}
}

func (s *streams) signalReport() {
	select {
	case s.signal <- struct{}{}:
	default: // a report is pending already
	}
}

// began records that a release sent the first event of a stream.
func (s *streams) began(now time.Time, id, service string, name release.Name) {
	if key, named := s.g.suspects.fingerprint([]byte("stream"), []byte(id)); named {
		s.remember(now, key, service, name)
	}
}

func (s *streams) remember(now time.Time, key release.StreamID, service string, name release.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Began(now, key, name)
	if s.services[service] {
		s.pending = append(s.pending, release.Origin{Stream: key, Release: name})
		s.signalReport()
	}
}

// run reports to the leader until the gateway stops.
func (s *streams) run(ctx context.Context) {
	t := time.NewTicker(releaseRefresh)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.signal:
			time.Sleep(streamReportDelay)
		case <-t.C:
			s.g.dir.recordReleases()
		}
		s.report()
	}
}

// report reports to the leader what it may not know. Without a leader, other control hosts are told of
// new streams, and the next leader of all.
func (s *streams) report() {
	conn := s.g.sync.leader()
	if conn == nil {
		s.others.tell(s.takePending())
		return
	}
	s.others.closeAll()
	p := s.due(s.g.dir.leaderTerm())
	if len(p.Began) == 0 && len(p.Served) == 0 {
		return
	}
	if err := conn.Notify(wire.MethodStreams, p); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resend = true
	}
}

// takePending returns the streams that were not reported yet.
func (s *streams) takePending() []release.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pending
	if len(out) > 0 {
		s.pending, s.resend = nil, true
	}
	return out
}

// due returns what is to be reported to the leader of a term.
func (s *streams) due(term uint64) wire.StreamParams {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := wire.StreamParams{Host: s.g.cfg.Host, Began: s.pending}
	for service, several := range s.services {
		if several {
			if p.Served == nil {
				p.Served = map[string][]release.Name{}
			}
			p.Served[service] = s.history.Names(service)
		}
	}
	if p.Served != nil && (s.resend || s.mark != term) {
		p.Began = nil
		s.origins.All(func(id release.StreamID, n release.Name) {
			p.Began = append(p.Began, release.Origin{Stream: id, Release: n})
		})
	}
	s.pending, s.resend, s.mark = nil, false, term
	return p
}

// find returns the release that began a stream, if this entry knows it.
func (s *streams) find(now time.Time, key release.StreamID) (release.Name, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Find(now, key)
}

// served returns the releases of a service that this entry has listed, and whether it knows by itself
// all that can have begun streams.
func (s *streams) served(now time.Time, service string) ([]release.Name, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Names(service), s.history.Follows(now)
}

// originSource is who knew which release began a stream.
type originSource string

const (
	byEntry             originSource = "entry"
	byLeader            originSource = "leader"
	byOnlyRelease       originSource = "only release"
	byOnlyReleaseListed originSource = "only release, no leader"
	byControlHost       originSource = "control host"
)

// takesUp reports whether the request goes on with a stream that an earlier one began.
func (x *exchange) takesUp() bool {
	return x.route.Repeat == deploy.Stream && x.route.Resumable && (x.info.LastEvent != "" || x.info.Resumes != "")
}

// streamID returns the id of the request that began the stream, which is this one unless it takes a
// stream up. Tries of one stream are sent to one service.
func (x *exchange) streamID() string {
	if x.takesUp() && x.info.Resumes != "" {
		return x.info.Resumes
	}
	return x.info.ID
}

// findRelease finds the release that began the stream that the request takes up, and binds the request
// to it. It returns false, with the reason set, if that is not known.
func (x *exchange) findRelease(ctx context.Context) bool {
	key, named := x.g.suspects.fingerprint([]byte("stream"), []byte(x.info.Resumes))
	name, found := x.g.streams.find(time.Now(), key)
	source, served := byEntry, []release.Name(nil)
	if !found || !named {
		p := wire.StreamParams{Host: x.g.cfg.Host, Find: &key, Service: x.service}
		r, err := x.g.askLeader(ctx, p)
		// Read after the question: what was listed meanwhile counts.
		now := time.Now()
		names, follows := x.g.streams.served(now, x.service)
		served = names
		switch {
		case r.Known && named:
			name, found, source = r.Release, true, byLeader
		case x.route.Timeout > release.MaxTries:
			found = false // its callers come back later than releases are remembered
		case err == nil:
			name, found = release.Only(served, r.Served)
			source = byOnlyRelease
		case follows:
			name, found = release.Only(served)
			found = found && x.g.dir.isSettled(x.service, name)
			source = byOnlyReleaseListed
		default:
			found = false
		}
		if !found && named {
			r, source = x.g.streams.others.find(ctx, p), byControlHost
			name, found = r.Release, r.Known
		}
	}
	x.g.cfg.Log.Info().Str("request", x.info.ID).Str("resumes", shorten(x.info.Resumes)).Bool("found", found).Str("release", string(name)).Str("source", string(source)).Int("releases", len(served)).Msg("stream_taken_up")
	x.g.metrics.countTakenUp(found, source)
	if !found {
		x.reason = reasonReleaseUnknown
		return false
	}
	x.bound, x.release = true, name
	if named {
		x.g.streams.remember(time.Now(), key, x.service, name)
	}
	return true
}

// maxLoggedID bounds an id that a caller chose, in logs.
const maxLoggedID = 48

func shorten(id string) string { return id[:min(len(id), maxLoggedID)] }

// askLeader asks the leader which release began a stream.
func (g *Gateway) askLeader(ctx context.Context, p wire.StreamParams) (wire.StreamResult, error) {
	var r wire.StreamResult
	conn := g.sync.leader()
	if conn == nil {
		return r, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	err := conn.Call(ctx, wire.MethodStreams, p, &r)
	if err == nil && !r.Leading {
		err = errNoLeader
	}
	return r, err
}

// bindRelease binds the rest of a resumable stream to the release that sent its first event.
func (x *exchange) bindRelease() {
	if x.bound || !x.route.Resumable || x.answering == nil {
		return
	}
	x.bound, x.release = true, x.g.dir.releaseOf(x.answering)
	x.g.streams.began(time.Now(), x.streamID(), x.service, x.release)
}
