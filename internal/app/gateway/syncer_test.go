package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// testLeader is a leading control host that keeps the reports it receives.
type testLeader struct {
	srv *rpc.Server

	mu       sync.Mutex
	received []wire.TellParams
}

func newTestLeader(t *testing.T) *testLeader {
	t.Helper()
	l := &testLeader{}
	srv, err := rpc.Listen("127.0.0.1:0", rpc.Security{}, &rpc.ByteCounter{}, l.handle, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	l.srv = srv
	t.Cleanup(srv.Close)
	return l
}

func (l *testLeader) handle(_ context.Context, _ *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	if method == wire.MethodPull {
		time.Sleep(20 * time.Millisecond)
		return wire.PullResult{Leading: true, Term: 1, ListAge: -1}, nil
	}
	var p wire.TellParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = append(l.received, p)
	return nil, nil
}

func (l *testLeader) reports() []wire.TellParams {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// Guards against idle entries that take a tenth of the leader's processor at the design size,
// because they repeat empty reports; and against a leader that assumes permanently that an
// entry runs requests, because a single empty report was lost. An entry has nothing to report,
// then a request that waits, then nothing; the connection is lost and made again.
func TestIdleReportIsSentOncePerConnection(t *testing.T) {
	is := is.New(t)
	l := newTestLeader(t)
	cfg := testConfig()
	cfg.Control = []string{l.srv.Addr()}
	g, err := New(cfg)
	is.NoErr(err)
	t.Cleanup(g.Kill)
	waitForReports := func(n int) {
		t.Helper()
		for begin := time.Now(); len(l.reports()) < n; time.Sleep(5 * time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				t.Fatalf("%d reports, not %d", len(l.reports()), n)
			}
		}
	}
	waitForReports(1)
	time.Sleep(3 * reportInterval)
	is.Equal(len(l.reports()), 1) // an empty report, once

	g.demands.recordArrival(fleet.Want{Model: "m"}, nil)
	waitForReports(3) // what arrived, and an empty report
	is.Equal(l.reports()[1].Demands[0].Arrived, 1)
	is.Equal(len(l.reports()[2].Demands), 0)
	time.Sleep(3 * reportInterval)
	is.Equal(len(l.reports()), 3)

	g.sync.mu.Lock()
	conn := g.sync.conn
	g.sync.mu.Unlock()
	conn.Close()
	waitForReports(4) // again, on the next connection
}

// Guards against 300 entries without a leader that keep the next leader from reading the
// platform's list: a read of the list of 3,000 endpoints takes 60 calls, and each entry reads
// it every 0.8 s, as if it were alone.
func TestEntriesWithoutALeaderShareTheListsRate(t *testing.T) {
	reads := func(entries, endpoints int, deployed bool) int64 {
		var n atomic.Int64
		cfg := testConfig()
		cfg.ListRate, cfg.ListPage = 47, 50
		cfg.List = func(context.Context) (fleet.Listing, error) {
			n.Add(1)
			return fleet.Listing{}, fleet.ErrRateLimited
		}
		g, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		defer g.Kill()
		if deployed {
			g.table.Store(deploy.NewTable(testDeployment()))
		}
		g.raiseEntries(entries)
		eps := make([]fleet.Endpoint, endpoints)
		for i := range eps {
			eps[i].ID = fleet.EndpointID(fmt.Sprint(i))
		}
		g.dir.replace(1, 1, eps)
		time.Sleep(2500 * time.Millisecond)
		return n.Load()
	}
	is := is.New(t)
	is.True(reads(9, 22, true) >= 1)       // it does read
	is.True(reads(300, 3000, true) <= 1)   // and leaves the others their share
	is.Equal(reads(1, 1, false), int64(0)) // nothing can be served without a deployment
}

// Guards against memory that stays occupied by a rare model for up to 0.2 s after its request
// ended, because the leader receives the end only with the next periodic report.
func TestEndOfARareModelsRequestIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	l := newTestLeader(t)
	cfg := testConfig()
	cfg.Control = []string{l.srv.Addr()}
	g, err := New(cfg)
	is.NoErr(err)
	t.Cleanup(g.Kill)
	held := []fleet.Held{{Model: "rare"}, {Model: "busy"}}
	g.dir.replace(1, 1, []fleet.Endpoint{{ID: "e0", Service: "s", Slots: 4, Held: held}, {ID: "e1", Service: "s", Slots: 4, Held: held[1:]}})
	time.Sleep(2 * reportInterval) // until it is connected
	medianDelay := func(model string) time.Duration {
		var took []time.Duration
		for range 9 {
			e, _ := g.dir.acquire(time.Now(), query{service: "s", want: fleet.Want{Model: model}, waiter: &allowance.Waiter{}})
			if e == nil {
				t.Fatal("no endpoint was acquired")
			}
			time.Sleep(reportInterval / 3) // so that reports are not in step with the ends
			before, begin := len(l.reports()), time.Now()
			g.dir.release(e, fleet.Want{Model: model}, succeeded)
			for len(l.reports()) == before {
				time.Sleep(time.Millisecond)
			}
			took = append(took, time.Since(begin))
		}
		slices.Sort(took)
		return took[len(took)/2]
	}
	is.True(medianDelay("rare") < reportInterval/3)
	is.True(medianDelay("busy") > reportInterval/3) // these would be reported all the time
}

// Guards against an entry that drops the leader's address and cannot serve any more: the
// leader reported the members; then the entry asks a host that has lost its state and reports
// its seeds, which have lost theirs too. Reports of a host that is not the leader must not
// replace what the entry knows.
func TestHostThatLostItsStateRemovesNoKnownMembers(t *testing.T) {
	is := is.New(t)
	s := &syncer{seeds: []string{"seed:1"}}
	s.setMembers([]string{"disk:1", "disk:2"})
	s.addMembers([]string{"seed:1", "seed:2"})
	is.Equal(s.candidates(), []string{"disk:1", "disk:2", "seed:1", "seed:2"})
	for i := range 2 * maxMembers {
		s.addMembers([]string{fmt.Sprint("told:", i)})
	}
	is.Equal(len(s.members), maxMembers)
	s.setMembers([]string{"disk:3"}) // the leader's report replaces all
	is.Equal(s.candidates(), []string{"disk:3", "seed:1"})
}

// Guards against entries that all accept requests only 0.5 s after there is a leader, when all
// processes were killed: one control host was replaced, the entries' settings still name it,
// nothing answers at its address, and each entry dials it before others with the whole time.
// With a silent address before the leader's, the leader is reached after 53 ms. One dial at a
// time fails after connectTimeout and leaves the leader for the next attempt.
func TestSilentControlHostDelaysNoEntry(t *testing.T) {
	is := is.New(t)
	key := rpc.Security{Key: []byte("a-shared-key-of-16-bytes")}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and answers nothing
	is.NoErr(err)
	t.Cleanup(func() { _ = silent.Close() })
	l := &testLeader{}
	l.srv, err = rpc.Listen("127.0.0.1:0", key, &rpc.ByteCounter{}, l.handle, nil, nil)
	is.NoErr(err)
	t.Cleanup(l.srv.Close)
	cfg := testConfig()
	cfg.Security = key
	s := &syncer{g: &Gateway{cfg: cfg, metrics: &metrics{}}, seeds: []string{silent.Addr().String(), l.srv.Addr()}}
	begin := time.Now()
	conn, err := s.connect(t.Context())
	is.NoErr(err)
	defer conn.Close()
	took := time.Since(begin)
	t.Logf("reached after %v", took)
	is.Equal(s.addr, l.srv.Addr())
	is.True(took < connectTimeout/2)
}
