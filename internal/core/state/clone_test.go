package state

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/holder"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/keepalive"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/release"
)

// Guards against a snapshot that is encoded while later commands change what it holds.
func TestLaterCommandsDoNotChangeAClone(t *testing.T) {
	is := is.New(t)
	s := New()
	now := time.Unix(1e6, 0)
	index := s.Index()
	apply := func(c Command) {
		index++
		now = now.Add(time.Second)
		c.By, c.Time = "op", now
		s.Apply(index, c)
	}
	change := func(n int) {
		request := poison.Key("k").Fingerprint([]byte("r"))
		apply(Command{Poison: &poison.Change{Ends: []poison.End{{Request: request, Incarnation: fmt.Sprint("e", n)}}}})
		apply(Command{Deploy: &Deploy{Version: uint64(n + 1), Text: fmt.Sprint("text ", n)}})
		apply(Command{Releases: &release.Served{"s": {release.Name(fmt.Sprint("v", n))}}})
		apply(Command{Streams: release.NoteOf([]release.Origin{{Stream: poison.Key("k").Fingerprint([]byte{byte(n)}), Release: "v1"}})})
	}
	change(0)
	clone := s.Clone()
	before, err := clone.Encode()
	is.NoErr(err)
	for n := range 4 {
		change(n + 1)
	}
	after, err := clone.Encode()
	is.NoErr(err)
	is.Equal(string(after), string(before))
}

// references collects what a value refers to and could change: maps, pointers, and arrays under slices,
// by the path that leads there.
func references(v reflect.Value, path string, out map[uintptr]string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice:
		if v.IsNil() || v.Kind() == reflect.Slice && v.Cap() == 0 {
			return
		}
		if _, seen := out[v.Pointer()]; seen {
			return
		}
		out[v.Pointer()] = path
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			references(v.Elem(), path, out)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			references(v.Field(i), path+"."+v.Type().Field(i).Name, out)
		}
	case reflect.Map:
		for r := v.MapRange(); r.Next(); {
			references(r.Value(), path+"[]", out)
		}
	case reflect.Slice:
		for i := range v.Len() {
			references(v.Index(i), path+"[]", out)
		}
	}
}

// full applies a command of each kind, so that no part of the state is empty.
func full(m *testState) {
	k := ClaimKey{Customer: "c", Service: "s", Key: "1"}
	m.do(Command{Submit: &Submit{Request: "1", Raw: recordText(2, 60)}})
	m.endpoint("a", 200)
	m.grant(base, "a")
	m.grant(adapter, "a")
	m.do(Command{Open: &OpenClaim{Key: k, Digest: "d", Request: "r", Within: time.Minute}})
	m.do(Command{History: &History{Samples: []keepalive.Sample{{Target: base, Idle: time.Minute, Woke: true, With: []ident.Target{adapter}}}}})
	m.do(Command{Deploy: &Deploy{Version: 1, Text: "text"}})
	m.do(Command{Holder: &holder.Record{}})
	m.do(Command{Releases: &release.Served{"s": {"v1"}}, Settled: &release.Served{"s": {"v1"}}})
	request := poison.Key("k").Fingerprint([]byte("r"))
	m.do(Command{Poison: &poison.Change{Ends: []poison.End{{Request: request, Incarnation: "e"}}}})
}

// Guards against a clone that shares with its origin what later commands change.
func TestCloneSharesNothingThatChanges(t *testing.T) {
	// These are replaced as a whole or only appended to: what they refer to may be shared.
	replaced := []string{".audit", ".history.stats[].With", ".records[]", ".results[]", ".endpoints[]", ".replicas[]", ".claims[]", ".deployed.", ".releases", ".settled", ".now.loc"}
	s := newTestState()
	full(s)
	shared := map[uintptr]string{}
	references(reflect.ValueOf(s.State).Elem(), "", shared)
	own := map[uintptr]string{}
	references(reflect.ValueOf(s.Clone()).Elem(), "", own)
	for p, path := range own {
		if _, found := shared[p]; !found || slices.ContainsFunc(replaced, func(r string) bool { return strings.HasPrefix(path, r) }) || strings.HasSuffix(path, ".loc") {
			continue
		}
		t.Errorf("%s is shared", path)
	}
}
