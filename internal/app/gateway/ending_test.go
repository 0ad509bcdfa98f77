package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// unframed begins an answer that ends with its connection.
func unframed(c net.Conn, r *http.Request, contentType, body string, fields ...string) {
	head := append([]string{"HTTP/1.1 200 OK", "Id: " + r.Header.Get("Id"), "Content-Type: " + contentType}, fields...)
	_, _ = io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"+body)
}

// unframedEndpoint answers every request with the same unframed body and closes the connection in
// the ordinary way; with ends set its process is gone then.
func unframedEndpoint(t *testing.T, contentType, body string, ends bool, fields ...string) *fakeEndpoint {
	t.Helper()
	made := make(chan *fakeEndpoint, 1)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		unframed(c, r, contentType, body, fields...)
		if ends {
			self := <-made
			_ = self.l.Close()
			made <- self
		}
		return false
	})
	made <- b
	return b
}

// askAs sends a request with a minor HTTP version and returns the answer, and whether its framing
// claims an end: by a length or a last chunk, or for HTTP/1.0 by an orderly close.
func askAs(t *testing.T, g *Gateway, minor int, method, path string) (got, bool) {
	t.Helper()
	c := dial(t, g)
	if _, err := fmt.Fprintf(c.c, "%s %s HTTP/1.%d\r\nHost: x.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nx", method, path, minor); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(c.br, nil)
	if err != nil {
		t.Fatal("no answer: ", err)
	}
	body, err := io.ReadAll(r.Body)
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || minor == 0
	return got{r.StatusCode, r.Header, string(body), err, r.Close}, framed && err == nil
}

const eventStream = "text/event-stream"

// Guards against a stream cut within an event that its caller takes for complete.
func TestUnframedStreamCutWithinAnEventDoesNotLookComplete(t *testing.T) {
	cuts := map[string]string{
		"in the data":             events(1, 2) + event(3)[:9],
		"in the last line break":  events(1, 2) + strings.TrimSuffix(event(3), "\n"),
		"in a CRLF line break":    strings.ReplaceAll(events(1, 2), "\n", "\r\n") + "id: 3\r\ndata: x\r\n\r",
		"after a comment":         events(1, 2) + ": busy\n",
		"in a multi-line event":   events(1, 2) + "id: 3\ndata: a\ndata: b\n",
		"in the first event":      "id: 1\nda",
		"before the first event ": "i",
	}
	for _, path := range []string{"/stream/", "/resume/"} {
		for name, body := range cuts {
			for _, ends := range []bool{false, true} {
				for minor := range 2 {
					t.Run(fmt.Sprintf("%s %s ends=%v HTTP/1.%d", path, name, ends, minor), func(t *testing.T) {
						is := is.New(t)
						g := startGateway(t, unframedEndpoint(t, eventStream, body, ends))
						a, _ := askAs(t, g, minor, "POST", path)
						is.True(a.err != nil) // visibly cut
					})
				}
			}
		}
	}
}

// Guards against an answer that ends with its connection, because its endpoint crashed, and gets a
// length or a last chunk that the endpoint never sent.
func TestUnframedAnswerOfAnEndpointThatEndsDoesNotLookComplete(t *testing.T) {
	large := strings.Repeat("z", maxBufferedBody+100)
	for _, c := range []struct{ path, contentType, body string }{
		{"/stream/", eventStream, events(1, 2)},
		{"/resume/", eventStream, events(1, 2)},
		{"/once/", "text/plain", "half of"},
		{"/safe/", "text/plain", "half of"},
		{"/once/", "text/plain", large},
		{"/safe/", "text/plain", large},
	} {
		for minor := range 2 {
			t.Run(fmt.Sprintf("%s %d HTTP/1.%d", c.path, len(c.body), minor), func(t *testing.T) {
				is := is.New(t)
				g := startGateway(t, unframedEndpoint(t, c.contentType, c.body, true))
				a, complete := askAs(t, g, minor, "POST", c.path)
				is.True(!complete || a.status == http.StatusBadGateway)
				is.True(a.err != nil || a.status == http.StatusBadGateway) // the process is gone: it is known to be cut
			})
		}
	}
}

// Guards against a claim that nobody can make: the process lives on, and nothing tells whether it
// broke the answer off.
func TestUnframedAnswerOfALivingEndpointKeepsItsFraming(t *testing.T) {
	large := strings.Repeat("z", maxBufferedBody+100)
	for _, c := range []struct{ path, contentType, body string }{
		{"/stream/", eventStream, events(1, 2)},
		{"/resume/", eventStream, events(1, 2)},
		{"/once/", "text/plain", "hello"},
		{"/safe/", "text/plain", "hello"},
		{"/once/", "text/plain", large},
	} {
		for _, leaving := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s %d leaving=%v", c.path, len(c.body), leaving), func(t *testing.T) {
				is := is.New(t)
				var fields []string
				if leaving {
					fields = append(fields, "Leaving: 1") // its process may be gone by the end of the answer
				}
				g := startGateway(t, unframedEndpoint(t, c.contentType, c.body, leaving, fields...))
				a, claimed := askAs(t, g, 1, "POST", c.path)
				is.NoErr(a.err)
				is.Equal(a.body, c.body) // it arrives whole
				is.True(!claimed)
				is.True(a.closes)
			})
		}
	}
}

// Guards against a cut answer for which another endpoint's was not asked though the route allows it.
func TestUnframedAnswerThatBrokeOffIsRepeatedOrResumed(t *testing.T) {
	for _, c := range []struct{ path, contentType, cut, whole string }{
		{"/safe/", "text/plain", "half of", "hello"},
		{"/resume/", eventStream, events(1, 2) + "id: 3\nda", events(1, 4)},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			bad := unframedEndpoint(t, c.contentType, c.cut, true)
			good := newFakeEndpoint(t, func(_ *bufio.Reader, w net.Conn, r *http.Request, _ []byte) bool {
				return reply(w, r, 200, c.whole, "Content-Type: "+c.contentType)
			})
			g := startGateway(t, bad, good)
			eps := listed(bad, good)
			eps[1].Zone = "b" // the endpoint of the entry's own zone is chosen first
			g.dir.replace(1, 2, eps)
			for range 2 { // the choice is random: the second request finds the first endpoint gone
				if a, _ := askAs(t, g, 1, "POST", c.path); bad.arrivals() > 0 {
					is.NoErr(a.err)
					is.Equal(a.body, c.whole)
					return
				}
			}
		})
	}
}

// Guards against an answer without a body that is taken for one that ends with its connection.
func TestAnswersWithoutABodyStayComplete(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		status := "204 No Content"
		if r.Method == http.MethodHead {
			status = "200 OK"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 %s\r\nId: %s\r\n\r\n", status, r.Header.Get("Id"))
		return true
	})
	g := startGateway(t, b)
	c := dial(t, g)
	for i, method := range []string{"HEAD", "DELETE"} {
		c.send(method, "/once/", fmt.Sprint("r", i), "")
		r, err := http.ReadResponse(c.br, &http.Request{Method: method})
		is.NoErr(err)
		is.True(!r.Close)
	}
	is.Equal(b.connections(), 1)
	is.Equal(g.dir.snapshot(g.dir.byID[fleet.EndpointID("e0")]).failureShare, 0.0)
}
