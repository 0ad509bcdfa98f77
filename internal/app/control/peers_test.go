package control

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/fake"
)

// Guards against a host that joins over a slow link and never gets its snapshot. A large
// message is sent at 0.6 MB/s to a reader that reads continuously, and the connection is
// probed each second. The fault was that the sender had written the last megabytes, which
// were still in kernel buffers, so the probe behind them was not answered within its second.
func TestProbeLeavesAConnectionWithALargeMessageAlone(t *testing.T) {
	const size, rate = 3 << 20, 0.6e6
	lines := &leadershipLines{}
	watchProcessorTime(t, lines)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("failed at %s:\n%s", time.Now().Format(time.StampMilli), lines.String())
		}
	})
	arrived := make(chan int, 1)
	handle := func(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
		if method == "note" {
			arrived <- len(params)
		}
		return nil, nil
	}
	srv, err := rpc.Listen("127.0.0.1:0", rpc.Security{}, &rpc.ByteCounter{}, handle, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	c, err := rpc.Dial(t.Context(), slowRelay(t, srv.Addr(), rate), rpc.Security{}, &rpc.ByteCounter{}, ignoreCalls)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go probe(c)
	begin := time.Now()
	if err := c.Notify("note", strings.Repeat("x", size)); err != nil {
		t.Fatalf("after %v: %v", time.Since(begin), err)
	}
	select {
	case <-arrived:
	case <-c.Closed():
		t.Fatalf("closed after %v", time.Since(begin))
	case <-time.After(waitLimit):
		t.Fatal("the message did not arrive")
	}
	if took := time.Since(begin); took < 2*maxPeerSilence { // too short to test the probe
		t.Fatalf("it took %v", took)
	}
}

// slowRelay returns the address of a relay to target with limited throughput, which buffers
// no more than a small host's receive window.
func slowRelay(t *testing.T, target string, bytesPerSecond float64) string {
	t.Helper()
	r, err := fake.NewRelay(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.SetLink(fake.NewLink(bytesPerSecond))
	return r.Addr()
}
