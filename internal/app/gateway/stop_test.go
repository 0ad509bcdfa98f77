package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// Guards against a stream that the end of a stop cuts 6.3 s after it was begun. Answers of
// about 60 tokens take 5 ms a token, though their callers allow 600; the entry has to stop
// within 2 s; a stream arrives for which the engine generates all 600. A pace that is computed
// from the tokens requested, of which engines generate a third on most streams, underestimates
// the time of a long answer by the same factor.
func TestStopAllowsForAnswersThatUseAllTheirTokens(t *testing.T) {
	is := is.New(t)
	const eventTokens, perToken = 6, 5 * time.Millisecond
	engine := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, body []byte) bool {
		tokens, _ := strconv.Atoi(string(body))
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id")); err != nil {
			return false
		}
		for i := range tokens / eventTokens {
			time.Sleep(eventTokens * perToken)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	g := startGateway(t, engine)
	dep := testDeployment()
	dep.Services["s"].Engine = &deploy.Engine{EventTokens: eventTokens}
	g.table.Store(deploy.NewTable(dep))
	eps := listed(engine)
	eps[0].Slots = 1000
	g.dir.replace(1, 2, eps)
	var before sync.WaitGroup
	for i := range 150 {
		c := dial(t, g)
		c.send("POST", "/stream/", fmt.Sprint("b", i), "60", "Output: 600")
		before.Go(func() { c.receive() })
	}
	before.Wait()
	g.stopping.Store(&stopWindow{time.Now(), time.Now().Add(2 * time.Second)})
	is.Equal(dial(t, g).ask("POST", "/stream/", "long", "600", "Output: 600").status, 503) // 3 s
	is.Equal(dial(t, g).ask("POST", "/stream/", "short", "90", "Output: 90").status, 200)  // 0.45 s
}
