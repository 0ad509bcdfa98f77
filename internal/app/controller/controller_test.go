package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// testHost is a control host whose leadership is set by the test.
type testHost struct {
	releases  release.Served
	streams   release.Origins
	settled   release.Served
	mu        sync.Mutex
	lead      control.LeaderStatus
	confirmed bool
	dep       state.Deployment
	holder    holder.Record
	poison    poison.Registry
}

func (l *testHost) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *testHost) LeaderStatus() control.LeaderStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lead
}

func (l *testHost) ConfirmLeadership(context.Context, uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.confirmed {
		return errors.New("no quorum confirms it")
	}
	return nil
}

func (l *testHost) LeaderAddr() string { return "10.0.0.2:7000" }

func (l *testHost) Members() []string { return []string{"10.0.0.1:7000", "10.0.0.2:7000"} }

func (l *testHost) Holder() holder.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

func (l *testHost) CommitHolder(_ context.Context, r holder.Record) error {
	l.set(func() { l.holder = l.holder.Next(r) })
	return nil
}

func (l *testHost) Releases() (served, settled release.Served) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releases, l.settled
}

func (l *testHost) CommitReleases(_ context.Context, served, settled release.Served) error {
	l.set(func() { l.releases, l.settled = served, settled })
	return nil
}

func (l *testHost) FindStream(id release.StreamID) (release.Name, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams.Lookup(id)
}

func (l *testHost) Streams() release.Origins {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams.Clone()
}

func (l *testHost) CommitStreams(_ context.Context, n release.Note) error {
	l.set(func() { l.streams.Record(time.Now(), n) })
	return nil
}

func (l *testHost) Poison() poison.Registry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.poison
}

func (l *testHost) CommitPoison(_ context.Context, n poison.Change) error {
	l.set(func() { l.poison = l.poison.Next(n) })
	return nil
}

func (l *testHost) LocalDeployment() state.Deployment { return l.dep }

// testFleet is one engine that holds no model and has model m on its disk.
type testFleet struct {
	mu     sync.Mutex
	answer fleet.Answer
	orders []fleet.Order
	fences []uint64
	eps    []fleet.Endpoint // in place of the engine, if any
}

func (f *testFleet) List(context.Context) (fleet.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.eps != nil {
		return fleet.Listing{Endpoints: f.eps, Calls: 1}, nil
	}
	return fleet.Listing{Endpoints: []fleet.Endpoint{{ID: "e0", Service: "llm", Addr: "10.1.0.1:8000", Slots: 8, Copies: fleet.Copies{Disk: []string{"m"}}}}, Calls: 1}, nil
}

func (f *testFleet) Report(context.Context, fleet.Query) (fleet.Report, error) {
	return fleet.Report{Copies: fleet.Copies{Disk: []string{"m"}}}, nil
}

func (f *testFleet) Order(_ context.Context, o fleet.Order, fence uint64) fleet.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders, f.fences = append(f.orders, o), append(f.fences, fence)
	return f.answer
}

func (f *testFleet) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func (f *testFleet) lastFence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fences[len(f.fences)-1]
}

// startController returns a running controller.
func startController(t *testing.T, lead *testHost, fl *testFleet) *Controller {
	t.Helper()
	return startWithLease(t, lead, fl, 0)
}

// startWithLease returns a running controller with a lease; 0 means that the deployment
// names none.
func startWithLease(t *testing.T, lead *testHost, fl *testFleet, lease time.Duration) *Controller {
	t.Helper()
	dep := &deploy.Config{Version: 3, Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: &deploy.Engine{
		Slots: 8, ModelMegabytes: 83000, AdapterSlots: 2, Models: map[string]*deploy.Model{"m": {Name: "m", Megabytes: 20000, FromDisk: 50 * time.Millisecond}},
	}}}}
	c := New(Config{Fleet: fl, Decode: func(string) (*deploy.Config, error) { return dep, nil }, Planner: fleet.DefaultConfig(), Host: "h1", Lease: lease, Log: zerolog.Nop()})
	c.Run(lead)
	t.Cleanup(c.Stop)
	return c
}

func leading(term uint64) *testHost {
	return &testHost{lead: control.LeaderStatus{Leading: true, Term: term}, confirmed: true, dep: state.Deployment{Version: 3, Text: "x", Revision: 9}}
}

func pull(t *testing.T, c *Controller, p wire.PullParams) wire.PullResult {
	t.Helper()
	raw, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	res, err := c.Handle(t.Context(), wire.MethodPull, raw)
	if err != nil {
		t.Fatal(err)
	}
	return res.(wire.PullResult)
}

