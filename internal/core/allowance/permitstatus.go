package allowance

import (
	"cmp"
	"slices"
	"time"
)

// LimitStatus is the state of one endpoint's limit, for operators.
type LimitStatus struct {
	Endpoint string             `json:"endpoint"`
	Rate     float64            `json:"rate"` // requests a second
	Ended    bool               `json:"ended"`
	Age      float64            `json:"ageSeconds"` // since the endpoint said so
	Source   string             `json:"source"`     // the entry that reported it
	Level    float64            `json:"level"`      // permits in the bucket
	Demand   float64            `json:"demand"`     // requests a second that would go there, over all entries
	Waiting  int                `json:"waiting"`    // requests that wait for a permit
	Granted  float64            `json:"granted"`    // permits since this leader knows the limit
	Entries  []LimitEntryStatus `json:"entries"`
}

// LimitEntryStatus is what one entry asks for at a limited endpoint.
type LimitEntryStatus struct {
	Entry    string  `json:"entry"`
	Demand   float64 `json:"demand"` // requests a second
	Waiting  int     `json:"waiting"`
	Fallback float64 `json:"fallback"` // requests a second while the entry cannot reach the leader
	Silent   bool    `json:"silent"`
}

// Status returns the status of all limits, ordered by endpoint.
func (l *PermitAllocator) Status(now time.Time) []LimitStatus {
	out := make([]LimitStatus, 0, len(l.limits))
	for name, a := range l.limits {
		a.refill(now, &l.presence)
		s := LimitStatus{Endpoint: name, Rate: a.Rate, Ended: a.Ended, Age: now.Sub(a.At).Seconds(), Source: a.source,
			Level: a.level, Demand: a.demand(now), Granted: a.granted, Entries: []LimitEntryStatus{}}
		for entry, p := range a.byEntry {
			q := a.queue[entry]
			s.Waiting += q.waiting
			s.Entries = append(s.Entries, LimitEntryStatus{entry, p.demand.rate(now, demandDecay), q.waiting, p.fallback, l.returns(now, entry)})
		}
		slices.SortFunc(s.Entries, func(x, y LimitEntryStatus) int { return cmp.Compare(x.Entry, y.Entry) })
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y LimitStatus) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return out
}
