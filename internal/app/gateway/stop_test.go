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

// Symptom: a stream is cut by the end of a stop, 6.3 s after it was begun.
// Sequence: answers of some 60 tokens come at 5 ms a token, though their callers would take
// 600; the entry is told to stop, 2 s before its end; a stream comes of which the engine makes
// all 600.
// Cause: the pace was worked out from the tokens asked for, of which engines make a third on
// most streams. A long answer took as many times longer than the entry foresaw.
func TestStopForeseesAnswersThatUseAllTheirTokens(t *testing.T) {
	is := is.New(t)
	const eventTokens, perToken = 6, 5 * time.Millisecond
	engine := newBackend(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, body []byte) bool {
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
	g.stopAt.Store(&stopping{time.Now(), time.Now().Add(2 * time.Second)})
	is.Equal(dial(t, g).ask("POST", "/stream/", "long", "600", "Output: 600").status, 503) // 3 s
	is.Equal(dial(t, g).ask("POST", "/stream/", "short", "90", "Output: 90").status, 200)  // 0.45 s
}
