package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/port"
)

// Store is a fake weight store. It serves up to Concurrent remote loads at full speed;
// more loads share that bandwidth.
type Store struct {
	Speed      float64 // bytes per second of one load at full speed
	Concurrent int
	DiskSpeed  float64 // bytes per second from disk
	MemSpeed   float64 // bytes per second from memory

	mu        sync.Mutex
	active    int
	slowdown  float64
	maxActive int
}

// SetSlow makes remote loads take f times as long.
func (s *Store) SetSlow(f float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = f
}

// MaxActive returns the highest number of concurrent remote loads so far.
func (s *Store) MaxActive() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxActive
}

const storeStep = 5 * time.Millisecond

// Load blocks for the time of a load of that many bytes from the source.
func (s *Store) Load(from placement.Source, bytes int64) {
	switch from {
	case placement.FromMemory:
		time.Sleep(time.Duration(float64(bytes) / s.MemSpeed * float64(time.Second)))
		return
	case placement.FromDisk:
		time.Sleep(time.Duration(float64(bytes) / s.DiskSpeed * float64(time.Second)))
		return
	}
	s.addActive(+1)
	defer s.addActive(-1)
	for left := float64(bytes); left > 0; left -= s.rate() * storeStep.Seconds() {
		time.Sleep(storeStep)
	}
}

func (s *Store) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
	s.maxActive = max(s.maxActive, s.active)
}

// rate returns the current speed of one remote load in bytes per second.
func (s *Store) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.Speed
	if s.active > s.Concurrent {
		r *= float64(s.Concurrent) / float64(s.active)
	}
	if s.slowdown > 1 {
		r /= s.slowdown
	}
	return r
}

// HostList is a fake of the platform's list of hosts.
type HostList struct {
	mu    sync.Mutex
	hosts map[ident.HostID]port.HostState
}

// NewHostList returns an empty list.
func NewHostList() *HostList { return &HostList{hosts: map[ident.HostID]port.HostState{}} }

// Set adds a host to the list or changes its state.
func (l *HostList) Set(h ident.HostID, s port.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h] = s
}

// Remove removes a host from the list.
func (l *HostList) Remove(h ident.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, h)
}

// ServeHTTP serves the list.
func (l *HostList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	out := []port.Host{}
	for h, s := range l.hosts {
		out = append(out, port.Host{ID: h, State: s})
	}
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// Plain is a fake plain service that counts the bodies posted to it.
type Plain struct {
	Delay  time.Duration
	mu     sync.Mutex
	bodies map[string]int
}

// NewPlain returns a Plain with no requests counted.
func NewPlain() *Plain { return &Plain{bodies: map[string]int{}} }

// Posted returns how often each body was posted.
func (p *Plain) Posted() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.bodies))
	for k, v := range p.bodies {
		out[k] = v
	}
	return out
}

// ServeHTTP counts the body of a POST and answers any other method with the path.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.Method == http.MethodDelete || r.URL.Path == "/v1/requests" {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method != http.MethodPost {
		fmt.Fprintf(w, "{\"path\":%q}\n", r.URL.Path)
		return
	}
	p.mu.Lock()
	p.bodies[string(body)]++
	n := len(p.bodies)
	p.mu.Unlock()
	time.Sleep(p.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "{\"receipt\":%d}\n", n)
}
