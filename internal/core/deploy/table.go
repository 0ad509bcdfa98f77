package deploy

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds routes by host and longest path prefix.
type Table struct {
	cfg    *Config
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns the look-up table of a configuration that passed Check.
func NewTable(c *Config) *Table {
	t := &Table{cfg: c, byHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		slices.SortFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Config returns the configuration that the table was made from.
func (t *Table) Config() *Config { return t.cfg }

// Find returns the route of a request, or nil. host may carry a port.
func (t *Table) Find(host, path string) *Route {
	host = withoutPort(strings.ToLower(host))
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// withoutPort removes the port from a host; a host in brackets is an IPv6 address.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") || strings.IndexByte(host, ':') != i && !strings.Contains(host, "]") {
		return host
	}
	return host[:i]
}

// Pick returns the service for a request of route r, by weight. The same request id
// always gets the same service, so a retry cannot reach another one.
func (r *Route) Pick(requestID string) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
