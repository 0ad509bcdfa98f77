package fleet

import (
	"errors"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// EndpointID names one start of an endpoint's process: see StartID. After a restart
// the endpoint has another one, also if the platform knows it under the same name, and
// nothing known of the old one holds.
type EndpointID string

// Endpoint is one endpoint as the platform lists it.
type Endpoint struct {
	ID      EndpointID `json:"id"`
	Server  string     `json:"server,omitempty"` // the platform's name for it; the ID if empty
	Born    int64      `json:"born,omitempty"`   // when its process started, Unix milliseconds; 0 if not told
	Service string     `json:"service"`
	Addr    string     `json:"addr"` // IP number and port
	Zone    ident.Zone `json:"zone"`
	Slots   int        `json:"slots"`
	Leaving bool       `json:"leaving,omitempty"` // takes no new requests
	Held    []Held     `json:"held,omitempty"`
	Copies  Copies     `json:"copies,omitzero"`
	Untold  bool       `json:"-"` // Held and Copies are not told, or not of this start
}

// Listing is the platform's list as it was read.
type Listing struct {
	Endpoints []Endpoint
	Calls     int // calls that the read took: the platform bounds their rate
	// Unreadable is how many entries name no endpoint to use, and Why what is wrong
	// with the first of them.
	Unreadable int
	Why        string
}

// ErrTooOften tells that the platform refused to tell its list because too many calls
// came, from this process or others.
var ErrTooOften = errors.New("too many calls for the list of endpoints")

// Held is a model that an engine holds ready.
type Held struct {
	Model    string   `json:"model"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Copies tells where an engine keeps weights that it does not hold ready.
type Copies struct {
	Memory []string `json:"memory,omitempty"`
	Disk   []string `json:"disk,omitempty"`
}

// Report is an engine's own word on its state. It lags by some 100 ms.
type Report struct {
	Born     int64  // when the process that answered started, as in Endpoint
	Busy     bool   // a load or unload of weights is being carried out
	Sequence uint64 // orders accepted since the engine started
	Held     []Held
	Pending  []string // adapters on their way, as model/adapter
	Copies   Copies
	Queued   int
	Active   int
	Leaving  bool          // it takes no new requests
	Stays    time.Duration // how long one that leaves is still there; 0 if it does not tell
}

// Want names what a request needs an engine to hold.
type Want struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// Operation is what an order does.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order tells an engine to load or unload a model or an adapter of one.
type Order struct {
	Endpoint EndpointID
	Server   string // the platform's name for the endpoint
	Addr     string
	Op       Operation
	Want     Want
	Expected uint64 // sequence number at which it was decided
	Source   Source // where a load is expected to come from
	Reason   string // what decided it, for logs
}

// Settled tells how an order ended, for logs and counters.
type Settled struct {
	Order
	Result string
	Took   time.Duration
}

// Source is where an engine loads weights from.
type Source string

// The sources, the fastest first.
const (
	FromMemory Source = "memory"
	FromDisk   Source = "disk"
	FromStore  Source = "store"
)

// Answer is how an engine answered an order.
type Answer uint8

// The answers.
const (
	Accepted   Answer = iota + 1 // being carried out
	Holds                        // so already, or done at once
	Busy                         // another order is under way, or the sequence differs
	Fenced                       // a newer leader has given orders
	Rejected                     // the order makes no sense to the engine
	Gone                         // another process has the address
	Unanswered                   // it may be carried out now, later or never
	Unsent                       // it did not leave
)

// String returns the answer for logs.
func (a Answer) String() string {
	return [...]string{"none", "accepted", "holds", "busy", "fenced", "rejected", "gone", "unanswered", "unsent"}[a]
}

// Use is what an entry tells of one engine and model.
type Use struct {
	Endpoint EndpointID `json:"endpoint"`
	Want     Want       `json:"want"`
	Running  int        `json:"running"`           // requests under way now
	Begun    int        `json:"begun,omitempty"`   // requests sent since it last told
	Missing  bool       `json:"missing,omitempty"` // the engine said that it does not hold it
}
