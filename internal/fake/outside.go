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

// Store is a weight store that serves a few loads at full speed and shares its
// bandwidth among more.
type Store struct {
	Speed      float64 // bytes per second of one load at full speed
	Concurrent int
	DiskSpeed  float64
	MemSpeed   float64

	mu     sync.Mutex
	active int
	slow   float64
	most   int
}

// SetSlow makes remote loads take f times as long.
func (s *Store) SetSlow(f float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = f
}

// MostActive returns the largest number of remote loads at once.
func (s *Store) MostActive() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

const storeStep = 5 * time.Millisecond

// Load takes as long as a load of that many bytes from the source.
func (s *Store) Load(from placement.Source, bytes int64) {
	switch from {
	case placement.FromMemory:
		time.Sleep(time.Duration(float64(bytes) / s.MemSpeed * float64(time.Second)))
		return
	case placement.FromDisk:
		time.Sleep(time.Duration(float64(bytes) / s.DiskSpeed * float64(time.Second)))
		return
	}
	s.join(+1)
	defer s.join(-1)
	for left := float64(bytes); left > 0; left -= s.rate() * storeStep.Seconds() {
		time.Sleep(storeStep)
	}
}

func (s *Store) join(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
	s.most = max(s.most, s.active)
}

// rate returns the present speed of one load.
func (s *Store) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.Speed
	if s.active > s.Concurrent {
		r *= float64(s.Concurrent) / float64(s.active)
	}
	if s.slow > 1 {
		r /= s.slow
	}
	return r
}

// HostList is the platform's list of hosts.
type HostList struct {
	mu    sync.Mutex
	hosts map[ident.HostID]port.HostState
}

// NewHostList returns an empty list.
func NewHostList() *HostList { return &HostList{hosts: map[ident.HostID]port.HostState{}} }

// Set lists a host.
func (l *HostList) Set(h ident.HostID, s port.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h] = s
}

// Remove takes a host off the list.
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

// Plain is a plain service that files what is posted to it.
type Plain struct {
	Delay time.Duration
	mu    sync.Mutex
	filed map[string]int
}

// NewPlain returns a Plain that has filed nothing.
func NewPlain() *Plain { return &Plain{filed: map[string]int{}} }

// Filed returns how often each body was filed.
func (p *Plain) Filed() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.filed))
	for k, v := range p.filed {
		out[k] = v
	}
	return out
}

// ServeHTTP files a POST and answers any other method with the path.
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
	p.filed[string(body)]++
	n := len(p.filed)
	p.mu.Unlock()
	time.Sleep(p.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "{\"receipt\":%d}\n", n)
}
