package gateway

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/intake"
	"github.com/cassiapass/cassiapass/internal/fake/crowd"
)

// Guards against a crash, or against something that stays counted, when clients are refused at any moment
// of their requests.
func TestRandomClientsAtSmallLimits(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Clients = intake.Limits{Bytes: 2 << 20, Conns: 24}
	g, err := New(cfg)
	is.NoErr(err)
	t.Cleanup(g.Kill)
	g.table.Store(deploy.NewTable(testDeployment()))
	g.raiseEntries(1)
	large := strings.Repeat("x", 400<<10)
	g.dir.replace(1, 1, listed(newFakeEndpoint(t, func(b *bufio.Reader, c net.Conn, r *http.Request, body []byte) bool {
		if len(body)%2 == 1 {
			return reply(c, r, 200, large)
		}
		return answerOK(b, c, r, body)
	})))
	var callers sync.WaitGroup
	for n := range 40 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(uint64(n), 1))
			for i := range 40 {
				crowd.SendRandomly(r, g.Addr(), fmt.Sprintf("POST /safe/a HTTP/1.1\r\nHost: x.example\r\nId: c%d-%d\r\n", n, i))
			}
		})
	}
	callers.Wait()
	begin := time.Now()
	for used, conns := g.clients.Used(); used+int64(conns) > 0; used, conns = g.clients.Used() {
		if time.Since(begin) > 20*time.Second {
			t.Fatalf("%d bytes and %d connections are still counted", used, conns)
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(dial(t, g).ask("POST", "/safe/a", "last", "body").status, 200)
}
