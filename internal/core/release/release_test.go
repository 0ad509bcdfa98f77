package release

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/poison"
)

func streamID(n int) StreamID { return poison.Key("k").Fingerprint(fmt.Append(nil, n)) }

func TestOnlyReleaseOfAService(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	var h History
	_, one := Only(h.Names(now, "s"))
	is.True(!one) // nothing is known
	h.Listed(now, "s", "v1")
	n, one := Only(h.Names(now, "s"))
	is.True(one && n == "v1")
	h.Listed(now.Add(time.Second), "s", "v2") // v1 is gone, its streams may come again
	_, one = Only(h.Names(now.Add(time.Second), "s"))
	is.True(!one)
	late := now.Add(StreamLife + time.Millisecond)
	h.Listed(late, "s", "v2")
	n, one = Only(h.Names(late, "s"))
	is.True(one && n == "v2")
	_, one = Only([]Name{"v1"}, []Name{"v2"})
	is.True(!one)
	h.Listed(late, "t", "")
	h.Listed(late.Add(time.Second), "t", "v1") // a new leader knows what the old one did not
	n, one = Only(h.Names(late.Add(time.Second), "t"))
	is.True(one && n == "v1")
	h.Listed(late, "u", "", "v1") // one endpoint does not tell: it may be any
	_, one = Only(h.Names(late, "u"))
	is.True(!one)
}

func TestOriginsAreBoundedAndKeepTheFirstWord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	var o Origins
	o.Began(now, streamID(1), "v1")
	o.Began(now, streamID(1), "v2")
	n, found := o.Find(now.Add(StreamLife), streamID(1))
	is.True(found && n == "v1")
	for i := range 3 * maxOrigins {
		o.Began(now.Add(StreamLife), streamID(i+2), "v1")
	}
	is.True(len(o.newer)+len(o.older) <= 2*maxOrigins)
}

// Guards against streams of two releases in one, over random schedules: entries that see the list late
// or not at all, restart and lose what they knew, leaders that change or cannot be reached, releases
// that come and go. A process begins a stream only at an endpoint that it knows; a take-up asks the
// leader, whose log outlives it. Entries that do not reach it infer nothing, as their list is old.
func TestTakenUpStreamsKeepTheirRelease(t *testing.T) {
	const schedules, steps = 10000, 60
	mixed, takenUp, refused := 0, 0, 0
	for seed := range uint64(schedules) {
		w := newReleaseWorld(seed)
		for range steps {
			w.step()
		}
		mixed, takenUp, refused = mixed+w.mixed, takenUp+w.takenUp, refused+w.refused
	}
	t.Logf("%d streams taken up, %d refused, %d mixed", takenUp, refused, mixed)
	if mixed > 0 {
		t.Errorf("%d streams hold events of two releases", mixed)
	}
	if takenUp < refused {
		t.Error("most streams are refused")
	}
}

// releaseWorld is one random schedule. The platform's list is names; every process has its own copy.
type releaseWorld struct {
	rnd     *rand.Rand
	now     time.Time
	names   []Name // releases that serve now
	next    int
	leader  releaseProcess
	logged  Served
	entries []*releaseProcess
	begun   []begunStream

	mixed, takenUp, refused int
}

type releaseProcess struct {
	history   History
	origins   Origins
	names     []Name // as last seen in the list
	connected bool   // an entry and the leader reach each other
}

type begunStream struct {
	id StreamID
	by Name
	at time.Time
}

func newReleaseWorld(seed uint64) *releaseWorld {
	w := &releaseWorld{rnd: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1e6, 0), names: []Name{"v0"}, next: 1}
	for range 3 {
		w.entries = append(w.entries, &releaseProcess{connected: true})
	}
	w.list()
	return w
}

// list has the leader read the list, and connected entries hear of it and tell what they know.
func (w *releaseWorld) list() {
	w.leader.names = slices.Clone(w.names)
	w.leader.history.Listed(w.now, "s", w.names...)
	w.logged = w.leader.history.Served(w.now)
	for _, e := range w.entries {
		if !e.connected {
			continue
		}
		w.tell(e)
		e.names = slices.Clone(w.leader.names)
		e.history.Listed(w.now, "s", e.names...)
	}
}

func (w *releaseWorld) tell(e *releaseProcess) {
	if ns := e.history.Names(w.now, "s"); len(ns) > 1 {
		w.leader.history.Listed(w.now, "s", ns...)
		e.origins.All(func(id StreamID, n Name) { w.leader.origins.Began(w.now, id, n) })
	}
}

func (w *releaseWorld) step() {
	w.now = w.now.Add(time.Duration(w.rnd.IntN(2000)) * time.Millisecond)
	e := w.entries[w.rnd.IntN(len(w.entries))]
	switch w.rnd.IntN(12) {
	case 0: // a release comes
		if len(w.names) < 3 {
			w.names = append(w.names, Name(fmt.Sprint("v", w.next)))
			w.next++
		}
	case 1: // a release goes
		if len(w.names) > 1 {
			w.names = w.names[1:]
		}
	case 2: // an entry restarts
		*e = releaseProcess{connected: e.connected}
	case 3: // the leader changes; entries that reach it tell again what they know
		w.leader = releaseProcess{}
		w.leader.history.Listed(w.now, "s", w.logged["s"]...)
	case 4:
		e.connected = !e.connected
	case 5, 6, 7: // a stream begins
		if len(e.names) > 0 {
			s := begunStream{streamID(len(w.begun)), e.names[w.rnd.IntN(len(e.names))], w.now}
			w.begun = append(w.begun, s)
			e.origins.Began(w.now, s.id, s.by)
			if e.connected {
				w.tell(e)
			}
		}
	default:
		w.takeUp(e)
	}
	w.list()
}

// takeUp has a caller take up one of the last streams at an entry.
func (w *releaseWorld) takeUp(e *releaseProcess) {
	if len(w.begun) == 0 || len(e.names) == 0 {
		return
	}
	s := w.begun[len(w.begun)-1-w.rnd.IntN(min(4, len(w.begun)))]
	if w.now.Sub(s.at) > StreamLife/2 {
		return
	}
	n, found := e.origins.Find(w.now, s.id)
	switch {
	case found:
	case !e.connected:
		// Its list is old: nothing is inferred from it.
	default:
		if n, found = w.leader.origins.Find(w.now, s.id); !found {
			n, found = Only(e.history.Names(w.now, "s"), w.leader.history.Names(w.now, "s"))
		}
	}
	switch {
	case !found:
		w.refused++
	case n != s.by:
		w.mixed++
	default:
		w.takenUp++
	}
}
