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
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// testLeader is a control host that leads and notes what it is told.
type testLeader struct {
	srv *rpc.Server

	mu   sync.Mutex
	told []wire.TellParams
}

func newTestLeader(t *testing.T) *testLeader {
	t.Helper()
	l := &testLeader{}
	srv, err := rpc.Listen("127.0.0.1:0", rpc.Security{}, &rpc.Counter{}, l.handle, nil, nil)
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
	l.told = append(l.told, p)
	return nil, nil
}

func (l *testLeader) reports() []wire.TellParams {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told
}

// Symptom: idle entries take a tenth of the leader's processor at the size to
// design for; or a leader believes for ever that an entry runs requests.
// Sequence: an entry has nothing to tell, then a request that waits, then nothing
// again; the connection is lost and made anew.
// Cause: nothing was said again and again; said once only, it could be lost.
func TestNothingIsToldOnceOnEachConnection(t *testing.T) {
	is := is.New(t)
	l := newTestLeader(t)
	cfg := testConfig()
	cfg.Control = []string{l.srv.Addr()}
	g, err := New(cfg)
	is.NoErr(err)
	t.Cleanup(g.Kill)
	until := func(n int) {
		t.Helper()
		for begin := time.Now(); len(l.reports()) < n; time.Sleep(5 * time.Millisecond) {
			if time.Since(begin) > 5*time.Second {
				t.Fatalf("%d reports, not %d", len(l.reports()), n)
			}
		}
	}
	until(1)
	time.Sleep(3 * tellEvery)
	is.Equal(len(l.reports()), 1) // nothing, once

	g.demands.arrive(fleet.Want{Model: "m"})
	until(3) // what arrived, and that there is nothing more
	is.Equal(l.reports()[1].Demands[0].Arrived, 1)
	is.Equal(len(l.reports()[2].Demands), 0)
	time.Sleep(3 * tellEvery)
	is.Equal(len(l.reports()), 3)

	g.sync.mu.Lock()
	conn := g.sync.conn
	g.sync.mu.Unlock()
	conn.Close()
	until(4) // again, on the next connection
}

// Symptom: 300 entries whose leader died keep the next one from reading the
// platform's list.
// Sequence: no leader is found; a read of the list of 3,000 endpoints takes 60 calls.
// Cause: each entry read it every 0.8 s, as if it were alone.
func TestEntriesWithoutALeaderShareTheListsRate(t *testing.T) {
	reads := func(entries, endpoints int, deployed bool) int64 {
		var n atomic.Int64
		cfg := testConfig()
		cfg.ListRate, cfg.ListPage = 47, 50
		cfg.List = func(context.Context) (fleet.Listing, error) {
			n.Add(1)
			return fleet.Listing{}, fleet.ErrTooOften
		}
		g, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		defer g.Kill()
		if deployed {
			g.table.Store(deploy.NewTable(testDeployment()))
		}
		g.learnEntries(entries)
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

// Symptom: a place for rare models stays taken for up to 0.2 s after its request ended.
// Cause: the leader hears of ends only with the next report.
func TestEndOfARareModelsRequestIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	l := newTestLeader(t)
	cfg := testConfig()
	cfg.Control = []string{l.srv.Addr()}
	g, err := New(cfg)
	is.NoErr(err)
	t.Cleanup(g.Kill)
	held := []fleet.Held{{Model: "rare"}, {Model: "busy"}}
	g.dir.replace(1, 1, []fleet.Endpoint{{ID: "e0", Service: "s", Slots: 4, Held: held}, {ID: "e1", Service: "s", Slots: 4, Held: held[1:]}})
	time.Sleep(2 * tellEvery) // connected
	typical := func(model string) time.Duration {
		var took []time.Duration
		for range 9 {
			e, _, _ := g.dir.take(time.Now(), "s", fleet.Want{Model: model}, nil)
			if e == nil {
				t.Fatal("none was taken")
			}
			time.Sleep(tellEvery / 3) // reports come out of step with the ends
			before, begin := len(l.reports()), time.Now()
			g.dir.release(e, fleet.Want{Model: model}, went)
			for len(l.reports()) == before {
				time.Sleep(time.Millisecond)
			}
			took = append(took, time.Since(begin))
		}
		slices.Sort(took)
		return took[len(took)/2]
	}
	is.True(typical("rare") < tellEvery/3)
	is.True(typical("busy") > tellEvery/3) // those would be told all the time
}

// Symptom: an entry that knew the leader's address forgets it and serves nothing more.
// Sequence: the leader told its members; the entry asks a host that has lost all it
// knew and names its seeds, which have too.
// Cause: what a host that does not lead told replaced what the entry knew.
func TestHostThatLostAllTakesNothingFromAnEntry(t *testing.T) {
	is := is.New(t)
	s := &syncer{seeds: []string{"seed:1"}}
	s.learn([]string{"disk:1", "disk:2"})
	s.hear([]string{"seed:1", "seed:2"})
	is.Equal(s.candidates(), []string{"disk:1", "disk:2", "seed:1", "seed:2"})
	for i := range 2 * mostHeard {
		s.hear([]string{fmt.Sprint("told:", i)})
	}
	is.Equal(len(s.members), mostHeard)
	s.learn([]string{"disk:3"}) // the leader knows
	is.Equal(s.candidates(), []string{"disk:3", "seed:1"})
}

// Symptom: after all processes were killed, entries take callers in 0.5 s after a
// leader leads, all of them.
// Sequence: one control host was replaced; the entries' settings still name it, and
// nothing answers at its address. Each entry dials it in its turn.
// Cause: dials came one after the other, each with the whole time.
// Time until the leader is reached, with a silent address before it in turn: 53 ms. One
// dial at a time fails after connectWait and leaves the leader for the next attempt.
func TestSilentControlHostDelaysNoEntry(t *testing.T) {
	is := is.New(t)
	key := rpc.Security{Key: []byte("a-shared-key-of-16-bytes")}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and answers nothing
	is.NoErr(err)
	t.Cleanup(func() { _ = silent.Close() })
	l := &testLeader{}
	l.srv, err = rpc.Listen("127.0.0.1:0", key, &rpc.Counter{}, l.handle, nil, nil)
	is.NoErr(err)
	t.Cleanup(l.srv.Close)
	cfg := testConfig()
	cfg.Security = key
	s := &syncer{g: &Gateway{cfg: cfg, met: &metrics{}}, seeds: []string{silent.Addr().String(), l.srv.Addr()}}
	begin := time.Now()
	conn, err := s.connect(t.Context())
	is.NoErr(err)
	defer conn.Close()
	took := time.Since(begin)
	t.Logf("reached after %v", took)
	is.Equal(s.addr, l.srv.Addr())
	is.True(took < connectWait/2)
}
