package placement

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
)

// Source is the fastest place from which an endpoint can load a checkpoint.
type Source string

// The sources, fastest first.
const (
	FromMemory Source = "memory"
	FromDisk   Source = "disk"
	FromRemote Source = "remote"
)

// Demand reports that requests for a target wait at an entry.
type Demand struct {
	Entry    ident.HostID   `json:"entry"`
	Service  string         `json:"service"`
	Customer ident.Customer `json:"customer"`
	Target   ident.Target   `json:"target"`
	Waiting  int            `json:"waiting"`
	Deadline time.Time      `json:"deadline"` // earliest among the waiting requests
	Batch    bool           `json:"batch,omitempty"`
}

// ReplicaLoad is what an agent reports of one replica.
type ReplicaLoad struct {
	ID       ident.Index `json:"id"`
	Running  int         `json:"running"`
	Waiting  int         `json:"waiting"`
	LastUsed time.Time   `json:"lastUsed"` // zero if never
}

// CachedAt reports where an endpoint caches a checkpoint.
type CachedAt struct {
	Target ident.Target `json:"target"`
	Source Source       `json:"source"`
}

// Report is an agent's report of its endpoint. Cached lists the changes since
// the agent's last report, or everything if Full is set.
type Report struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Replicas    []ReplicaLoad     `json:"replicas,omitempty"`
	Cached      []CachedAt        `json:"cached,omitempty"`
	Full        bool              `json:"full,omitempty"`
	Loaded      []LoadTime        `json:"loaded,omitempty"`
}

// LoadTime is one finished load, as measured by the agent.
type LoadTime struct {
	Source Source        `json:"source"`
	Bytes  int64         `json:"bytes"`
	Took   time.Duration `json:"took"`
}

// Estimate answers a demand.
type Estimate struct {
	Target ident.Target `json:"target"`
	Ready  time.Time    `json:"ready"` // when a replica is expected; zero if none can be decided now
	Reason string       `json:"reason,omitempty"`
}

// Policy names a placement policy. The baselines stay selectable so that every
// measurement can be repeated against them.
type Policy string

// The policies.
const (
	PolicyHistory Policy = "history" // keep-alive, order and eviction from the history of use
	PolicyFixed   Policy = "fixed"   // fixed keep-alive, loads in order of arrival
	PolicyNever   Policy = "never"   // no unloading of idle replicas, loads in order of arrival
)

// Config tunes a Planner.
type Config struct {
	Policy          Policy
	FixedKeepAlive  time.Duration
	KeepAlive       keepalive.Tuning
	StoreRate       float64 // loads per second that the weight store allows
	StoreConcurrent int     // concurrent loads that the store serves at full speed
	MemorySpeed     float64 // bytes per second; initial estimate, adjusted by measured loads
	DiskSpeed       float64
	RemoteSpeed     float64
	DemandTTL       time.Duration // a demand that is not repeated within this time is dropped
	RetryAfter      time.Duration // a target stays in demand this long after its last demand, in case its requests were refused
	MinResidence    time.Duration // minimum age at which a replica may be evicted for another target
	Prewarm         bool
	PrewarmShare    float64
}

// DefaultConfig returns the configuration measured in docs/DESIGN.md.
func DefaultConfig() Config {
	return Config{
		Policy: PolicyHistory, FixedKeepAlive: 10 * time.Minute, KeepAlive: keepalive.DefaultTuning(),
		StoreRate: 10, StoreConcurrent: 4,
		MemorySpeed: 20e9, DiskSpeed: 5e9, RemoteSpeed: 2e9,
		DemandTTL: 2 * time.Second, RetryAfter: 20 * time.Second, MinResidence: 10 * time.Second,
		Prewarm: true, PrewarmShare: 0.5,
	}
}
