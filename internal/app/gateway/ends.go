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
	// endDial bounds the look whether a process still takes connections. A host that is up
	// answers within some 3 ms, whether or not anything listens there.
	endDial = 250 * time.Millisecond
	// endStays is how long what was seen of one start is believed without another look:
	// up to 64 requests break off together.
	endStays = time.Second
)

// ends finds out whether an endpoint whose answer broke off has ended. A connection that
// closes does not tell: faulty endpoints, and what lies between, close connections of
// processes that go on.
type ends struct {
	mu    sync.Mutex
	looks map[fleet.EndpointID]*look
}

// look is one look at one start of an endpoint.
type look struct {
	done  chan struct{} // closed when ended is known
	ended bool
	at    time.Time
}

func newEnds() *ends { return &ends{looks: map[fleet.EndpointID]*look{}} }

// ended reports whether the process at addr takes no connections any more. Requests that
// ask at the same moment share one look. A process that is back already is not seen: what
// the list tells of its start does.
func (s *ends) ended(id fleet.EndpointID, addr string) bool {
	now := time.Now()
	s.mu.Lock()
	l, known := s.looks[id]
	if !known || now.Sub(l.at) > endStays {
		s.forget(now)
		l = &look{done: make(chan struct{}), at: now}
		s.looks[id] = l
		go func() {
			defer close(l.done)
			l.ended = refuses(addr)
		}()
	}
	s.mu.Unlock()
	<-l.done
	return l.ended
}

// forget drops old looks. The caller holds mu.
func (s *ends) forget(now time.Time) {
	for id, l := range s.looks {
		if now.Sub(l.at) > endStays {
			delete(s.looks, id)
		}
	}
}

// refuses reports whether a host is up and nothing listens at addr. Silence tells nothing:
// the path may be cut.
func refuses(addr string) bool {
	d := sockets.Dialer(endDial)
	c, err := d.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	var timeout net.Error
	return errors.Is(err, syscall.ECONNREFUSED) && !(errors.As(err, &timeout) && timeout.Timeout())
}
