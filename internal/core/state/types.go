package state

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Record is one service record at its newest revision.
type Record struct {
	Name      string      `json:"name"`
	Revision  ident.Index `json:"revision"` // index of the last change; the base for the next one
	Raw       record.Text `json:"raw"`      // exactly as written
	Withdrawn bool        `json:"withdrawn,omitempty"`
	service   *record.Service
}

// Service returns the internal form. It is nil for a withdrawn record.
func (r Record) Service() *record.Service { return r.service }

// Endpoint is one endpoint host with its agent.
type Endpoint struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Addr        string            `json:"addr"` // agent's address for entries, ip:port
	Zone        ident.Zone        `json:"zone"`
	Place       string            `json:"place"`
	Memory      int64             `json:"memory"`           // bytes of accelerator memory available to replicas
	Slots       int               `json:"slots"`            // requests that the engine runs concurrently
	Serves      string            `json:"serves,omitempty"` // plain service behind this endpoint, instead of an engine
	Up          bool              `json:"up"`               // lease held
	Leaving     bool              `json:"leaving,omitempty"`
	Revision    ident.Index       `json:"revision"`
}

// ReplicaPhase is a replica's position in its life cycle.
type ReplicaPhase string

// The phases. A replica in any phase counts towards the granted memory and the
// number of replicas; it stops counting only when it is removed.
const (
	Granted  ReplicaPhase = "granted"  // decided; the agent may load it
	Ready    ReplicaPhase = "ready"    // loaded; accepts requests
	Draining ReplicaPhase = "draining" // accepts no new requests; will be unloaded
)

// Replica is one decided replica: the grant that permits its load.
type Replica struct {
	ID       ident.Index  `json:"id"` // log index of the grant; also the fencing token
	Target   ident.Target `json:"target"`
	Host     ident.HostID `json:"host"`
	Bytes    int64        `json:"bytes"`
	Phase    ReplicaPhase `json:"phase"`
	Reason   string       `json:"reason"`
	Since    time.Time    `json:"since"`
	Revision ident.Index  `json:"revision"`
}

// ClaimKey identifies an idempotency key within a customer and service.
type ClaimKey struct {
	Customer ident.Customer `json:"customer"`
	Service  string         `json:"service"`
	Key      string         `json:"key"`
}

// ClaimPhase is the state of the request that holds an idempotency key.
type ClaimPhase string

// The phases of a claim.
const (
	ClaimOpen     ClaimPhase = "open"     // a run may be in progress
	ClaimAnswered ClaimPhase = "answered" // ran; the answer is recorded unless it was too large
	ClaimUnknown  ClaimPhase = "unknown"  // may have run and could not be settled
)

// Answer is a recorded answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body,omitempty"`
	TooLarge    bool   `json:"tooLarge,omitempty"` // the body exceeded MaxAnswer and was not kept
}

// Claim is the durable claim of an idempotency key.
type Claim struct {
	Key      ClaimKey        `json:"key"`
	Digest   string          `json:"digest"` // of the request's method, path and body
	Request  ident.RequestID `json:"request"`
	Phase    ClaimPhase      `json:"phase"`
	Deadline time.Time       `json:"deadline"` // an open claim becomes unknown ClaimGrace after it
	Answer   *Answer         `json:"answer,omitempty"`
	Expires  time.Time       `json:"expires"`
}

// Limits of what the state keeps.
const (
	MaxAnswer      = 16 << 10         // bytes of a recorded answer
	ClaimRetention = time.Hour        // from the claim's settlement
	ClaimGrace     = 10 * time.Second // added to a request's deadline before an open claim becomes unknown
	MaxAudit       = 20000            // audit events kept; older ones are in the logs
	MaxClaims      = 2_000_000        // open and settled; further requests are refused as not run
)

// AuditEvent is one event of the audit trail.
type AuditEvent struct {
	Index   ident.Index  `json:"index"`
	Time    time.Time    `json:"time"`
	By      string       `json:"by"`
	Action  Action       `json:"action"`
	Subject string       `json:"subject"`
	Target  string       `json:"target,omitempty"`
	Host    ident.HostID `json:"host,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Before  ident.Index  `json:"before,omitempty"` // revision that was replaced
	Content record.Text  `json:"content,omitempty"`
}

// Action is the kind of change that an audit event records.
type Action string

// The audited actions.
const (
	ActionSubmit   Action = "submit"
	ActionRevise   Action = "revise"
	ActionWithdraw Action = "withdraw"
	ActionGrant    Action = "grant"
	ActionReady    Action = "ready"
	ActionDrain    Action = "drain"
	ActionRemove   Action = "remove"
	ActionEndpoint Action = "endpoint"
	ActionDeploy   Action = "deploy"
	// Quarantine of requests that end endpoints, see package poison.
	ActionQuarantine Action = "quarantine"
	ActionLift       Action = "lift"
)

// Change is one change of the state as it is published to subscribers.
type Change struct {
	Index           ident.Index  `json:"index"`
	Record          *Record      `json:"record,omitempty"`
	Endpoint        *Endpoint    `json:"endpoint,omitempty"`
	RemovedEndpoint ident.HostID `json:"forgot,omitempty"` // endpoint that was removed
	Replica         *Replica     `json:"replica,omitempty"`
	Removed         ident.Index  `json:"removed,omitempty"` // replica that was removed
	Host            ident.HostID `json:"host,omitempty"`    // where the removed replica was
	// Poison is the complete registry of quarantined requests.
	Poison *poison.Registry `json:"poison,omitempty"`
}
