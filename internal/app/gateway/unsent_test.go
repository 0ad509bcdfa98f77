package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/limit"
)

// Guards against requests that are refused because the retry budget is used up though there
// are idle endpoints: a quarter of the endpoints crash at once, each entry dials some of them
// before it finds a live one, and a failed dial counts as an arrival.
func TestDialsToDeadEndpointsUseNoRetryBudget(t *testing.T) {
	is := is.New(t)
	alive := newFakeEndpoint(t, answerOK)
	dead := []*fakeEndpoint{newFakeEndpoint(t, answerOK), newFakeEndpoint(t, answerOK), newFakeEndpoint(t, answerOK)}
	for _, b := range dead {
		is.NoErr(b.l.Close())
	}
	g := startGateway(t, append(dead, alive)...)
	g.budget("s", func(b *limit.Shared) bool {
		for b.Left() > 0 {
			b.Retry(1)
		}
		return true
	})
	for i := range 4 {
		r := dial(t, g).ask("POST", "/once/x", fmt.Sprintf("r%d", i), "body")
		is.Equal(r.status, 200)
	}
	is.Equal(alive.arrivals(), 4)
}
