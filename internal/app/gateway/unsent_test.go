package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/limit"
)

// Symptom: requests are refused, as the retry budget is used up, though idle endpoints wait.
// Sequence: a quarter of the endpoints crash at once; each entry dials some of them before it
// finds one that lives.
// Cause: a dial that nobody took was counted as an arrival.
func TestDialsToDeadEndpointsUseNoRetryBudget(t *testing.T) {
	is := is.New(t)
	alive := newBackend(t, answerOK)
	dead := []*backend{newBackend(t, answerOK), newBackend(t, answerOK), newBackend(t, answerOK)}
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
