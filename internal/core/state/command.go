package state

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// Command is one command of the replicated log. One of the pointers or Streams is set, and Settled with Releases.
type Command struct {
	Time     time.Time        `json:"time"` // clock of the proposing leader; time in the state never decreases
	By       string           `json:"by"`
	Submit   *Submit          `json:"submit,omitempty"`
	Withdraw *Withdraw        `json:"withdraw,omitempty"`
	Endpoint *EndpointUpdate  `json:"endpoint,omitempty"`
	Forget   *EndpointRemoval `json:"forget,omitempty"`
	Grant    *Grant           `json:"grant,omitempty"`
	Replica  *ReplicaUpdate   `json:"replica,omitempty"`
	Open     *OpenClaim       `json:"open,omitempty"`
	Settle   *SettleClaim     `json:"settle,omitempty"`
	Expire   *Expire          `json:"expire,omitempty"`
	History  *History         `json:"history,omitempty"`
	Deploy   *Deploy          `json:"deploy,omitempty"`
	Holder   *holder.Record   `json:"holder,omitempty"`
	Releases *release.Served  `json:"releases,omitempty"`
	Settled  *release.Served  `json:"settled,omitempty"` // with Releases; nil from a leader that lets streams begin at all of them
	Poison   *poison.Change   `json:"poison,omitempty"`
	Streams  release.Note     `json:"streams,omitempty"`
}

// Submit creates a record or revises one.
type Submit struct {
	Request string      `json:"request"` // operator request id; a resend gets the first answer
	Base    ident.Index `json:"base"`    // revision it was written against; 0 for a new record
	Raw     record.Text `json:"raw"`
	Reason  string      `json:"reason,omitempty"`
}

// Withdraw takes a record out of force.
type Withdraw struct {
	Request string      `json:"request"`
	Name    string      `json:"name"`
	Base    ident.Index `json:"base"`
	Reason  string      `json:"reason,omitempty"`
}

// EndpointUpdate registers an endpoint or replaces its state.
type EndpointUpdate struct {
	Endpoint Endpoint `json:"endpoint"`
	Reason   string   `json:"reason"`
}

// EndpointRemoval removes an endpoint whose host no longer exists, together with its
// replicas.
type EndpointRemoval struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Reason      string            `json:"reason"`
}

// Grant permits one replica of a target on a host.
type Grant struct {
	Target ident.Target `json:"target"`
	Host   ident.HostID `json:"host"`
	Reason string       `json:"reason"`
}

// ReplicaUpdate moves a replica to a phase, or removes it if Removed is set.
type ReplicaUpdate struct {
	ID      ident.Index  `json:"id"`
	Phase   ReplicaPhase `json:"phase,omitempty"`
	Removed bool         `json:"gone,omitempty"`
	Reason  string       `json:"reason"`
}

// OpenClaim claims an idempotency key before the request runs for the first time.
type OpenClaim struct {
	Key     ClaimKey        `json:"key"`
	Digest  string          `json:"digest"`
	Request ident.RequestID `json:"request"`
	Within  time.Duration   `json:"within"` // until the request's deadline, from the command's time
}

// SettleClaim settles an open claim. NotRun releases the key for another attempt.
type SettleClaim struct {
	Key     ClaimKey        `json:"key"`
	Request ident.RequestID `json:"request"`
	NotRun  bool            `json:"notRun,omitempty"`
	Unknown bool            `json:"unknown,omitempty"`
	Answer  *Answer         `json:"answer,omitempty"`
}

// Expire drops claims, and quarantines that the state machine decided, whose time is over at
// the command's time.
type Expire struct{}

// History adds observed idle times to the keep-alive statistics.
type History struct {
	Samples []keepalive.Sample `json:"samples"`
}

// Code is the outcome of a command.
type Code string

// The outcomes.
const (
	OK              Code = "ok"
	Invalid         Code = "invalid"       // the command is not valid; Message says why
	Conflict        Code = "conflict"      // based on another revision; Current holds the content in force
	NotFound        Code = "not_found"     // no such record, endpoint or replica
	OverMemory      Code = "over_memory"   // the grant would overcommit the endpoint's memory
	TooManyReplicas Code = "over_decided"  // the grant would exceed the maximum number of replicas, or the host has one already
	Unavailable     Code = "unavailable"   // the endpoint is unknown, leaving, down or without the base model
	Stale           Code = "stale"         // an older incarnation or an outdated phase
	InProgress      Code = "in_progress"   // another request holds the key
	DigestMismatch  Code = "digest_differ" // the key was used with a request of another digest
	Full            Code = "full"          // a limit of the state is reached
)

// Result is the answer to a command, the same on every control host.
type Result struct {
	Code     Code        `json:"code"`
	Index    ident.Index `json:"index"`
	Revision ident.Index `json:"revision,omitempty"`
	Message  string      `json:"message,omitempty"`
	Current  *Record     `json:"present,omitempty"`
	Claim    *Claim      `json:"claim,omitempty"`
	Resent   bool        `json:"resent,omitempty"` // the request was answered before or is superseded, and changed nothing now
}
