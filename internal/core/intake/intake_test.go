package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var begin = time.Unix(1000, 0)

// receive opens a client that has received n bytes and kept up until then.
func receive(t *testing.T, l *Ledger, n int64, now time.Time) *Client {
	t.Helper()
	c := &Client{}
	if _, ok := l.Open(c, now); !ok {
		t.Fatal("not opened")
	}
	l.SetState(c, Receiving, now)
	if _, ok := l.Reserve(c, n, now); !ok {
		t.Fatal("not reserved")
	}
	return c
}

// Guards against ordinary callers who are refused because a crowd came before them.
func TestStalledClientsMakeWay(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 4 << 20, Conns: 100})
	stalled := receive(t, l, 1<<20, begin)
	slower := receive(t, l, 1<<20, begin)
	moving := receive(t, l, 1<<20, begin)
	now := begin.Add(2 * time.Second)
	l.Progress(slower, 32<<10, now) // half a second's worth
	l.Progress(moving, 1<<20, now)
	c := receive(t, l, 0, now)
	refused, ok := l.Reserve(c, 1<<20, now)
	is.True(ok)
	is.Equal(refused, []*Client{stalled})
	refused, ok = l.Reserve(receive(t, l, 0, now), 1<<20, now)
	is.True(ok)
	is.Equal(refused, []*Client{slower})
	is.True(!moving.Evicted())
}

// Guards against a large request that takes the memory of small ones, and against one that is refused for
// an equal that came later.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 4 << 20, Conns: 100})
	var whole []*Client
	for range 3 {
		c := receive(t, l, 1<<20, begin)
		l.SetState(c, Serving, begin)
		whole = append(whole, c)
	}
	refused, ok := l.Reserve(receive(t, l, 0, begin), 1<<20, begin)
	is.True(!ok) // whole requests may have run
	is.Equal(len(refused), 0)
	small := receive(t, l, smallRequest, begin)
	l.SetState(small, Serving, begin)
	_, ok = l.Reserve(small, 1, begin)
	is.True(!ok) // not small any more
	l.Close(whole[0])
	_, ok = l.Reserve(receive(t, l, 0, begin), 512<<10, begin)
	is.True(ok)
}

// Guards against silent connections that shut callers out, and against callers between two requests who
// are closed for them.
func TestSilentConnectionsMakeWay(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 1 << 20, Conns: 3})
	silent, kept, busy := &Client{}, &Client{}, &Client{}
	for _, c := range []*Client{silent, kept, busy} {
		_, ok := l.Open(c, begin)
		is.True(ok)
	}
	l.SetState(kept, Idle, begin)
	l.SetState(busy, Serving, begin)
	next := &Client{}
	closed, ok := l.Open(next, begin)
	is.True(ok)
	is.Equal(closed, silent)
	l.SetState(next, Receiving, begin)
	closed, ok = l.Open(&Client{}, begin)
	is.True(ok)
	is.Equal(closed, kept)
	l.SetState(kept, Serving, begin) // closed: no effect
	_, conns := l.Used()
	is.Equal(conns, 3)
}

// Guards against bytes or connections that are counted twice, not at all, or beyond the limits.
func TestRandomHistoriesKeepTheLimits(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		l := NewLedger(Limits{Bytes: 1 << 20, Conns: 20})
		var all []*Client
		now := begin
		for range 1000 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			var c *Client
			if len(all) > 0 {
				c = all[r.IntN(len(all))]
			}
			switch k := r.IntN(8); {
			case c == nil || k == 0:
				c = &Client{}
				if _, ok := l.Open(c, now); ok {
					all = append(all, c)
				}
			case k == 1:
				l.Close(c)
			case k == 2:
				l.SetState(c, State(r.IntN(int(Leaving)+1)), now)
			case k == 3:
				l.Release(c, int64(r.IntN(100<<10)))
			case k == 4:
				l.Progress(c, r.IntN(100<<10), now)
			default:
				if c.state == Receiving || c.state == Serving || c.state == Answering {
					l.Reserve(c, int64(r.IntN(300<<10)), now)
				}
			}
			sum, conns := int64(0), 0
			for _, c := range all {
				sum += c.held
				if c.open {
					conns++
				}
			}
			used, open := l.Used()
			is.Equal(used, sum)
			is.Equal(open, conns)
			is.True(used <= 1<<20 && open <= 20 && used >= 0)
		}
	}
}

func TestLimitsOfAProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(LimitsOf(100<<20, 300), Limits{Bytes: 31457280, Conns: 210})
	is.Equal(LimitsOf(16<<20, 0).Conns, 153)
	is.Equal(LimitsOf(0, 4).Conns, minConns)
}
