// Package port defines the interfaces to the outside of the system: engines, plain
// services, the platform's lists of hosts and endpoints, and the disk.
package port

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/placement"
)

// ErrRefused means that the other side refused an order and did not carry it out.
var ErrRefused = errors.New("refused")

// ErrNotSent means that a request was not sent: no connection was established, so
// the other side cannot have run it.
var ErrNotSent = errors.New("not sent")

// ErrCrossed means that an answer carried the id of another request.
var ErrCrossed = errors.New("the answer belongs to another request")

// Call is one request to an engine or plain service.
type Call struct {
	ID          string // sent with the request; names it in answers, resumes and cancels
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Response is the answer to a Call; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Framed bool // a length or chunks show the end of Body; else it ends with the connection
}

// Backend runs requests: an engine or a plain service.
type Backend interface {
	Run(ctx context.Context, c Call) (*Response, error)
	// Resume continues the answer to an earlier call from a byte offset.
	Resume(ctx context.Context, id string, offset int64) (*Response, error)
	Cancel(ctx context.Context, id string) error
}

// Engine is a model engine.
type Engine interface {
	Backend
	// SetFloor makes the engine refuse orders with a lower fencing token. It has no
	// effect on an engine that ignores fencing tokens.
	SetFloor(ctx context.Context, fence ident.Index) error
	// Order carries out a load or unload and returns when it is complete. The error
	// is ErrRefused if the order was certainly not carried out.
	Order(ctx context.Context, o ledger.Order) error
	List(ctx context.Context) ([]ledger.Held, error)
	Cached(ctx context.Context) ([]placement.CachedAt, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list.
type Host struct {
	ID    ident.HostID `json:"id"`
	State HostState    `json:"state"`
}

// HostList reads the platform's list of live and leaving hosts, which lags.
type HostList interface {
	List(ctx context.Context) ([]Host, error)
}

// Fleet accesses endpoints on hosts without an agent.
type Fleet interface {
	// List returns the platform's list of endpoints, which lags.
	List(ctx context.Context) (fleet.Listing, error)
	// Report returns the state of an engine.
	Report(ctx context.Context, q fleet.Query) (fleet.Report, error)
	// Order sends an order with a fencing token. The answer is Unsent only if no
	// byte was sent.
	Order(ctx context.Context, o fleet.Order, fence uint64) fleet.Answer
}

// Disk is the durable storage of a control host.
type Disk interface {
	// Save appends entries and the hard state and returns after one sync. An entry
	// at or below the last index replaces the log from that index on.
	Save(entries []consensus.Entry, hs *consensus.HardState) error
	// SaveSnapshot makes a snapshot durable and deletes what it replaces.
	SaveSnapshot(s consensus.Snapshot) error
	Close() error
}
