package state

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Record is one service record as it stands.
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
	Memory      int64             `json:"memory"`           // bytes of accelerator memory that replicas may take
	Slots       int               `json:"slots"`            // requests that the engine runs at once
	Serves      string            `json:"serves,omitempty"` // plain service behind this endpoint, instead of an engine
	Up          bool              `json:"up"`               // lease held
	Leaving     bool              `json:"leaving,omitempty"`
	Revision    ident.Index       `json:"revision"`
}

// ReplicaPhase tells how far a replica is.
type ReplicaPhase string

// The phases. Every phase counts towards memory and towards the decided
// number; a replica stops counting only when it is removed.
const (
	Granted  ReplicaPhase = "granted"  // decided; the agent may load it
	Ready    ReplicaPhase = "ready"    // loaded, takes requests
	Draining ReplicaPhase = "draining" // takes no new requests; to be unloaded
)

// Replica is one decided replica: the grant that permits its load.
type Replica struct {
	ID       ident.Index  `json:"id"` // index of the decision; also the fencing number
	Target   ident.Target `json:"target"`
	Host     ident.HostID `json:"host"`
	Bytes    int64        `json:"bytes"`
	Phase    ReplicaPhase `json:"phase"`
	Reason   string       `json:"reason"`
	Since    time.Time    `json:"since"`
	Revision ident.Index  `json:"revision"`
}

// ClaimKey names an idempotency key.
type ClaimKey struct {
	Customer ident.Customer `json:"customer"`
	Service  string         `json:"service"`
	Key      string         `json:"key"`
}

// ClaimPhase tells how the request under a key ended.
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
	Deadline time.Time       `json:"deadline"` // after it an open claim becomes unknown
	Answer   *Answer         `json:"answer,omitempty"`
	Expires  time.Time       `json:"expires"`
}

// Bounds of what the state keeps.
const (
	MaxAnswer      = 16 << 10         // bytes of a recorded answer
	ClaimRetention = time.Hour        // from the claim's settlement
	ClaimGrace     = 10 * time.Second // added to a request's deadline before an open claim becomes unknown
	MaxAudit       = 20000            // audit events kept; older ones are in the logs
	MaxClaims      = 2_000_000        // open and settled; more are refused as not run
)

// AuditEvent is one line of the audit trail.
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

// Action names what an audit event tells.
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
	// Of requests under which endpoints end, see package poison.
	ActionQuarantine Action = "quarantine"
	ActionLift       Action = "lift"
)

// Change is one change of the state as subscribers see it.
type Change struct {
	Index    ident.Index  `json:"index"`
	Record   *Record      `json:"record,omitempty"`
	Endpoint *Endpoint    `json:"endpoint,omitempty"`
	Forgot   ident.HostID `json:"forgot,omitempty"` // endpoint that was removed
	Replica  *Replica     `json:"replica,omitempty"`
	Removed  ident.Index  `json:"removed,omitempty"` // replica that was removed
	Host     ident.HostID `json:"host,omitempty"`    // where the removed replica was
	// Poison is all that is to be known of quarantined requests.
	Poison *poison.Registry `json:"poison,omitempty"`
}
