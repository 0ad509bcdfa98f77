package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

var start = time.Unix(1000, 0).UTC()

// testState applies commands in sequence, with a clock that the test sets.
type testState struct {
	*State
	now time.Time
}

func newTestState() *testState { return &testState{New(), start} }

func (m *testState) do(c Command) Result {
	c.Time = m.now
	res, _ := m.Apply(m.Index()+1, c)
	m.Check()
	return res
}

func recordText(maxReplicas int, bytes int64) record.Text {
	key := record.FormatDigest(record.DigestKey("k"))
	return record.Text(fmt.Sprintf("{\"schemaVersion\":1,\n  \"service\":\"s\",\"place\":\"p\",\"firstAnswer\":\"1s\",\"replicas\":{\"min\":0,\"max\":%d},\"customers\":[{\"name\":\"c\",\"keyDigests\":[%q],\"replicasSold\":1,\"ratePerSecond\":1}],\"models\":[{\"name\":\"m\",\"version\":\"1\",\"bytes\":%d,\"adapters\":[{\"name\":\"a\",\"version\":\"1\",\"bytes\":5}]}]}", maxReplicas, key, bytes))
}

var (
	base    = ident.Target{Model: "m", Version: "1"}
	adapter = ident.Target{Model: "m", Version: "1", Adapter: "a", AdapterVersion: "1"}
)

func (m *testState) endpoint(h ident.HostID, memory int64) Result {
	return m.do(Command{Endpoint: &EndpointUpdate{Endpoint: Endpoint{Host: h, Incarnation: 1, Place: "p", Memory: memory, Up: true}}})
}

func (m *testState) grant(t ident.Target, h ident.HostID) Result {
	return m.do(Command{Grant: &Grant{Target: t, Host: h}})
}

func TestGrantsStayWithinMemoryAndMaxReplicas(t *testing.T) {
	is := is.New(t)
	m := newTestState()
	is.Equal(m.grant(base, "a").Code, NotFound)
	m.do(Command{Submit: &Submit{Request: "1", Raw: recordText(2, 60)}})
	is.Equal(m.grant(base, "a").Code, Unavailable)
	for _, h := range []ident.HostID{"a", "b", "c"} {
		m.endpoint(h, 200)
	}
	m.endpoint("small", 50)
	is.Equal(m.grant(adapter, "a").Code, Unavailable) // its base model is not there
	is.Equal(m.grant(base, "small").Code, OverMemory)
	first := m.grant(base, "a")
	is.Equal(first.Code, OK)
	is.Equal(m.grant(base, "a").Code, TooManyReplicas)
	is.Equal(m.grant(adapter, "a").Code, OK)
	is.Equal(m.grant(base, "b").Code, OK)
	is.Equal(m.grant(base, "c").Code, TooManyReplicas) // the maximum is two
	is.Equal(m.Used("a"), int64(65))
	// Removing a base replica removes its adapter and makes another grant possible.
	is.Equal(m.do(Command{Replica: &ReplicaUpdate{ID: first.Revision, Removed: true}}).Code, OK)
	is.Equal(m.Count(adapter), 0)
	is.Equal(m.grant(base, "c").Code, OK)
}

func TestRemovingAnEndpointFreesItsReplicas(t *testing.T) {
	is := is.New(t)
	m := newTestState()
	m.do(Command{Submit: &Submit{Request: "1", Raw: recordText(1, 60)}})
	m.endpoint("a", 100)
	m.grant(base, "a")
	is.Equal(m.do(Command{Forget: &EndpointRemoval{Host: "a", Incarnation: 7}}).Code, Stale)
	is.Equal(m.Count(base), 1)
	is.Equal(m.do(Command{Forget: &EndpointRemoval{Host: "a", Incarnation: 1}}).Code, OK)
	is.Equal(m.Count(base), 0)
}

