package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that leave one after the other, for seconds, while other endpoints
// answer: an endpoint accepts requests and answers nothing, each caller leaves after its own
// wait limit, well before the time limit, and a request that its caller ends does not count
// against the endpoint.
func TestSilentEndpointCountsAsFailing(t *testing.T) {
	is := is.New(t)
	silent := newFakeEndpoint(t, func(_ *bufio.Reader, _ net.Conn, _ *http.Request, _ []byte) bool {
		time.Sleep(5 * time.Second)
		return false
	})
	g := startGateway(t, silent)
	leave := func(after time.Duration) float64 {
		c := dial(t, g)
		c.send("POST", "/once/x", "r", "body")
		time.Sleep(after)
		is.NoErr(c.c.Close())
		time.Sleep(50 * time.Millisecond)
		g.dir.mu.Lock()
		defer g.dir.mu.Unlock()
		return g.dir.byID["e0"].failureShare
	}
	is.Equal(leave(200*time.Millisecond), 0.0) // too early to count
	is.True(leave(minSilence+100*time.Millisecond) > 0)
}
