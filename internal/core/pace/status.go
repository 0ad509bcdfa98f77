package pace

import (
	"cmp"
	"math"
	"slices"
)

// Status is what is known of the pace of an endpoint, for operators.
type Status struct {
	Endpoint string  `json:"endpoint"`
	Factor   Factor  `json:"factor"`   // in force: 1 until a test decides
	Estimate float64 `json:"estimate"` // as estimated, whether or not it is proven
	Evidence float64 `json:"evidence"` // observations that compare it with peers, fading
	Proof    float64 `json:"proof"`    // of the test that it is slower or faster; 1 decides
}

// Status returns what is known of all endpoints, the slowest first.
func (b *Book) Status() []Status {
	out := make([]Status, 0, len(b.endpoints))
	needed := threshold(max(b.tested, len(b.endpoints)))
	for id, e := range b.endpoints {
		out = append(out, Status{Endpoint: id, Factor: e.factor, Estimate: round(math.Exp(e.log - b.centre)), Evidence: round(e.seen),
			Proof: round(max(e.test.slow, e.test.fast) / needed)})
	}
	slices.SortFunc(out, func(x, y Status) int {
		return cmp.Or(cmp.Compare(y.Estimate, x.Estimate), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}
