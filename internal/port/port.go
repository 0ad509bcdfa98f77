// Package port holds the interfaces through which the roles reach the outside
// world: engines, plain services, the platform's host list and the disk.
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

// ErrRefused tells that the other side refused an order and did nothing.
var ErrRefused = errors.New("refused")

// ErrNotSent tells that a request did not leave: no connection came about, so
// the other side cannot have run it.
var ErrNotSent = errors.New("not sent")

// ErrCrossed tells that an answer carried another request's id.
var ErrCrossed = errors.New("the answer belongs to another request")

// Call is one request to an engine or plain service.
type Call struct {
	ID          string // sent along so that answers, resumes and cancels name it
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
}

// Backend runs requests: an engine or a plain service.
type Backend interface {
	Run(ctx context.Context, c Call) (*Response, error)
	// Resume goes on with the answer to an earlier call from a byte offset on.
	Resume(ctx context.Context, id string, offset int64) (*Response, error)
	Cancel(ctx context.Context, id string) error
}

// Engine is a model engine.
type Engine interface {
	Backend
	// SetFloor makes the engine refuse orders with a lower fencing number. An
	// engine that ignores fencing answers without effect.
	SetFloor(ctx context.Context, fence ident.Index) error
	// Order carries out a load or unload and returns when it is done. The
	// error is ErrRefused if it certainly was not carried out.
	Order(ctx context.Context, o ledger.Order) error
	List(ctx context.Context) ([]ledger.Held, error)
	Cached(ctx context.Context) ([]placement.CachedAt, error)
}

// HostState is a host's standing in the platform's list.
type HostState string

// The states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one line of the platform's list.
type Host struct {
	ID    ident.HostID `json:"id"`
	State HostState    `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It lags.
type HostList interface {
	List(ctx context.Context) ([]Host, error)
}

// Fleet reaches endpoints that have no agent beside them.
type Fleet interface {
	// List returns the platform's list of endpoints. It lags.
	List(ctx context.Context) (fleet.Listing, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, q fleet.Query) (fleet.Report, error)
	// Order gives an order under a fencing number. The answer is Unsent only
	// if no byte left.
	Order(ctx context.Context, o fleet.Order, fence uint64) fleet.Answer
}

// Disk keeps what a control host must not forget.
type Disk interface {
	// Save appends entries and the hard state and returns after one sync. An
	// entry at or below the last index replaces the tail from there.
	Save(entries []consensus.Entry, hs *consensus.HardState) error
	// SaveSnapshot makes a snapshot durable and drops what it replaces.
	SaveSnapshot(s consensus.Snapshot) error
	Close() error
}
