package placement

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
)

// Source tells where a checkpoint is nearest to an endpoint.
type Source string

// The sources, fastest first.
const (
	FromMemory Source = "memory"
	FromDisk   Source = "disk"
	FromRemote Source = "remote"
)

// Demand tells that requests for a target wait at an entry.
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

// CachedAt tells where an endpoint holds a checkpoint.
type CachedAt struct {
	Target ident.Target `json:"target"`
	Source Source       `json:"source"`
}

// Report is what an agent tells of its endpoint. Cached lists only what
// changed since the agent's last report, everything when Full is set.
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

// Policy names a way of deciding. The baselines stay selectable so that every
// figure can be measured against them again.
type Policy string

// The policies.
const (
	PolicyHistory Policy = "history" // this package's own
	PolicyFixed   Policy = "fixed"   // fixed keep-alive, loads first come first served
	PolicyNever   Policy = "never"   // never unload for idleness, loads first come first served
)

// Config tunes a Planner.
type Config struct {
	Policy          Policy
	FixedKeepAlive  time.Duration
	KeepAlive       keepalive.Tuning
	StoreRate       float64 // loads per second that the weight store allows
	StoreConcurrent int     // loads at once that the store serves at full speed
	MemorySpeed     float64 // bytes per second, first estimate until loads were measured
	DiskSpeed       float64
	RemoteSpeed     float64
	DemandTTL       time.Duration // a demand not repeated for this long is dropped
	RetryAfter      time.Duration // a target whose waiting requests were refused stays wanted this long
	MinResidence    time.Duration // a replica is not evicted for another target before this age
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
