package fleet

import (
	"errors"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// EndpointID identifies one incarnation of an endpoint's process: see IncarnationID. After a
// restart the endpoint has another ID, even if the platform lists it under the same name,
// and nothing known of the previous incarnation applies.
type EndpointID string

// Endpoint is one endpoint as the platform lists it.
type Endpoint struct {
	ID         EndpointID   `json:"id"`
	Server     string       `json:"server,omitempty"` // the platform's name for it; the ID if empty
	StartedAt  int64        `json:"born,omitempty"`   // when its process started, Unix milliseconds; 0 if unknown
	Service    string       `json:"service"`
	Addr       string       `json:"addr"` // IP number and port
	Zone       ident.Zone   `json:"zone"`
	Slots      int          `json:"slots"`
	Release    release.Name `json:"release,omitempty"`   // of its software, fixed for an incarnation
	Unsettled  bool         `json:"unsettled,omitempty"` // no stream that may be taken up begins at its release yet
	Leaving    bool         `json:"leaving,omitempty"`   // accepts no new requests
	Held       []Held       `json:"held,omitempty"`
	Copies     Copies       `json:"copies,omitzero"`
	Unreported bool         `json:"-"` // Held and Copies are unknown, or of another incarnation

	// RemovedIn is how long it was to stay when its removal was announced; 0 if it was not.
	RemovedIn time.Duration `json:"removed_in,omitempty"`
}

// Listing is the result of reading the platform's list of endpoints.
type Listing struct {
	Endpoints []Endpoint
	Calls     int // calls that the read took; the platform limits their rate
	// Unreadable is the number of entries that describe no usable endpoint, and Reason the
	// fault of the first of them.
	Unreadable int
	Reason     string
}

// ErrRateLimited reports that the platform refused to return its list because it received too
// many calls, from this process or others.
var ErrRateLimited = errors.New("too many calls for the list of endpoints")

// Held is a model that an engine holds ready to run.
type Held struct {
	Model    string   `json:"model"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Copies lists the models whose weights an engine stores without holding them ready to run.
type Copies struct {
	Memory []string `json:"memory,omitempty"`
	Disk   []string `json:"disk,omitempty"`
}

// Report is an engine's report of its own state. It lags by some 100 ms.
type Report struct {
	StartedAt int64  // when the reporting process started, as in Endpoint
	Busy      bool   // a load or unload of weights is in progress
	Sequence  uint64 // orders accepted since the engine started
	Held      []Held
	Pending   []string // adapters being loaded, as model/adapter
	Copies    Copies
	Queued    int
	Active    int
	Leaving   bool          // it accepts no new requests
	RemovedIn time.Duration // time until a leaving endpoint is removed; 0 if unknown
}

// Want names the model, and the adapter if any, that a request needs an engine to hold.
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
	Expected uint64 // sequence number of the engine when the order was decided
	Source   Source // where a load is expected to come from
	Reason   string // why it was decided, for logs
}

// Settled is the outcome of an order, for logs and counters.
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
	Holds                        // in effect already, or carried out at once
	Busy                         // another order is in progress, or the sequence differs
	Fenced                       // a newer leader has issued orders
	Rejected                     // the engine considers the order invalid
	Gone                         // another process has the address
	Unanswered                   // it may be carried out now, later or never
	Unsent                       // it was not sent
)

// String returns the answer for logs.
func (a Answer) String() string {
	return [...]string{"none", "accepted", "holds", "busy", "fenced", "rejected", "gone", "unanswered", "unsent"}[a]
}

// Use is what an entry reports of one engine and model.
type Use struct {
	Endpoint EndpointID `json:"endpoint"`
	Want     Want       `json:"want"`
	Running  int        `json:"running"`           // requests in progress now
	Sent     int        `json:"begun,omitempty"`   // requests sent since the entry's last report
	Missing  bool       `json:"missing,omitempty"` // the engine said that it does not hold it
}
