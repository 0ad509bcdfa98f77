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

// Symptom: a host that joins over a slow link never gets its snapshot.
// Sequence: a large message goes out at 0.6 MB/s; its reader reads all the time; the
// connection is probed each second.
// Cause: the last megabytes had left as far as their sender could tell and lay in the
// kernel, and the probe behind them was not answered within its second.
func TestProbeLeavesAConnectionWithALargeMessageAlone(t *testing.T) {
	const size, rate = 3 << 20, 0.6e6
	arrived := make(chan int, 1)
	take := func(_ context.Context, _ *rpc.Conn, method string, params json.RawMessage) (any, error) {
		if method == "note" {
			arrived <- len(params)
		}
		return nil, nil
	}
	srv, err := rpc.Listen("127.0.0.1:0", rpc.Security{}, &rpc.Counter{}, take, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	c, err := rpc.Dial(t.Context(), slowTo(t, srv.Addr(), rate), rpc.Security{}, &rpc.Counter{}, refuseAll)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go probe(c)
	begun := time.Now()
	if err := c.Notify("note", strings.Repeat("x", size)); err != nil {
		t.Fatalf("after %v: %v", time.Since(begun), err)
	}
	select {
	case <-arrived:
	case <-c.Closed():
		t.Fatalf("closed after %v", time.Since(begun))
	case <-time.After(patience):
		t.Fatal("it does not arrive")
	}
	if took := time.Since(begun); took < 2*peerSilence { // else this shows nothing
		t.Fatalf("it took %v", took)
	}
}

// slowTo returns an address from which all is passed on to target at a rate, with no
// more buffered on the way than a small host's receive window.
func slowTo(t *testing.T, target string, bytesPerSecond float64) string {
	t.Helper()
	r, err := fake.NewRelay(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.SetLink(fake.NewLink(bytesPerSecond))
	return r.Addr()
}