func TestRecordsAreKeptAsWrittenAndChangesAreAudited(t *testing.T) {
	is := is.New(t)
	m := newTestState()
	first := m.do(Command{By: "ann", Submit: &Submit{Request: "1", Raw: recordText(1, 60)}})
	second := m.do(Command{By: "bob", Submit: &Submit{Request: "2", Base: first.Revision, Raw: recordText(2, 60), Reason: "more sold"}})
	is.Equal(second.Code, OK)
	conflicting := m.do(Command{By: "eve", Submit: &Submit{Request: "3", Base: first.Revision, Raw: recordText(3, 60)}})
	is.Equal(conflicting.Code, Conflict)
	is.Equal(conflicting.Current.Raw, recordText(2, 60))
	raw, err := m.Encode()
	is.NoErr(err)
	back, err := Decode(raw)
	is.NoErr(err)
	r, _ := back.Record("s")
	is.Equal(r.Raw, recordText(2, 60)) // spaces and line ends included
	is.Equal(back.MaxReplicas(base), 2)
	again, _ := back.Apply(back.Index()+1, Command{Submit: &Submit{Request: "1", Raw: recordText(1, 60)}})
	is.True(again.Resent) // after a snapshot too
	is.Equal(again.Revision, first.Revision)
	e := back.Audit()[1]
	is.Equal(e.By, "bob")
	is.Equal(e.Action, ActionRevise)
	is.Equal(e.Before, first.Revision)
	is.Equal(e.Reason, "more sold")
	other, _ := back.Apply(back.Index()+1, Command{Submit: &Submit{Request: "1", Raw: recordText(9, 60)}})
	is.Equal(other.Code, Invalid)
	is.True(strings.Contains(other.Message, "used"))
}

func TestAKeyLeadsToOneCustomer(t *testing.T) {
	is := is.New(t)
	m := newTestState()
	m.do(Command{Submit: &Submit{Request: "1", Raw: recordText(1, 60)}})
	foreign := record.Text(strings.NewReplacer(`"service":"s"`, `"service":"t"`, `"name":"c"`, `"name":"d"`).Replace(string(recordText(1, 60))))
	is.Equal(m.do(Command{Submit: &Submit{Request: "2", Raw: foreign}}).Code, Invalid)
}

// An entry that fails with a claim open never settles it, so only time shows that the
// request has ended. If the claim ended too early, a repeat would run the request again;
// if it never ended, the key would be held forever.
func TestOpenClaimsBecomeUnknownAndExpire(t *testing.T) {
	is := is.New(t)
	m := newTestState()
	k := ClaimKey{Customer: "c", Service: "s", Key: "1"}
	open := func(req ident.RequestID) Result {
		return m.do(Command{Open: &OpenClaim{Key: k, Digest: "d", Request: req, Within: time.Minute}})
	}
	is.Equal(open("r1").Code, OK)
	is.Equal(open("r1").Code, OK) // the entry lost the answer
	is.Equal(open("r2").Code, InProgress)
	is.Equal(m.do(Command{Settle: &SettleClaim{Key: k, Request: "r2", NotRun: true}}).Code, Stale)
	m.now = start.Add(time.Minute + ClaimGrace/2)
	m.do(Command{Expire: &Expire{}})
	is.Equal(open("r2").Claim.Phase, ClaimOpen)
	m.now = start.Add(time.Minute + 2*ClaimGrace)
	m.do(Command{Expire: &Expire{}})
	is.Equal(open("r2").Claim.Phase, ClaimUnknown)
	is.Equal(m.do(Command{Settle: &SettleClaim{Key: k, Request: "r1", Answer: &Answer{Status: 201}}}).Code, OK) // late, but certain
	is.Equal(open("r2").Claim.Phase, ClaimAnswered)
	m.now = m.now.Add(ClaimRetention + 2*time.Minute)
	m.do(Command{Expire: &Expire{}})
	is.Equal(m.Claims(), 0)
	is.Equal(open("r3").Code, OK)
}

func TestUnknownClaimIsNotReleasedAsNotRun(t *testing.T) {
	is := is.New(t)
	m := newTestState()
	k := ClaimKey{Customer: "c", Service: "s", Key: "1"}
	m.do(Command{Open: &OpenClaim{Key: k, Digest: "d", Request: "r", Within: time.Minute}})
	m.do(Command{Settle: &SettleClaim{Key: k, Request: "r", Unknown: true}})
	is.Equal(m.do(Command{Settle: &SettleClaim{Key: k, Request: "r", NotRun: true}}).Code, Stale)
	c, _ := m.Claim(k)
	is.Equal(c.Phase, ClaimUnknown)
}
