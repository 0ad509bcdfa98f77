package gateway

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

const (
	// livenessTimeout bounds the check whether a process still accepts connections. A host
	// that is up answers within about 3 ms, whether or not anything listens there.
	livenessTimeout = 250 * time.Millisecond
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
	done  chan struct{} // closed when ended is known
	ended bool
	at    time.Time
}

func newLivenessChecker() *livenessChecker {
	return &livenessChecker{checks: map[fleet.EndpointID]*livenessCheck{}}
}

// hasEnded reports whether the process at addr accepts no connections any more. Requests
// that ask at the same moment share one check. The end of a process that has already
// restarted is not detected here; its incarnation on the list shows it.
func (s *livenessChecker) hasEnded(id fleet.EndpointID, addr string) bool {
	now := time.Now()
	s.mu.Lock()
	l, known := s.checks[id]
	if !known || now.Sub(l.at) > livenessTTL {
		s.evict(now)
		l = &livenessCheck{done: make(chan struct{}), at: now}
		s.checks[id] = l
		go func() {
			defer close(l.done)
			l.ended = refusesConnections(addr)
		}()
	}
	s.mu.Unlock()
	<-l.done
	return l.ended
}

// evict drops old checks. The caller holds mu.
func (s *livenessChecker) evict(now time.Time) {
	for id, l := range s.checks {
		if now.Sub(l.at) > livenessTTL {
			delete(s.checks, id)
		}
	}
}

// refusesConnections reports whether a host is up and nothing listens at addr. Silence
// proves nothing: the network path may be cut.
func refusesConnections(addr string) bool {
	d := sockets.Dialer(livenessTimeout)
	c, err := d.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) && !(errors.As(err, &timeout) && timeout.Timeout())
}
