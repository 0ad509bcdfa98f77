package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/feature"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// Guards against an order by anything but the customer's priority, else the route's, and against late
// repeats that count as fresh.
func TestWhatARequestAsksOfAnAllowance(t *testing.T) {
	g := startGateway(t)
	g.cfg.Pressure = true
	route := &deploy.Route{Timeout: 12 * time.Second, Objective: 500 * time.Millisecond, Priority: 1}
	for _, c := range []struct {
		customer customer.Customer
		priority int
		left     time.Duration
		want     urgency.Urgency
	}{
		{customer.Customer{}, 1, 0, urgency.Urgency{Level: 1}},
		{customer.Customer{HasPriority: true}, 1, 12 * time.Second, urgency.Urgency{Level: 0}},
		{customer.Customer{HasPriority: true, Priority: 1_000_000_000}, 1, 0, urgency.Urgency{Level: urgency.LastLevel}},
		{customer.Customer{}, -5, 0, urgency.Urgency{Level: 0}},
		{customer.Customer{}, 2, 11 * time.Second, urgency.Urgency{Level: 2}}, // gives up a little earlier
		{customer.Customer{}, 2, 9 * time.Second, urgency.Urgency{Level: 2, Late: true}},
	} {
		is := is.New(t)
		route.Priority = c.priority
		x := &exchange{g: g, route: route, requester: requester{customer: &c.customer}, info: RequestFields{TimeLeft: c.left}, cost: 7}
		x.setUrgency()
		q := x.ask()
		is.Equal(urgency.Of(q.Level, q.Timing), c.want)
		is.True(q.Ordered && q.Cost == 7)
	}
}

// Guards against entries that put requests in order where no deployment or operator asks for it.
func TestRequestsAreOrderedWhereAskedFor(t *testing.T) {
	is := is.New(t)
	g := startGateway(t)
	x := &exchange{g: g, route: &deploy.Route{Timeout: time.Second}}
	ordered := func() bool {
		x.setUrgency()
		return x.ask().Ordered && x.levelToReport() != nil
	}
	is.True(!ordered())
	g.cfg.Features = feature.Settings{feature.Urgency: feature.On}
	is.True(ordered())
	g.cfg.Pressure, g.cfg.Features = true, feature.Settings{feature.Urgency: feature.Off}
	is.True(!ordered())
}

// Guards against fresh urgent requests that are refused beside others of their customer, end to end.
func TestUrgentRouteOfAHotCustomerIsServedFirst(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g, _ := startLimited(t, 50, 50, b)
	g.cfg.Pressure = true
	t2 := testDeployment()
	t2.Version, t2.Customers = 2, g.table.Load().Config().Customers
	for i := range t2.Routes {
		t2.Routes[i].Objective = 500 * time.Millisecond
		if t2.Routes[i].Prefix == "/once/" {
			t2.Routes[i].Priority = 2
		}
	}
	g.activate(t2)
	c := dial(t, g)
	served := map[string]int{}
	for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, path := range []string{"/safe/x", "/once/x"} {
			if c.ask("GET", path, "r1", "", "Key: k1").status == 200 && time.Since(begin) > 2*time.Second {
				served[path]++
			}
		}
	}
	is.True(served["/safe/x"] > 2*served["/once/x"])
	is.True(served["/safe/x"]+served["/once/x"] < 50+int(50*allowance.ReportInterval.Seconds())+20)
}

// Guards against retries that leave nothing for more urgent ones, and against a reserve where no request
// is more urgent.
func TestRetriesKeptForMoreUrgentRequests(t *testing.T) {
	g := startGateway(t)
	dep := testDeployment()
	for i := range dep.Routes {
		dep.Routes[i].Priority, dep.Routes[i].Objective = 1+i%2, 100*time.Millisecond
	}
	g.activate(dep)
	for _, c := range []struct {
		name    string
		ordered bool
		service string
		level   urgency.Level
		age     time.Duration
		begun   bool // its first event came at once
		want    float64
	}{
		{"most urgent", true, "s", 1, 0, false, 0},
		{"less urgent", true, "s", 2, 0, false, urgentRetryShare},
		{"late", true, "s", 1, time.Second, false, urgentRetryShare},
		{"after its limit", true, "s", 1, time.Hour, false, urgentRetryShare},
		{"begun in time", true, "s", 1, time.Second, true, 0},
		{"all equal there", true, "other", 2, 0, false, 0},
		{"not ordered", false, "s", 2, 0, false, 0},
	} {
		is := is.New(t)
		x := &exchange{g: g, route: &dep.Routes[0], service: c.service, ordered: c.ordered, level: c.level, arrived: time.Now().Add(-c.age), headSent: c.begun}
		is.Equal(x.retriesKept(), c.want) // c.name
	}
}

// Guards against waiting requests that take a free place before a more urgent one that came later.
func TestMostUrgentWaitingRequestGetsTheFreePlace(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(200 * time.Millisecond)
		return reply(c, r, 200, "done")
	})
	g := startGateway(t)
	g.cfg.Pressure = true
	dep := testDeployment()
	for i := range dep.Routes {
		dep.Routes[i].Priority, dep.Routes[i].Objective, dep.Routes[i].Timeout = i, 10*time.Second, 20*time.Second // once, then safe
	}
	g.activate(dep)
	g.dir.replace(1, 2, []fleet.Endpoint{{ID: "e0", Service: "s", Addr: b.l.Addr().String(), Zone: "a", Slots: 1, Held: []fleet.Held{{Model: "m"}}}})
	var sent []*caller
	send := func(path, id string) {
		c := dial(t, g)
		c.send("GET", path, id, "", "Model: m")
		sent = append(sent, c)
		time.Sleep(5 * time.Millisecond)
	}
	for i := range 10 { // two run, eight wait
		send("/safe/x", fmt.Sprint("s", i))
	}
	send("/once/x", "urgent")
	for _, c := range sent {
		is.Equal(c.receive().status, 200)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at := slices.IndexFunc(b.seen, func(r *http.Request) bool { return r.Header.Get("Id") == "urgent" })
	is.True(at >= 2 && at <= 3)
}
