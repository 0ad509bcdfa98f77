package replay

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/placement"
)

func options(p placement.Policy) Options {
	cfg := placement.DefaultConfig()
	cfg.Policy = p
	return Options{Placement: cfg, Check: true}
}

// schedules returns the number of random schedules to run: ci, unless
// CASSIAPASS_SCHEDULES gives another number.
func schedules(ci int) int {
	if n, err := strconv.Atoi(os.Getenv("CASSIAPASS_SCHEDULES")); err == nil {
		return n
	}
	return ci
}

// Guards against decisions made on stale state: more replicas are loaded than were
// decided, memory is overcommitted, or a waiting request is dropped. The random
// traces have scarce memory; endpoints die and return, hosts are reclaimed, the
// store is slow and leaders are lost, in any order and concurrently. The state, the
// ledgers, the queues and the engines' own memory are checked at each step.
func TestRandomSchedulesKeepInvariants(t *testing.T) {
	n := schedules(240)
	const workers = 8
	for w := range workers {
		t.Run(fmt.Sprint("part ", w+1), func(t *testing.T) {
			t.Parallel()
			for seed := w; seed < n; seed += workers {
				p := Policies()[seed%len(Policies())]
				if _, err := Run(Random(uint64(seed)), options(p)); err != nil {
					t.Fatalf("seed %d, policy %s: %v", seed, p, err)
				}
			}
		})
	}
}

func TestTraceIsReadAsItWasWritten(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	a := Random(5)
	is.NoErr(a.Write(&b))
	got, err := Read(&b)
	is.NoErr(err)
	is.Equal(got.Lines, a.Lines)
	first, err := Run(a, options(placement.PolicyHistory))
	is.NoErr(err)
	second, err := Run(got, options(placement.PolicyHistory))
	is.NoErr(err)
	is.Equal(first.Loads, second.Loads) // the same trace gives the same results
	is.Equal(first.ColdP99, second.ColdP99)
}

func TestBadTracesAreRefused(t *testing.T) {
	for _, text := range []string{"{", `{"kind":"request"}`, `{"kind":"world"}`, "{\"kind\":\"world\",\"world\":{\"records\":[\"{}\"]}}\n"} {
		if _, err := Read(bytes.NewReader([]byte(text))); err == nil {
			t.Fatalf("%q was accepted", text)
		}
	}
}

func BenchmarkKyushu(b *testing.B) {
	t := Kyushu(1, false)
	for b.Loop() {
		if _, err := Run(t, Options{Placement: placement.DefaultConfig()}); err != nil {
			b.Fatal(err)
		}
	}
}
