// Package wire defines the messages between the system's own processes. They are
// sent as JSON-RPC 2.0 calls and notifications; the methods are listed here with
// their parameter and result types.
package wire

import (
	"encoding/json"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/notice"
	"github.com/cassiapass/cassiapass/internal/core/pace"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/core/routing"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// Methods of control hosts.
const (
	MethodRaft       = "raft"       // notification []consensus.Message
	MethodPropose    = "propose"    // ProposeParams -> state.Result
	MethodSubscribe  = "subscribe"  // SubscribeParams -> SubscribeResult
	MethodChanges    = "changes"    // notification Changes, control to subscriber
	MethodBeat       = "beat"       // Beat -> BeatResult
	MethodSessions   = "sessions"   // Sessions -> SessionsResult, control host to leader
	MethodDemand     = "demand"     // DemandParams -> DemandResult
	MethodFresh      = "fresh"      // -> FreshResult
	MethodClaim      = "claim"      // ClaimParams -> state.Result
	MethodStatus     = "status"     // -> ControlStatus
	MethodMember     = "member"     // MemberParams -> MemberResult
	MethodJoin       = "join"       // JoinParams -> JoinResult; the leader decides when to admit
	MethodGreet      = "greet"      // Greeting -> Greeting
	MethodDeployment = "deployment" // -> state.Deployment; the leader answers a host whose copy is behind
	MethodPull       = "pull"       // PullParams -> PullResult; the leader holds the call until something changes
	MethodTell       = "tell"       // TellParams -> no result; waiting and running requests at an entry
	MethodPermits    = "permits"    // PermitParams -> PermitResult; demand for endpoints with a limit, and permits for them
	MethodTrial      = "trial"      // TrialParams -> TrialResult; a run of a request with suspect parts
	MethodStreams    = "streams"    // StreamParams -> StreamResult; which release of endpoints began which stream
	MethodAllowance  = "allowance"  // AllowanceParams -> AllowanceResult; customers' use at an entry, and their shares of allowances there
	MethodCommit     = "commit"     // command on behalf of a subscriber -> state.Result
)

// Methods of agents.
const (
	MethodRun    = "run"    // RunParams -> RunResult
	MethodResume = "resume" // ResumeParams -> RunResult
	MethodAck    = "ack"    // notification Ack
	MethodCancel = "cancel" // CancelParams -> RunResult
	MethodPart   = "part"   // notification Part, agent to entry
	MethodEnd    = "end"    // notification End, agent to entry
	MethodPing   = "ping"   // -> routing.Load
)

// Role names what kind of process a subscriber is.
type Role string

// The roles of subscribers.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Process identifies one running process.
type Process struct {
	Role        Role              `json:"role"`
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// ProposeParams forwards a command to the leader.
type ProposeParams struct {
	Command state.Command `json:"command"`
}

// SubscribeParams asks for every change after From.
type SubscribeParams struct {
	Process Process        `json:"process"`
	From    ident.Position `json:"from"`
}

// SubscribeResult answers a subscription: Changes after From follow, or a full
// copy if From is too old.
type SubscribeResult struct {
	To    ident.Position `json:"to"`
	Reset bool           `json:"reset,omitempty"`
}

// Changes carries changes in order. A full copy comes in pages: the first has
// Reset set, the last has More unset.
type Changes struct {
	From    ident.Index    `json:"from"`
	To      ident.Index    `json:"to"`
	Reset   bool           `json:"reset,omitempty"`
	More    bool           `json:"more,omitempty"`
	Changes []state.Change `json:"changes,omitempty"`
}

// Beat is a subscriber's heartbeat. It carries the index in force there.
type Beat struct {
	Process Process           `json:"process"`
	Index   ident.Index       `json:"index"`
	Config  ident.Index       `json:"config"`
	Report  *placement.Report `json:"report,omitempty"`
}

// BeatResult answers a beat.
type BeatResult struct {
	Index   ident.Index `json:"index"`             // every change up to here was sent on this connection before
	Entries int         `json:"entries"`           // live entries, by which sold rates are divided
	Unknown bool        `json:"unknown,omitempty"` // not subscribed on this connection
}

// Sessions reports to the leader the processes that sent heartbeats to a control host.
type Sessions struct {
	From  consensus.NodeID `json:"from"`
	Beats []Beat           `json:"beats"`
}

// SessionsResult answers Sessions. The control host forwards it to its subscribers.
type SessionsResult struct {
	Entries int `json:"entries"`
}

// DemandParams reports the waiting requests of an entry to control.
type DemandParams struct {
	Demands []DemandIn `json:"demands"`
}

// DemandIn is a Demand whose deadline is relative, because hosts' clocks differ.
type DemandIn struct {
	Demand placement.Demand `json:"demand"`
	Within time.Duration    `json:"within"`
}

// EstimateIn is an Estimate relative to the time of its answer.
type EstimateIn struct {
	Target ident.Target  `json:"target"`
	In     time.Duration `json:"in"`
	Known  bool          `json:"known"`
	Reason string        `json:"reason,omitempty"`
}

// DemandResult answers a demand.
type DemandResult struct {
	Estimates []EstimateIn `json:"estimates"`
}

// FreshResult is an index that a quorum confirmed to be the newest at the time
// of the call.
type FreshResult struct {
	Index ident.Index `json:"index"`
}

// ClaimParams opens or settles a claim.
type ClaimParams struct {
	Open   *state.OpenClaim   `json:"open,omitempty"`
	Settle *state.SettleClaim `json:"settle,omitempty"`
}

// RunParams asks an agent to run one attempt.
type RunParams struct {
	Attempt     ident.Attempt   `json:"attempt"`
	Entry       ident.HostID    `json:"entry"`
	Agent       ident.HostID    `json:"agent"` // intended host; another host at the address refuses
	Config      ident.Position  `json:"config"`
	Customer    ident.Customer  `json:"customer"`
	Weight      float64         `json:"weight"`
	Priority    record.Priority `json:"priority"`
	Target      ident.Target    `json:"target"`
	Service     string          `json:"service,omitempty"` // plain service instead of a target
	Method      string          `json:"method"`
	Path        string          `json:"path"`
	ContentType string          `json:"contentType"`
	Body        []byte          `json:"body"`
	Repeatable  bool            `json:"repeatable"`
	Claim       *state.ClaimKey `json:"claim,omitempty"`
	StartWithin time.Duration   `json:"startWithin"`
	EndWithin   time.Duration   `json:"endWithin"`
	// SentTo is the incarnation to which this attempt was first sent, or 0 when
	// it is first sent. A process of another incarnation cannot know whether the
	// earlier one ran the attempt and must not start it.
	SentTo ident.Incarnation `json:"sentTo,omitempty"`
}

// RunState is the outcome of an attempt at an agent.
type RunState string

// The states of attempts.
const (
	RunAccepted RunState = "accepted" // queued or running; parts and an end follow
	RunNotRun   RunState = "not_run"  // refused; it did not run and never will
	RunUnknown  RunState = "unknown"  // this process cannot tell whether it ran
)

// RunResult answers Run, Resume and Cancel.
type RunResult struct {
	State       RunState          `json:"state"`
	Reason      string            `json:"reason,omitempty"`
	RetryAfter  time.Duration     `json:"retryAfter,omitempty"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Load        routing.Load      `json:"load"`
	// Records are the record changes that the entry is missing, if it was refused
	// for an old configuration index.
	Records []state.Record `json:"records,omitempty"`
}

// ResumeParams requests the rest of an answer from a byte offset, over this connection.
type ResumeParams struct {
	Attempt ident.Attempt `json:"attempt"`
	Offset  int64         `json:"offset"`
}

// Ack acknowledges the bytes of an answer below Offset.
type Ack struct {
	Attempt ident.Attempt `json:"attempt"`
	Offset  int64         `json:"offset"`
}

// CancelParams cancels an attempt. If the agent has not received the attempt yet, it
// refuses a Run that arrives later.
type CancelParams struct {
	Attempt ident.Attempt     `json:"attempt"`
	SentTo  ident.Incarnation `json:"sentTo"`
}

// Part is a piece of an answer. The first one carries Head.
type Part struct {
	Attempt ident.Attempt `json:"a"`
	Offset  int64         `json:"o"`
	Data    []byte        `json:"d,omitempty"`
	Head    *Head         `json:"h,omitempty"`
}

// Head is the beginning of an answer.
type Head struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
}

// End ends an answer.
type End struct {
	Attempt ident.Attempt `json:"a"`
	Total   int64         `json:"total"` // bytes of the whole answer
	State   RunState      `json:"state"` // accepted: the answer is whole
	Reason  string        `json:"reason,omitempty"`
	Load    routing.Load  `json:"load"`
	// Ended names the incarnation of the engine or service that ended while it ran the
	// attempt; "" if it did not end, or that is not known.
	Ended string `json:"ended,omitempty"`
}

// MemberParams changes the membership of the control group.
type MemberParams struct {
	Member   consensus.Member `json:"member"`
	Remove   bool             `json:"remove,omitempty"`
	Transfer bool             `json:"transfer,omitempty"` // transfer leadership to Member
}

// JoinParams requests membership of the control group.
type JoinParams struct {
	ID        consensus.NodeID `json:"id"`
	Addr      string           `json:"addr"`
	Forwarded bool             `json:"forwarded,omitempty"` // by a member that does not lead
	Volatile  bool             `json:"volatile,omitempty"`  // the host has no disk
}

// Greeting is exchanged by control hosts, in a call and its answer, to learn each other's
// identity and addresses. No decision depends on it: see package contact.
type Greeting struct {
	Group  ident.Group      `json:"group"`
	ID     consensus.NodeID `json:"id"`
	Addr   string           `json:"addr"`
	Leader string           `json:"leader,omitempty"` // address of the leader that the sender follows or is
	Known  []string         `json:"known,omitempty"`  // addresses of other control hosts
}

// PullParams requests the changes since the state that an entry holds. It is sent to the
// leader by entries that reach endpoints directly.
type PullParams struct {
	Host    ident.HostID  `json:"host"`
	Term    uint64        `json:"term"`              // of the endpoints held
	Rev     uint64        `json:"rev"`               // of the endpoints held
	Version uint64        `json:"version"`           // of the deployment held
	Hold    time.Duration `json:"hold"`              // how long the answer may wait for a change
	First   bool          `json:"first,omitempty"`   // the entry holds no deployment: a quorum must confirm the leader before it answers
	Leaving bool          `json:"leaving,omitempty"` // the entry is stopping and accepts no new requests
	Entries int           `json:"entries,omitempty"` // entries that it knows of, including itself; 0 before a leader reported them
	// Suspects names the state held of requests under which endpoints ended.
	Suspects SuspectMark `json:"suspects,omitzero"`
}

// SuspectMark names a published state of the requests under which endpoints ended. It is
// separate from the revision of the endpoints because a leader publishes it before it has
// read a list.
type SuspectMark struct {
	Term uint64 `json:"term"`
	Rev  uint64 `json:"rev"`
}

// Suspects is the published state of the requests under which endpoints ended.
type Suspects struct {
	Mark SuspectMark     `json:"mark"`
	Key  poison.Key      `json:"key"`            // of the fingerprints
	Told []poison.Update `json:"told,omitempty"` // complete: other requests are not suspect
}

// TrialParams asks the leader for a trial of suspect parts of prompts, which one request has, and
// reports trials that ended without a result.
type TrialParams struct {
	Host ident.HostID         `json:"host"`
	Take []poison.Fingerprint `json:"take,omitempty"`
	Over []poison.Fingerprint `json:"over,omitempty"`
}

// TrialResult answers TrialParams.
type TrialResult struct {
	Leading bool `json:"leading"` // false: this host decides nothing
	Granted bool `json:"granted"` // the request may run now
}

// StreamParams reports which releases began streams of an entry, and which have served the services
// that have several; Find asks for one stream of Service.
type StreamParams struct {
	Host    ident.HostID              `json:"host"`
	Began   []release.Origin          `json:"began,omitempty"`
	Served  map[string][]release.Name `json:"served,omitempty"` // by service
	Find    *release.StreamID         `json:"find,omitempty"`
	Service string                    `json:"service,omitempty"`
}

// StreamResult answers StreamParams. A host that does not lead tells only what the log names.
type StreamResult struct {
	Leading bool           `json:"leading"`
	Known   bool           `json:"known"`             // Release began the stream
	Release release.Name   `json:"release,omitempty"` // if Known
	Served  []release.Name `json:"served,omitempty"`  // releases that have served Service within the life of a stream
}

// PullResult answers PullParams with the changes. Absent parts are unchanged.
type PullResult struct {
	Leading    bool               `json:"leading"`          // false: ask Leader
	Leader     string             `json:"leader,omitempty"` // address of the leader, if known
	Members    []string           `json:"members,omitempty"`
	Term       uint64             `json:"term"`
	Rev        uint64             `json:"rev"`
	Endpoints  *[]fleet.Endpoint  `json:"endpoints,omitempty"` // all, or with Delta those that changed
	Packed     []byte             `json:"packed,omitempty"`    // replaces Endpoints if there are many; by Compress
	Delta      bool               `json:"delta,omitempty"`
	Removed    []fleet.EndpointID `json:"removed,omitempty"`    // with Delta
	ListAge    time.Duration      `json:"listAge"`              // since the platform's list was read
	ListUsual  time.Duration      `json:"listUsual"`            // age that it typically reaches
	ListShown  time.Duration      `json:"listShown,omitempty"`  // since the read of the newest list that Rev shows completely; 0 if there is none
	Running    json.RawMessage    `json:"running,omitempty"`    // a map[fleet.EndpointID]int: requests in progress where they are many, of endpoints that the entry may need
	ETAs       []fleet.ETA        `json:"etas,omitempty"`       // all, or with Delta those that changed
	Deployment []byte             `json:"deployment,omitempty"` // a state.Deployment, by Compress
	Entries    int                `json:"entries"`              // live entries
	Suspects   *Suspects          `json:"suspects,omitempty"`
	// Limits are what endpoints that the entry may need said of their limits.
	Limits []allowance.EndpointStatement `json:"limits,omitempty"`
	// Pauses are those that other entries were asked for by endpoints that the entry may need.
	Pauses []notice.Advice `json:"pauses,omitempty"`
	// Paces are the endpoints that the entry may need and that are known to be slower or faster than
	// their peers, or were until lately. They are named now and then only.
	Paces map[fleet.EndpointID]pace.Factor `json:"paces,omitempty"`
}

// TellParams reports the waiting and running requests of an entry.
type TellParams struct {
	Host    ident.HostID   `json:"host"`
	Demands []fleet.Demand `json:"demands,omitempty"`
	Uses    []fleet.Use    `json:"uses,omitempty"`
	// Ends are newly observed ends of endpoints, each with a request that ran there. Answered
	// are suspect requests that were answered without ending an endpoint.
	Ends     []poison.End         `json:"ends,omitempty"`
	Answered []poison.Fingerprint `json:"answered,omitempty"`
	// SharedHosts is set once an endpoint told the entry how fast its host is at the moment.
	SharedHosts bool `json:"sharedHosts,omitempty"`
	// Rates are in the first report to a leader: what earlier reports showed to the former one.
	Rates *fleet.ArrivalRates `json:"rates,omitempty"`
	// Notices are what endpoints asked of the entry and is in force.
	Notices []notice.Report `json:"notices,omitempty"`
	// Paces are observations of the pace of endpoints that were not reported to this leader.
	Paces []pace.Sum `json:"paces,omitempty"`
	// Objectives are the shortest objectives of its requests since the last report, by model, where
	// endpoints differ in speed.
	Objectives map[string]time.Duration `json:"objectives,omitempty"`
}

// AllowanceParams reports the use of customers with an allowance at an entry.
type AllowanceParams struct {
	Host ident.HostID    `json:"host"`
	Uses []allowance.Use `json:"uses"`
}

// AllowanceResult answers AllowanceParams.
type AllowanceResult struct {
	Leading bool              `json:"leading"` // false: the report was not applied, another host leads
	Shares  []allowance.Share `json:"shares,omitempty"`
}

// PermitParams reports an entry's demand for endpoints that limit their requests.
type PermitParams struct {
	Host   ident.HostID           `json:"host"`
	Report allowance.PermitReport `json:"report"`
}

// PermitResult answers PermitParams.
type PermitResult struct {
	Leading bool                   `json:"leading"` // false: the report was not applied, another host leads
	Answer  allowance.PermitAnswer `json:"answer"`
}

// JoinResult is the membership known to the leader. A joining host needs it to
// answer the leader, which may have joined long after the membership in the
// host's own log or in the first snapshot that it receives.
type JoinResult struct {
	Members []consensus.Member `json:"members"`
}

// MemberResult answers a membership change.
type MemberResult struct {
	Done   bool   `json:"done"`
	Reason string `json:"reason,omitempty"`
	Behind bool   `json:"behind,omitempty"` // the member of the last change must catch up first; retry later
}

// SubscriberStatus is one subscriber as a control host sees it.
type SubscriberStatus struct {
	Process Process     `json:"process"`
	Index   ident.Index `json:"index"`
	Config  ident.Index `json:"config"`
	Silent  float64     `json:"silentSeconds"`
}

// InForce reports when a record change was in force at all subscribers of one
// control host.
type InForce struct {
	Index   ident.Index `json:"index"`
	Seconds float64     `json:"seconds"` // after it was committed here
	Slowest Process     `json:"slowest"`
	Open    int         `json:"open"` // subscribers that have not confirmed it
}

// ControlStatus is one control host's view.
type ControlStatus struct {
	Group       ident.Group        `json:"group"`
	Node        consensus.Status   `json:"node"`
	Config      ident.Index        `json:"config"`
	Subscribers []SubscriberStatus `json:"subscribers"`
	InForce     []InForce          `json:"inForce"`
}

// Raw is an encoded parameter that its receiver decodes.
type Raw = json.RawMessage
