// Package deploy represents a deployment: the routes, services and models that one
// configuration defines for endpoints that are reached directly, without an agent
// on their host. It consists of data with checks and look-ups.
package deploy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/customer"
)

// Repeat tells whether a request whose outcome is unknown may be sent again.
type Repeat uint8

// The kinds of routes.
const (
	Once   Repeat = iota // non-idempotent: at most one run
	Safe                 // idempotent: may run more than once
	Stream               // a stream of events; non-idempotent unless Route.Resumable
)

// Config is one version of a deployment. It is read-only once built.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Customers are those whose callers may send requests; nil if callers need no key.
	Customers *customer.Book
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Repeat       Repeat
	Timeout      time.Duration // maximum time for which a caller waits
	Objective    time.Duration // answers within it count fully
	MaxGap       time.Duration // longest pause between events of a stream that is on time
	SilenceLimit time.Duration // callers abandon a stream without events for this long, also before the first; 0 if they do not
	Priority     int           // 0 is the most urgent
	Attempts     int           // maximum number of endpoints on which one request is run
	Resumable    bool          // an interrupted stream may be continued at another endpoint
	Anonymous    bool          // callers need no key
	Backends     []Backend
}

// MayRepeat reports whether a request whose outcome is unknown may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Safe || (r.Repeat == Stream && r.Resumable)
}

// LeadsTo reports whether requests of the route go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one endpoint accepts from all callers together
	Engine     *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // requests that an endpoint runs concurrently
	KVTokens       int     // tokens that fit in its memory for running requests
	ModelMegabytes int64   // megabytes for weights and adapters together
	AdapterSlots   int     // adapters that an endpoint holds at the same time
	EventTokens    int     // tokens in one event of a stream; 0 if not stated
	StoreLoads     float64 // loads a second from the weight store, over all endpoints
	// Backups and Moves tell whether an endpoint copies the memory of a run to another one while it
	// runs, and whether a run can be moved.
	Backups bool
	Moves   bool
	// KVTokenBytes is the size of one token of a run's memory, and LinkMbps the rate in megabits a
	// second at which endpoints send it; 0 if not stated.
	KVTokenBytes int64
	LinkMbps     float64
	// CopyLife is how long a copy of a run's memory is kept for use after its last part.
	CopyLife time.Duration
	Models   map[string]*Model
}

// Model is one model of an engine.
type Model struct {
	Name        string
	Megabytes   int64
	AdapterSize int64 // megabytes of each adapter
	Adapters    int   // number of adapters
	// AdapterPrefix and a number from 1 on are the adapters' names; without it they are not known.
	AdapterPrefix string
	FromStore     time.Duration
	FromDisk      time.Duration
	FromMemory    time.Duration
}

// Has reports whether the deployment has a model and, unless adapter is empty, an adapter of it. Without a
// list of models, or of adapters, any may exist.
func (e *Engine) Has(model, adapter string) bool {
	if e == nil || len(e.Models) == 0 {
		return true
	}
	m := e.Models[model]
	if m == nil || adapter == "" || m.AdapterPrefix == "" {
		return m != nil
	}
	number, found := strings.CutPrefix(adapter, m.AdapterPrefix)
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= m.Adapters
}

// Limits bound the size of a request, the time in which a caller must send its header,
// and how long a connection may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Has reports whether a service has a model and, unless adapter is empty, an adapter of it.
func (c *Config) Has(service, model, adapter string) bool {
	s := c.Services[service]
	return s == nil || s.Engine.Has(model, adapter)
}

// RunCopies tells whether engines of any service copy the memory of runs to other endpoints, and
// whether any move runs. A nil configuration has none.
func (c *Config) RunCopies() (backups, moves bool) {
	if c == nil {
		return false, false
	}
	for _, s := range c.Services {
		if s.Engine != nil {
			backups, moves = backups || s.Engine.Backups, moves || s.Engine.Moves
		}
	}
	return backups, moves
}

// Check returns an error that says why a configuration is invalid, or nil.
func (c *Config) Check() error {
	byHostPrefix := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return err
		}
		key := [2]string{r.Host, r.Prefix}
		if other, taken := byHostPrefix[key]; taken {
			return fmt.Errorf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		byHostPrefix[key] = r.Name
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	if r.Host == "" {
		return fmt.Errorf("route %q: the host is missing", r.Name)
	}
	if r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return fmt.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("route %q: the timeout must be positive", r.Name)
	}
	total := 0
	for _, b := range r.Backends {
		if _, known := c.Services[b.Service]; !known {
			return fmt.Errorf("route %q: service %q is not defined", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return fmt.Errorf("route %q: the weight of service %q is negative", r.Name, b.Service)
		}
		total += b.Weight
	}
	if total == 0 {
		return fmt.Errorf("route %q: the weights add up to zero", r.Name)
	}
	return nil
}
