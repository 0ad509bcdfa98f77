package release

import (
	"encoding/json"
	"fmt"
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
	list := func(at time.Time, service string, names ...Name) {
		h.Listed(at, at, map[string][]Name{service: names})
	}
	_, one := Only(h.Names("s"))
	is.True(!one) // nothing is known
	list(now, "s", "v1")
	n, one := Only(h.Names("s"))
	is.True(one && n == "v1")
	list(now.Add(time.Second), "s", "v2") // v1 is gone, its streams may come again
	_, one = Only(h.Names("s"))
	is.True(!one)
	late := now.Add(StreamLife + time.Millisecond)
	list(late, "s", "v2")
	n, one = Only(h.Names("s"))
	is.True(one && n == "v2")
	_, one = Only([]Name{"v1"}, []Name{"v2"})
	is.True(!one)
	list(late, "t", "")
	list(late.Add(time.Second), "t", "v1") // an endpoint that tells none is gone, its streams may come again
	_, one = Only(h.Names("t"))
	is.True(!one)
	list(late.Add(StreamLife+time.Second), "t", "v1")
	n, one = Only(h.Names("t"))
	is.True(one && n == "v1")
	list(late, "u", "", "v1") // one endpoint does not tell: it may be any
	_, one = Only(h.Names("u"))
	is.True(!one)
}

// Guards against a release that is forgotten while the list cannot be read.
func TestHistoryForgetsOnlyWhileItIsListed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	var h History
	h.Listed(now, now, map[string][]Name{"s": {"v1"}})
	late := now.Add(10 * StreamLife)
	is.Equal(h.Names("s"), []Name{"v1"})
	h.Listed(late, late, map[string][]Name{"other": {"v1"}})
	is.Equal(len(h.Names("s")), 0)
	is.Equal(h.Served(), Served{"other": {"v1"}})
}

func TestHistoryFollowsListsWithoutGaps(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	var h History
	is.True(!h.Follows(now))
	list := func(at time.Duration) { h.Listed(now.Add(at), now.Add(at), map[string][]Name{"s": {"v1"}}) }
	for at := time.Duration(0); at <= StreamLife; at += ListGap {
		list(at)
	}
	is.True(h.Follows(now.Add(StreamLife + ListGap)))
	is.True(!h.Follows(now.Add(StreamLife + ListGap + 1))) // the list is old
	list(StreamLife + ListGap + 1)
	is.True(!h.Follows(now.Add(StreamLife + ListGap + 1))) // a list is missing
	h.Listed(now.Add(3*StreamLife), now.Add(StreamLife), nil)
	is.True(!h.Follows(now.Add(3 * StreamLife))) // recorded long after it was read
}

func TestSettlement(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0)
	const wait = 4 * time.Second
	s := NewSettlement(now, wait, Served{"a": {"v1", "v2"}}, Served{"a": {"v1"}})
	s.Observe(now, Served{"a": {"v1", "v2"}, "b": {"v1"}})
	is.Equal(s.Settled(now), Served{"a": {"v1"}, "b": {"v1"}}) // the first of b, and what the log names as settled
	s.Observe(now.Add(time.Second), Served{"a": {"v1", "v2", "v3"}, "b": {"v2"}})
	is.Equal(s.Settled(now.Add(wait)), Served{"a": {"v1", "v2"}})
	is.Equal(s.Settled(now.Add(wait+time.Second)), Served{"a": {"v1", "v2", "v3"}, "b": {"v2"}})
	s.Observe(now.Add(wait+time.Second), Served{"a": {"v3"}, "b": {"v2"}})
	s.Observe(now.Add(wait+2*time.Second), Served{"a": {"v1", "v3"}, "b": {"v2"}})
	is.Equal(s.Settled(now.Add(wait+2*time.Second)), Served{"a": {"v3"}, "b": {"v2"}}) // v1 comes again
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

func TestOriginsAreTheSameAfterEncoding(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e6, 0).UTC()
	var a Origins
	for n := range 200 {
		os := []Origin{{streamID(2 * n), "v1"}, {streamID(2*n + 1), ""}, {streamID(n), "v9"}}
		a.Record(now.Add(time.Duration(n)*StreamLife/100), NoteOf(os))
	}
	raw, err := json.Marshal(a.Image())
	is.NoErr(err)
	var image OriginsImage
	is.NoErr(json.Unmarshal(raw, &image))
	b := image.Origins()
	at := now.Add(2*StreamLife - 1)
	for _, o := range []*Origins{&a, &b} {
		o.Record(at, NoteOf([]Origin{{streamID(1000), "v2"}}))
		n, found := o.Lookup(streamID(399))
		is.True(found && n == "") // the first word stands
		n, found = o.Lookup(streamID(1000))
		is.True(found && n == "v2")
	}
	is.Equal(a.Image(), b.Image())
	b.Rotate(at.Add(StreamLife))
	b.Rotate(at.Add(2 * StreamLife))
	_, found := b.Lookup(streamID(1000))
	is.True(!found)
}
