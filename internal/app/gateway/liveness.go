package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/ending"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

const (
	// livenessTimeout bounds the check whether a process still accepts connections. A host
	// that is up answers within about 3 ms, whether or not anything listens there.
	livenessTimeout = 250 * time.Millisecond
	// livenessSettle is how long a connection that was accepted must stay open: a process that
	// ends closes its listener and its connections within less.
	livenessSettle = 5 * time.Millisecond
	// livenessTTL is how long the result for one incarnation is used without another
	// check: up to 64 requests break off together.
	livenessTTL = time.Second
)

// livenessChecker finds out whether an endpoint whose answer broke off has ended. A closed
// connection does not show that: faulty endpoints and intermediaries close connections of
// processes that continue to run.
type livenessChecker struct {
	mu     sync.Mutex
	checks map[fleet.EndpointID]*livenessCheck
}

// livenessCheck is one check of one incarnation of an endpoint.
type livenessCheck struct {
	done    chan struct{} // closed when process is known
	process ending.Process
	at      time.Time
}

func newLivenessChecker() *livenessChecker {
	return &livenessChecker{checks: map[fleet.EndpointID]*livenessCheck{}}
}

// hasEnded reports whether the process at addr accepts no connections any more. Requests
// that ask at the same moment share one check. The end of a process that has already
// restarted is not detected here; its incarnation on the list shows it.
func (s *livenessChecker) hasEnded(id fleet.EndpointID, addr string) bool {
	return s.check(id, addr, time.Now().Add(-livenessTTL)) == ending.Gone
}

// check returns the state of the process at addr, from a check that began after since.
func (s *livenessChecker) check(id fleet.EndpointID, addr string, since time.Time) ending.Process {
	now := time.Now()
	s.mu.Lock()
	l, known := s.checks[id]
	if !known || l.at.Before(since) {
		s.evict(now)
		l = &livenessCheck{done: make(chan struct{}), at: now}
		s.checks[id] = l
		go func() {
			defer close(l.done)
			l.process = probe(addr)
		}()
	}
	s.mu.Unlock()
	<-l.done
	return l.process
}

// evict drops old checks. The caller holds mu.
func (s *livenessChecker) evict(now time.Time) {
	for id, l := range s.checks {
		if now.Sub(l.at) > livenessTTL {
			delete(s.checks, id)
		}
	}
}

// probe finds out whether a process listens at addr. Silence proves nothing: the network path may be
// cut. A process that is ending may still accept a connection and reset it a moment later.
func probe(addr string) ending.Process {
	d := sockets.Dialer(livenessTimeout)
	c, err := d.Dial("tcp", addr)
	var timeout net.Error
	switch {
	case err == nil:
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(livenessSettle))
		_, err = c.Read(make([]byte, 1))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return ending.Gone
		}
		return ending.Alive
	case errors.Is(err, syscall.ECONNREFUSED) && !(errors.As(err, &timeout) && timeout.Timeout()):
		return ending.Gone
	}
	return ending.NotChecked
}
