// Package clients shares a process's memory and connections among its clients. It guards an intake.Ledger
// and tells connections when their clients are to be refused.
package clients

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/cassiapass/cassiapass/internal/core/intake"
)

// Registry holds the clients of a process that share limits.
type Registry struct {
	mu     sync.Mutex
	ledger *intake.Ledger

	refusedBytes, refusedConns, evicted uint64
}

// Client is one connection of a client. A nil Client has no limits.
type Client struct {
	r     *Registry
	entry intake.Client
	evict func()

	evicted atomic.Bool // as in the ledger; set before evict is called
}

// New returns a Registry with limits.
func New(l intake.Limits) *Registry { return &Registry{ledger: intake.NewLedger(l)} }

// Open adds a client. evict is called, at most once, when its connection is to be closed or its request
// refused; it must not block. Open returns nil if no connection is left.
func (r *Registry) Open(evict func()) *Client {
	c := &Client{r: r, evict: evict}
	c.entry.Owner = c
	r.mu.Lock()
	closed, ok := r.ledger.Open(&c.entry, time.Now())
	if !ok {
		r.refusedConns++
	}
	if closed != nil {
		r.mark(closed)
	}
	r.mu.Unlock()
	if closed != nil {
		closed.Owner.(*Client).evict()
	}
	if !ok {
		return nil
	}
	return c
}

// mark records that a client is to be refused. The caller holds mu, so that nobody finds the client evicted
// in the ledger and not here.
func (r *Registry) mark(c *intake.Client) {
	c.Owner.(*Client).evicted.Store(true)
	r.evicted++
}

// Used returns the bytes that all clients hold, and their connections.
func (r *Registry) Used() (bytes int64, conns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Used()
}

// SetState records what the client does from now on. One without a request holds nothing any more. It
// returns false if the connection was closed for another one.
func (c *Client) SetState(s intake.State) bool {
	if c == nil {
		return true
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.ledger.SetState(&c.entry, s, time.Now())
	return c.entry.Open()
}

// Closed reports whether the connection was closed, by Close or for another one.
func (c *Client) Closed() bool {
	if c == nil {
		return false
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	return !c.entry.Open()
}

// Reserve counts n more bytes as held for the client; false if it is to be refused instead.
func (c *Client) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	c.r.mu.Lock()
	refused, ok := c.r.ledger.Reserve(&c.entry, n, time.Now())
	for _, o := range refused {
		c.r.mark(o)
	}
	if !ok {
		c.r.refusedBytes++
	}
	c.r.mu.Unlock()
	for _, o := range refused {
		o.Owner.(*Client).evict()
	}
	return ok
}

// Begin records that a request begins to arrive and counts n bytes for it; false if it is to be refused.
func (c *Client) Begin(n int64) bool {
	c.SetState(intake.Receiving)
	return c.Reserve(n)
}

// Arrived records that a request has arrived whole, and counts n bytes as no longer held. It returns false
// if the client is to be refused instead.
func (c *Client) Arrived(n int64) bool {
	if c == nil {
		return true
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if c.entry.Evicted() {
		return false
	}
	c.r.ledger.Release(&c.entry, n)
	c.r.ledger.SetState(&c.entry, intake.Serving, time.Now())
	return true
}

// Release counts n bytes as no longer held.
func (c *Client) Release(n int64) {
	if c == nil {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.ledger.Release(&c.entry, n)
}

// Progress records that n bytes have moved on the connection.
func (c *Client) Progress(n int) {
	if c == nil {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.ledger.Progress(&c.entry, n, time.Now())
}

// Evicted reports whether the client is to be refused.
func (c *Client) Evicted() bool { return c != nil && c.evicted.Load() }

// Close removes the client.
func (c *Client) Close() {
	if c == nil {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.ledger.Close(&c.entry)
}

// metricNames are the metrics of a registry.
var metricNames = []string{
	"cassiapass_clients_held_bytes", "cassiapass_clients_connections",
	"cassiapass_clients_max_held_bytes", "cassiapass_clients_max_connections",
	"cassiapass_clients_refused_for_memory_total", "cassiapass_clients_refused_for_connections_total",
	"cassiapass_clients_evicted_total",
}

func metricName(name, listener string) string { return fmt.Sprintf("%s{listener=%q}", name, listener) }

// RegisterMetrics adds what the clients hold, their limits and what was refused to a set of metrics.
// listener tells several registries of a process apart.
func (r *Registry) RegisterMetrics(s *vm.Set, listener string) {
	UnregisterMetrics(s, listener)
	for i, name := range metricNames {
		s.NewGauge(metricName(name, listener), func() float64 { return r.values()[i] })
	}
}

// UnregisterMetrics removes the metrics of a registry from a set.
func UnregisterMetrics(s *vm.Set, listener string) {
	for _, name := range metricNames {
		s.UnregisterMetric(metricName(name, listener))
	}
}

// values returns the values of the metrics, in the order of metricNames.
func (r *Registry) values() []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes, conns := r.ledger.Used()
	l := r.ledger.Limits()
	return []float64{float64(bytes), float64(conns), float64(l.Bytes), float64(l.Conns), float64(r.refusedBytes), float64(r.refusedConns), float64(r.evicted)}
}
