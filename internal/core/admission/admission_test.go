package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

var start = time.Unix(1000, 0)

func request(n int, c string, weight float64, p record.Priority) Request {
	return Request{Attempt: ident.Attempt{Request: ident.RequestID(fmt.Sprint(n))}, Customer: ident.Customer(c), Weight: weight, Priority: p, Deadline: start.Add(time.Hour)}
}

// served returns the number of requests of each customer among the first n that
// start while requests of all customers are waiting.
func served(q *Queue, n int) map[ident.Customer]int {
	out := map[ident.Customer]int{}
	var running []Request
	for a, r := range q.running {
		_ = a
		running = append(running, r.req)
	}
	for len(running) > 0 && n > 0 {
		q.Finish(start, running[0].Attempt)
		running = running[1:]
		for _, r := range q.Next(start) {
			out[r.Customer]++
			running = append(running, r)
			n--
		}
	}
	return out
}

func TestCustomersShareByCapacitySold(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 2, MaxQueue: 1000, ServiceTime: time.Millisecond})
	n := 0
	for range 200 {
		for c, w := range map[string]float64{"one": 1, "three": 3} {
			n++
			q.Offer(start, request(n, c, w, record.Interactive))
		}
	}
	got := served(q, 80)
	is.Equal(got["one"]+got["three"], 80)
	is.True(got["three"] >= 58 && got["three"] <= 62) // three quarters
}

func TestBurstOfOneCustomerDoesNotDelayAnother(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, MaxQueue: 1000, ServiceTime: time.Millisecond})
	for n := range 300 {
		q.Offer(start, request(n, "flood", 1, record.Interactive))
	}
	q.Offer(start, request(1000, "calm", 1, record.Interactive))
	got := served(q, 2)
	is.Equal(got["calm"], 1)
}

func TestInteractiveRequestsPrecedeBatch(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, MaxQueue: 1000, ServiceTime: time.Millisecond})
	for n := range 50 {
		q.Offer(start, request(n, "batch", 1, record.Batch))
	}
	for n := range 10 {
		q.Offer(start, request(100+n, "clerk", 1, record.Interactive))
	}
	is.Equal(served(q, 10)["clerk"], 10)
}

func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := New(Config{Slots: 1, MaxQueue: 2, ServiceTime: 10 * time.Second})
	is.Equal(q.Offer(start, request(1, "a", 1, record.Interactive)).Verdict, Run)
	urgent := request(2, "a", 1, record.Interactive)
	urgent.Deadline = start.Add(time.Second)
	d := q.Offer(start, urgent)
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, CannotMeetDeadline)
	is.True(d.RetryAfter >= 10*time.Second)
	is.Equal(q.Offer(start, request(3, "a", 1, record.Interactive)).Verdict, Wait)
	is.Equal(q.Offer(start, request(4, "a", 1, record.Interactive)).Verdict, Wait)
	is.Equal(q.Offer(start, request(5, "a", 1, record.Interactive)).Reason, QueueFull)
}

// The queue checks its own accounting after every step.
func TestRandomStepsLoseNoRequest(t *testing.T) {
	for seed := range 200 {
		r := rand.New(rand.NewPCG(uint64(seed), 3))
		q := New(Config{Slots: 1 + r.IntN(4), MaxQueue: 10, ServiceTime: time.Second})
		now, in, ended := start, 0, 0
		live := map[ident.Attempt]bool{}
		for n := range 500 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			x := request(n, fmt.Sprint(r.IntN(4)), 1, []record.Priority{record.Interactive, record.Batch}[r.IntN(2)])
			x.Deadline = now.Add(time.Duration(r.IntN(5000)) * time.Millisecond)
			if d := q.Offer(now, x); d.Verdict != Refuse {
				in++
				if d.Verdict == Run {
					live[x.Attempt] = true
				}
			}
			ended += len(q.Expire(now))
			for a := range live {
				if r.IntN(3) == 0 {
					q.Finish(now, a)
					delete(live, a)
					ended++
				}
			}
			for _, s := range q.Next(now) {
				live[s.Attempt] = true
			}
		}
		if in != ended+q.Running()+q.Waiting() {
			t.Fatalf("seed %d: %d in, %d ended, %d running, %d waiting", seed, in, ended, q.Running(), q.Waiting())
		}
	}
}