// version returns the version of the deployment in an answer.
func version(t *testing.T, r wire.PullResult) uint64 {
	t.Helper()
	var d state.Deployment
	if err := wire.Decompress(r.Deployment, &d); err != nil {
		t.Fatal(err)
	}
	return d.Version
}

// requestModel reports a request at an entry that waits for the model.
func requestModel(t *testing.T, c *Controller) {
	t.Helper()
	raw, err := json.Marshal(wire.TellParams{Host: "entry-1", Demands: []fleet.Demand{{Want: fleet.Want{Model: "m"}, Arrived: 1, Waiting: 1, Earliest: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Handle(t.Context(), wire.MethodTell, raw); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for begin := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("not within 5s: " + what)
		}
	}
}

func TestPullReturnsWhatIsMissingOrWaits(t *testing.T) {
	is := is.New(t)
	c := startController(t, leading(7), &testFleet{answer: fleet.Accepted})
	var r wire.PullResult
	eventually(t, "endpoints are published", func() bool {
		r = pull(t, c, wire.PullParams{Host: "entry-1", Hold: 50 * time.Millisecond, First: true})
		return r.Endpoints != nil && r.Deployment != nil && r.Suspects != nil
	})
	is.Equal(version(t, r), uint64(3))
	is.Equal(len(r.Members), 2)
	have := wire.PullParams{Host: "entry-1", Hold: 100 * time.Millisecond, Term: r.Term, Rev: r.Rev, Version: 3, Suspects: r.Suspects.Mark}
	at := time.Now()
	r = pull(t, c, have)
	is.True(r.Endpoints == nil && r.Deployment == nil && r.Suspects == nil)
	is.True(time.Since(at) >= 90*time.Millisecond) // held until the hold time is over
	is.Equal(r.Entries, 1)

	go func() {
		time.Sleep(30 * time.Millisecond)
		c.DeploymentChanged(state.Deployment{Version: 4, Text: "y"})
	}()
	have.Hold = time.Second
	at = time.Now()
	r = pull(t, c, have)
	is.Equal(version(t, r), uint64(4))
	is.True(time.Since(at) < 500*time.Millisecond) // answered at once
}

// Guards against a starting entry that serves an outdated deployment: it accepts any
// deployment, also that of a partitioned leader that has not stepped down yet.
func TestStartingEntryIsServedOnlyByAConfirmedLeader(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	lead.confirmed = false
	c := startController(t, lead, &testFleet{})
	r := pull(t, c, wire.PullParams{Host: "entry-1", First: true})
	is.True(!r.Leading && r.Deployment == nil)
	is.Equal(r.Leader, "10.0.0.2:7000") // the host to call instead
}

func TestFollowerRedirectsEntriesToTheLeader(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	lead.lead.Leading = false
	c := startController(t, lead, &testFleet{})
	r := pull(t, c, wire.PullParams{Host: "entry-1", Version: 3})
	is.True(!r.Leading)
	is.Equal(r.Leader, "10.0.0.2:7000")
}

// Guards against orders from a host that no longer leads: a suspended leader resumes and
// sends orders before it receives any message.
func TestOrdersNeedAConfirmedLead(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	fl := &testFleet{answer: fleet.Accepted}
	c := startController(t, lead, fl)
	eventually(t, "list read", func() bool { return pull(t, c, wire.PullParams{Host: "entry-1"}).Endpoints != nil })
	lead.set(func() { lead.confirmed = false })
	requestModel(t, c)
	time.Sleep(600 * time.Millisecond)
	is.Equal(fl.orderCount(), 0)
	lead.set(func() { lead.confirmed = true })
	eventually(t, "an order is given", func() bool { requestModel(t, c); return fl.orderCount() > 0 })
	is.Equal(fl.lastFence(), uint64(7)) // under the leader's term
}

// Guards against a replaced leader that continues to send orders under its old fencing
// token after an engine rejected one because of a newer leader.
func TestFencedLeaderSendsNoOrdersUntilItsNextTerm(t *testing.T) {
	is := is.New(t)
	lead := leading(7)
	fl := &testFleet{answer: fleet.Fenced}
	c := startController(t, lead, fl)
	eventually(t, "an order is given", func() bool { requestModel(t, c); return fl.orderCount() > 0 })
	time.Sleep(100 * time.Millisecond)
	n := fl.orderCount()
	for range 10 {
		requestModel(t, c)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(fl.orderCount(), n)
	lead.set(func() { lead.lead.Term = 9 })
	eventually(t, "orders go on under the next term", func() bool { requestModel(t, c); return fl.orderCount() > n && fl.lastFence() == 9 })
}

// Guards against answers whose total size grows with the square of the fleet: one of many
// endpoints changes, and every entry gets the whole list.
func TestEntriesReceiveOnlyChanges(t *testing.T) {
	is := is.New(t)
	pub := newPublisher(0)
	pub.startLeading(7)
	ep := func(id string, held ...string) fleet.Endpoint {
		e := fleet.Endpoint{ID: fleet.EndpointID(id)}
		for _, m := range held {
			e.Held = append(e.Held, fleet.Held{Model: m})
		}
		return e
	}
	pub.publishAll(1, []fleet.Endpoint{ep("a", "m"), ep("b"), ep("c")})
	r, missing, _ := pub.answer(wire.PullParams{})
	is.True(missing && !r.Delta)
	is.Equal(len(*r.Endpoints), 3)
	pub.publishAll(2, []fleet.Endpoint{ep("a", "m"), ep("b", "n"), ep("c")})
	pub.publishAll(3, []fleet.Endpoint{ep("a", "m"), ep("b", "n"), ep("d")})
	r, _, _ = pub.answer(wire.PullParams{Term: 7, Rev: 2})
	is.True(r.Delta)
	is.Equal(*r.Endpoints, []fleet.Endpoint{ep("d")})
	is.Equal(r.Removed, []fleet.EndpointID{"c"})
	r, _, _ = pub.answer(wire.PullParams{Term: 7, Rev: 1})
	is.Equal(len(*r.Endpoints), 2)
	r, _, _ = pub.answer(wire.PullParams{Term: 6, Rev: 3}) // another leader's revisions
	is.True(!r.Delta)
	is.Equal(len(*r.Endpoints), 3)
	_, missing, _ = pub.answer(wire.PullParams{Term: 7, Rev: 3})
	is.True(!missing)
}

// Guards against a leader that plans after each report of many entries, each of which sends
// several a second. Its plans take longer than the time between reports, reports queue up,
// and entries learn of leaving endpoints and of deployments seconds late.
func TestReportsAreBatchedIntoOnePlan(t *testing.T) {
	is := is.New(t)
	lead := leading(4)
	c := startController(t, lead, &testFleet{answer: fleet.Accepted})
	plans := func() int {
		var b bytes.Buffer
		c.met.set.WritePrometheus(&b)
		for line := range strings.Lines(b.String()) {
			if n, ok := strings.CutPrefix(line, "cassiapass_fleet_plan_seconds_count "); ok {
				v, err := strconv.Atoi(strings.TrimSpace(n))
				is.NoErr(err)
				return v
			}
		}
		return 0
	}
	for plans() == 0 {
		time.Sleep(time.Millisecond)
	}
	before, start := plans(), time.Now()
	for i := range 2000 {
		c.acceptReport(wire.TellParams{Host: ident.HostID(fmt.Sprintf("entry-%d", i%31)), Demands: []fleet.Demand{{Want: fleet.Want{Model: "m"}, Arrived: 1}}})
		if i%20 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	maxPlans := int(time.Since(start)/minPlanPause) + 2
	is.True(plans()-before <= maxPlans)
}

// Guards against a leader that spends its processor time on publishing every single change
// to many entries.
func TestChangesAreBatchedForManyEntries(t *testing.T) {
	is := is.New(t)
	c := New(Config{Fleet: &testFleet{}, Planner: fleet.DefaultConfig(), Log: zerolog.Nop()})
	now := time.Unix(1e6, 0)
	c.host = &testHost{}
	c.beginTerm(now, 3)
	c.listOK = true
	for i := range 31 {
		c.entries[fmt.Sprint(i)] = now.Add(time.Hour)
	}
	for i := range 100 { // one change each 2 ms
		now = now.Add(2 * time.Millisecond)
		c.planner.List(now, now, []fleet.Endpoint{{ID: fleet.EndpointID(fmt.Sprint(i)), Service: "llm"}})
		c.publish(now)
	}
	is.True(c.rev >= 3 && c.rev <= 4) // every 62 ms
	c.publish(now.Add(62 * time.Millisecond))
	is.Equal(len(c.pub.eps), 1)
	_, last := c.pub.eps["99"]
	is.True(last) // the newest change is published in the end
}

// Guards against a new leader that encodes the whole list for each entry: 300 entries
// request 3,000 endpoints at once, each answer takes 0.8 MB, the leader's process runs out of
// memory, and entries know no endpoints for 10 s and more.
func TestWholeListIsCompressedOnce(t *testing.T) {
	is := is.New(t)
	pub := newPublisher(0)
	pub.startLeading(7)
	r := rand.New(rand.NewPCG(1, 2))
	var eps []fleet.Endpoint
	for i := range 3000 {
		ep := fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprintf("i-%010x", r.Uint64()>>24)), Service: "llm", Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Zone: "a", Slots: 48}
		for range 3 {
			ep.Held = append(ep.Held, fleet.Held{Model: fmt.Sprintf("model%04x", r.IntN(140)), Version: 1, Adapters: []string{"a1"}})
		}
		eps = append(eps, ep)
	}
	pub.publishAll(1, eps)
	plain, err := json.Marshal(eps)
	is.NoErr(err)
	first, _, _ := pub.answer(wire.PullParams{})
	is.True(first.Endpoints == nil && !first.Delta)
	is.True(len(first.Packed) < len(plain)/6)
	second, _, _ := pub.answer(wire.PullParams{})
	is.True(&first.Packed[0] == &second.Packed[0]) // encoded once
	var got []fleet.Endpoint
	is.NoErr(wire.Decompress(first.Packed, &got))
	is.Equal(len(got), len(eps))
	pub.publishAll(2, eps[1:])
	delta, _, _ := pub.answer(wire.PullParams{Term: 7, Rev: 1})
	is.True(delta.Delta && delta.Packed == nil)
	third, _, _ := pub.answer(wire.PullParams{})
	got = nil
	is.NoErr(wire.Decompress(third.Packed, &got))
	is.Equal(len(got), len(eps)-1)                                            // the newest list
	is.True(wire.Decompress(third.Packed[:len(third.Packed)/2], &got) != nil) // a truncated one is detected
}

// Guards against a large change that is sent to 300 entries at the same moment: heartbeats
// queue behind it, and leaders change every 2 s while a large deployment starts.
func TestLargeAnswersArePaced(t *testing.T) {
	is := is.New(t)
	c := New(Config{Fleet: &testFleet{}, Planner: fleet.DefaultConfig(), Log: zerolog.Nop(), SendRate: 100_000})
	large := wire.PullResult{Packed: make([]byte, 10_000)}
	begin := time.Now()
	var sent atomic.Int64
	var entries sync.WaitGroup
	for i := range 50 {
		entries.Go(func() {
			r, err := c.pace(context.Background(), ident.HostID(fmt.Sprint("entry-", i)), large)
			if err != nil {
				t.Error(err)
			}
			sent.Add(int64(len(r.Packed)))
		})
	}
	entries.Wait()
	is.True(time.Since(begin) < 2*maxSendWait) // no entry waits for long
	is.True(sent.Load() > 0)
	is.True(sent.Load() <= 50_000) // about what the link sends in a third of a second; the other entries call again
	small, err := c.pace(context.Background(), "entry-0", wire.PullResult{Packed: make([]byte, 100)})
	is.NoErr(err)
	is.Equal(len(small.Packed), 100) // small answers are not paced
}

// Guards against a single slow read of a short list that counts as typical: if the leader
// fails right after it, entries wait for the next read and send to endpoints that left 4 s
// ago.
func TestSlowReadOfAShortListIsNotTypical(t *testing.T) {
	is := is.New(t)
	is.Equal(typicalListAge(1, 900*time.Millisecond), listInterval)
	is.True(typicalListAge(2, 900*time.Millisecond) <= listInterval+2*listCallTime)
	is.Equal(typicalListAge(60, 2*time.Second), listInterval+4*time.Second) // a long list at the paced rate
}

// Guards against an unbounded pause after a plan: the process is suspended for 0.6 s during a
// plan, and no order is sent for 1.2 s though a request waits and the host leads.
func TestPauseAfterASlowPlanIsBounded(t *testing.T) {
	is := is.New(t)
	c := New(Config{Fleet: &testFleet{}, Planner: fleet.DefaultConfig(), Log: zerolog.Nop()})
	is.Equal(c.pause(), minPlanPause)
	c.stepTime = 8 * time.Millisecond
	is.Equal(c.pause(), 72*time.Millisecond) // plans take a tenth of the time
	c.stepTime = 600 * time.Millisecond
	is.Equal(c.pause(), maxPlanPause)
}
