package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
	"github.com/cassiapass/cassiapass/internal/core/customer"
	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// deploymentWithKeys returns a deployment of a version whose callers need one of the keys,
// which belong to customer "a" with a priority of its own.
func deploymentWithKeys(t *testing.T, version uint64, keys ...customer.Key) *deploy.Config {
	t.Helper()
	c := testDeployment()
	c.Version = version
	b, err := customer.NewBook(customer.NewDigester([]byte("test")),
		[]customer.Entry{{Customer: customer.Customer{Name: "a", HasPriority: true, Priority: 3}, Keys: keys}})
	if err != nil {
		t.Fatal(err)
	}
	c.Customers = b
	return c
}

func (g *Gateway) activate(c *deploy.Config) {
	g.table.Store(deploy.NewTable(c))
	g.revocations.cancelRevoked(c.Customers)
	g.dir.wake()
}

func TestOnlyCustomersAreServedAndEndpointsReceiveTheCustomer(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.activate(deploymentWithKeys(t, 2, "k1"))
	g.sync.contact.record(time.Now())
	c := dial(t, g)
	is.Equal(c.ask("GET", "/safe/x", "r1", "", "Key: k1", "Customer: b").status, 200)
	is.Equal(b.seen[0].Header.Get("Customer"), "a") // regardless of what the caller sends
	is.Equal(b.seen[0].Header.Get("Key"), "")       // keys are not forwarded
	is.Equal(b.seen[0].Header.Get("Rank"), "3")     // the customer's overrides the route's
	for _, fields := range [][]string{nil, {"Key: k2"}, {"Key: k1", "Key: k1"}} {
		got := c.ask("GET", "/safe/x", "r2", "", fields...)
		is.Equal(got.status, 401)
	}
	is.Equal(b.arrivals(), 1)
}

// Guards against a caller that removes a field meant for endpoints by naming it in its
// Connection field.
func TestConnectionFieldCannotRemoveFieldsForEndpoints(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.activate(deploymentWithKeys(t, 2, "k1"))
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r1", "", "Key: k1", "Connection: Customer, Target").status, 200)
	is.Equal(b.seen[0].Header.Get("Customer"), "a")
	is.Equal(b.seen[0].Header.Get("Target"), "e0")
}

// Guards against an entry with an older deployment that refuses a key which was just added.
func TestUnknownKeyWaitsForTheLeader(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.activate(deploymentWithKeys(t, 2, "k1"))
	time.AfterFunc(100*time.Millisecond, func() {
		g.activate(deploymentWithKeys(t, 3, "k1", "k2"))
		g.sync.contact.record(time.Now())
	})
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r1", "", "Key: k2").status, 200)

	cutOff := startGateway(t, b) // never reaches a leader
	cutOff.activate(deploymentWithKeys(t, 2, "k1"))
	got := dial(t, cutOff).ask("GET", "/safe/x", "r2", "", "Key: k2")
	is.Equal(got.status, 503) // it cannot verify the key, and answers that the request did not run
	is.True(got.header.Get("Retry-After") != "")
}

// Guards against a request that is sent although its key was revoked while it waited.
func TestWaitingRequestOfARevokedKeyIsRefused(t *testing.T) {
	is := is.New(t)
	b := newFakeEndpoint(t, answerOK)
	g := startGateway(t, b)
	g.dir.replace(1, 2, []fleet.Endpoint{{ID: "e0", Service: "s", Addr: b.l.Addr().String(), Zone: "a", Slots: 4}})
	g.activate(deploymentWithKeys(t, 2, "k1"))
	time.AfterFunc(100*time.Millisecond, func() { g.activate(deploymentWithKeys(t, 3, "k9")) })
	is.Equal(dial(t, g).ask("GET", "/safe/x", "r1", "", "Key: k1", "Model: m").status, 401)
	is.Equal(b.arrivals(), 0)
}

// Guards against requests of a revoked key that continue where they must be aborted.
func TestStrictRevocationEndsWhatRuns(t *testing.T) {
	is := is.New(t)
	r := newRevocations(true)
	ended := make(chan error, 1)
	done := r.track(requester{keyed: true, customer: &customer.Customer{Name: "a"}, digest: digestOf("k1")}, func(err error) { ended <- err })
	r.cancelRevoked(deploymentWithKeys(t, 2, "k1").Customers)
	is.Equal(len(ended), 0)
	r.cancelRevoked(deploymentWithKeys(t, 3, "k2").Customers)
	is.Equal(<-ended, errKeyRevoked)
	done()
	is.Equal(len(r.running), 0) // nothing is kept about a request that ended
}

func digestOf(k customer.Key) customer.Digest { return customer.NewDigester([]byte("test")).Digest(k) }

// Guards against one customer whose requests get another customer's equal requests refused.
func TestEqualRequestsOfTwoCustomersHaveDifferentFingerprints(t *testing.T) {
	is := is.New(t)
	g := startGateway(t)
	g.suspects.key = make([]byte, 32)
	of := func(name ident.Customer) string {
		x := &exchange{g: g, r: &http1.Request{Method: "GET", Host: "x.example", Target: "/once/x"}, requester: requester{keyed: true, customer: &customer.Customer{Name: name}}}
		f, named := x.fingerprint()
		is.True(named)
		return f.String()
	}
	is.True(of("a") != of("b"))
	is.Equal(of("a"), of("a"))
}
