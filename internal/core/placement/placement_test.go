package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

var start = time.Unix(1_000_000, 0).UTC()

// world is a state and a planner whose commands are applied immediately.
type world struct {
	st  *state.State
	p   *Planner
	now time.Time
}

func newWorld(models string, hosts int, cfg Config) *world {
	w := &world{st: state.New(), now: start}
	key := record.FormatDigest(record.DigestKey("k"))
	raw := fmt.Sprintf(`{"schemaVersion":1,"service":"s","place":"p","firstAnswer":"1s","replicas":{"min":0,"max":2},"customers":[{"name":"c","keyDigests":[%q],"replicasSold":1,"ratePerSecond":1}],"models":[%s]}`, key, models)
	w.apply(state.Command{Submit: &state.Submit{Request: "r", Raw: record.Text(raw)}})
	for i := range hosts {
		e := state.Endpoint{Host: ident.HostID(fmt.Sprint("h", i)), Zone: ident.Zone(fmt.Sprint("z", i)), Incarnation: 1, Place: "p", Memory: 100e9, Slots: 8, Up: true}
		w.apply(state.Command{Endpoint: &state.EndpointUpdate{Endpoint: e}})
	}
	w.p = New(cfg, w.now)
	return w
}

func (w *world) apply(c state.Command) state.Result {
	c.Time = w.now
	res, _ := w.st.Apply(w.st.Index()+1, c)
	w.st.Check()
	return res
}

// plan applies the planner's commands and returns the accepted grants.
func (w *world) plan() []state.Grant {
	var out []state.Grant
	for _, c := range w.p.Plan(w.now, w.st) {
		res := w.apply(c)
		w.p.Applied(c, res)
		if c.Grant != nil && res.Code == state.OK {
			out = append(out, *c.Grant)
		}
	}
	return out
}

func (w *world) demand(entry ident.HostID, t ident.Target, waiting int) {
	w.p.Demand(w.now, w.st, Demand{Entry: entry, Customer: "c", Target: t, Waiting: waiting, Deadline: w.now.Add(time.Minute)})
}

// finishLoads reports every granted replica as loaded.
func (w *world) finishLoads() {
	for _, r := range w.st.Replicas() {
		if r.Phase == state.Granted {
			w.apply(state.Command{Replica: &state.ReplicaUpdate{ID: r.ID, Phase: state.Ready}})
		}
	}
}

func model(name, version string, bytes int64) string {
	return fmt.Sprintf(`{"name":%q,"version":%q,"bytes":%d}`, name, version, bytes)
}

func TestRepeatedDemandGrantsEachReplicaOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(model("m", "1", 10e9), 4, DefaultConfig())
	m := ident.Target{Model: "m", Version: "1"}
	for range 5 { // entries repeat their demands
		for e := range 10 {
			w.demand(ident.HostID(fmt.Sprint("e", e)), m, 1)
		}
		w.plan()
	}
	is.Equal(w.st.Count(m), 2) // ten requests wait, one replica runs eight, two were sold
}

func TestNearestCheckpointWins(t *testing.T) {
	is := is.New(t)
	w := newWorld(model("m", "1", 10e9), 4, DefaultConfig())
	m := ident.Target{Model: "m", Version: "1"}
	w.p.Report(w.now, w.st, Report{Host: "h2", Incarnation: 1, Full: true, Cached: []CachedAt{{m, FromDisk}}})
	w.p.Report(w.now, w.st, Report{Host: "h3", Incarnation: 1, Full: true, Cached: []CachedAt{{m, FromMemory}}})
	w.demand("e", m, 1)
	is.Equal(w.plan()[0].Host, ident.HostID("h3"))
}

func TestConcurrentStoreLoadsAreLimited(t *testing.T) {
	is := is.New(t)
	models := model("m0", "1", 10e9)
	for i := 1; i < 12; i++ {
		models += "," + model(fmt.Sprint("m", i), "1", 10e9)
	}
	cfg := DefaultConfig()
	w := newWorld(models, 4, cfg)
	for i := range 12 {
		w.demand("e", ident.Target{Model: fmt.Sprint("m", i), Version: "1"}, 1)
	}
	is.Equal(len(w.plan()), cfg.StoreConcurrent)
	is.Equal(len(w.plan()), 0)
	last, known := w.p.Estimate(w.now, w.st, ident.Target{Model: "m9", Version: "1"})
	is.True(known)
	is.True(last.Ready.After(w.now.Add(9 * time.Second))) // after two or more loads of 5 s
	w.finishLoads()
	is.Equal(len(w.plan()), cfg.StoreConcurrent)
}

// Guards against cold starts when a record adds a second version of a model in
// use: nothing requests the new version until it is the one that is served.
func TestNewVersionIsLoadedWhileOldVersionServes(t *testing.T) {
	is := is.New(t)
	w := newWorld(model("m", "1", 10e9)+","+model("m", "2", 10e9), 2, DefaultConfig())
	old, next := ident.Target{Model: "m", Version: "1"}, ident.Target{Model: "m", Version: "2"}
	w.demand("e", old, 1)
	is.Equal(w.plan()[0].Target, old)
	w.finishLoads()
	w.now = w.now.Add(2 * time.Second)
	w.plan()
	w.now = w.now.Add(100 * time.Millisecond)
	w.plan()
	is.Equal(w.st.Count(next), 1)
	is.Equal(w.st.Count(old), 1) // kept while in use
}

func TestReplicasWithoutARecordAreDrained(t *testing.T) {
	is := is.New(t)
	w := newWorld(model("m", "1", 10e9), 2, DefaultConfig())
	m := ident.Target{Model: "m", Version: "1"}
	w.demand("e", m, 1)
	w.plan()
	w.finishLoads()
	r, _ := w.st.Record("s")
	w.apply(state.Command{Withdraw: &state.Withdraw{Request: "w", Name: "s", Base: r.Revision}})
	w.now = w.now.Add(2 * time.Second)
	w.plan()
	is.Equal(w.st.ReplicasOf(m)[0].Phase, state.Draining)
}
