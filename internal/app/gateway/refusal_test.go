package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a refusal that is lost because its caller still sends when the connection is closed.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	for i := range 5 {
		c := dial(t, g)
		over := g.limits().BodyBytes + 512<<10
		_, err := fmt.Fprintf(c.c, "POST /safe/a HTTP/1.1\r\nHost: x.example\r\nId: r%d\r\nContent-Length: %d\r\n\r\n", i, over)
		is.NoErr(err)
		for range 8 {
			time.Sleep(5 * time.Millisecond) // the refusal is written meanwhile
			_, err = c.c.Write(bytes.Repeat([]byte("x"), 64<<10))
			is.NoErr(err)
		}
		is.Equal(c.receive().status, http.StatusRequestEntityTooLarge)
	}
}

// Guards against a caller that is told to send a body which is then refused.
func TestBodyOverTheLimitIsNotAskedFor(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	c := dial(t, g)
	_, err := fmt.Fprintf(c.c, "POST /safe/a HTTP/1.1\r\nHost: x.example\r\nId: r\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", g.limits().BodyBytes+1)
	is.NoErr(err)
	is.Equal(c.receive().status, http.StatusRequestEntityTooLarge) // the first answer, not 100
}

// Guards against a request that did not arrive in time and is refused without a time to retry.
func TestLateRequestIsToldWhenToRetry(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	c := dial(t, g)
	_, err := io.WriteString(c.c, "POST /safe/a HTTP/1.1\r\nHost: x.example\r\n")
	is.NoErr(err)
	a := c.receive()
	is.Equal(a.status, http.StatusRequestTimeout)
	is.True(a.header.Get("Retry-After") != "")
}

// Guards against requests inside the limits that are refused because their head or trailer is large.
func TestLargeHeadsAndTrailersAreRead(t *testing.T) {
	is := is.New(t)
	g := startGateway(t, newFakeEndpoint(t, answerOK))
	c := dial(t, g)
	large := "A: " + strings.Repeat("b", 15<<10)
	for i := range 3 {
		is.Equal(c.ask("POST", "/safe/a", fmt.Sprintf("r%d", i), "body", large).status, 200)
		_, err := fmt.Fprintf(c.c, "POST /safe/a HTTP/1.1\r\nHost: x.example\r\nId: t%d\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s\r\n\r\n", i, large)
		is.NoErr(err)
		is.Equal(c.receive().status, 200)
	}
}
