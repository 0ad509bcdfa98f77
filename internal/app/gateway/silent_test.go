package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: callers leave one after the other, for seconds, while other endpoints answer.
// Sequence: an endpoint takes requests and answers nothing; each caller leaves after its
// patience, well before the time limit.
// Cause: an end by the caller told nothing about the endpoint.
func TestEndpointThatStaysSilentCountsAsFailing(t *testing.T) {
	is := is.New(t)
	mute := newBackend(t, func(_ *bufio.Reader, _ net.Conn, _ *http.Request, _ []byte) bool {
		time.Sleep(5 * time.Second)
		return false
	})
	g := startGateway(t, mute)
	leave := func(after time.Duration) float64 {
		c := dial(t, g)
		c.send("POST", "/once/x", "r", "body")
		time.Sleep(after)
		is.NoErr(c.c.Close())
		time.Sleep(50 * time.Millisecond)
		g.dir.mu.Lock()
		defer g.dir.mu.Unlock()
		return g.dir.byID["e0"].failing
	}
	is.Equal(leave(200*time.Millisecond), 0.0) // the caller was in a hurry
	is.True(leave(leastSilence+100*time.Millisecond) > 0)
}
