package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// allowanceLeader is a leader that grants allowances and publishes nothing else.
type allowanceLeader struct {
	mu     sync.Mutex
	alloc  *allowance.Allocator
	frozen bool // it answers nothing
}

func (l *allowanceLeader) freeze(frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = frozen
}

func (l *allowanceLeader) handle(ctx context.Context, _ *rpc.Conn, method string, raw json.RawMessage) (any, error) {
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch method {
	case wire.MethodPull:
		time.Sleep(20 * time.Millisecond)
		return wire.PullResult{Leading: true, Term: 1, Rev: 1, ListAge: -1, Entries: 1}, nil
	case wire.MethodAllowance:
		var p wire.AllowanceParams
		if err := json.Unmarshal(raw, &p); err != nil {
			return nil, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return wire.AllowanceResult{Leading: true, Shares: l.alloc.Report(time.Now(), string(p.Host), p.Uses)}, nil
	case wire.MethodTell:
		return nil, nil
	}
	return nil, errors.New("unexpected " + method)
}

// startLimited runs a gateway and its leader; customer "a" has an allowance of that rate
// and burst.
func startLimited(t *testing.T, rate, burst float64, b *fakeEndpoint) (*Gateway, *allowanceLeader) {
	t.Helper()
	l := &allowanceLeader{alloc: allowance.NewAllocator(allowance.Tolerance{})}
	l.alloc.SetLimits(time.Now().Add(-time.Hour), []allowance.Limit{{Customer: "a", Rate: rate, Burst: burst}})
	srv, err := rpc.Listen("127.0.0.1:0", rpc.Security{}, &rpc.ByteCounter{}, l.handle, func(*rpc.Conn) {}, func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	limited, err := customer.NewBook(customer.NewDigester([]byte("test")), []customer.Entry{
		{Customer: customer.Customer{Name: "a", Allowance: customer.Allowance{Rate: rate, Burst: burst}}, Keys: []customer.Key{"k1"}},
		{Customer: customer.Customer{Name: "b"}, Keys: []customer.Key{"k2"}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.Control = []string{srv.Addr()}
	cfg.Decode = func(string) (*deploy.Config, error) {
		c := testDeployment()
		c.Customers = limited
		return c, nil
	}
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	g.applyDeployment(state.Deployment{Version: 1})
	g.dir.replace(1, 1, listed(b))
	for g.sync.leader() == nil {
		time.Sleep(time.Millisecond)
	}
	return g, l
}

func TestCustomerOverItsAllowanceIsRefusedAndOthersAreNot(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g, _ := startLimited(t, 0.5, 3, b)
	c := dial(t, g)
	refused := 0
	for range 60 {
		got := c.ask("GET", "/safe/x", "r1", "", "Key: k1")
		if got.status == 429 {
			refused++
			is.True(got.header.Get("Retry-After") > "0")
		}
		is.Equal(c.ask("GET", "/safe/x", "r2", "", "Key: k2").status, 200)
		time.Sleep(10 * time.Millisecond)
	}
	is.True(refused > 25) // all from the first report on
	is.Equal(b.arrivals(), 120-refused)
}

// Guards against charging a customer's allowance for a request that never ran.
func TestRequestThatDidNotRunIsRefunded(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g, l := startLimited(t, 0.001, 100, b)
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r1", "", "Key: k1", "Model: none", "Left: 200").status, 503)
	time.Sleep(3 * allowance.ReportInterval)
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.alloc.Status(time.Now())[0]
	is.Equal(st.Used, 0.0)
	is.Equal(st.Asked, 1.0)
}

// Guards against an entry that refuses all requests, or delays them, while its leader is
// frozen.
func TestFrozenLeaderDelaysNoRequest(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g, l := startLimited(t, 1000, 1000, b)
	c := dial(t, g)
	ask := func(n int) (served int) {
		for range n {
			begin := time.Now()
			if c.ask("GET", "/safe/x", "r1", "", "Key: k1").status == 200 {
				served++
			}
			is.True(time.Since(begin) < 150*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
		return served
	}
	is.Equal(ask(60), 60)
	l.freeze(true)
	is.True(ask(100) > 70)
	l.freeze(false)
	time.Sleep(2 * pullTimeout)
	is.Equal(ask(10), 10)
}
