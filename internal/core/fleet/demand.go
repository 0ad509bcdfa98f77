package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what an entry tells of one model or adapter since it last told.
type Demand struct {
	Want     Want          `json:"want"`
	Arrived  int           `json:"arrived,omitempty"`  // requests taken in
	Away     int           `json:"away,omitempty"`     // requests told to come back when it is held
	Waiting  int           `json:"waiting,omitempty"`  // requests that no engine can take now
	Oldest   time.Duration `json:"oldest,omitempty"`   // age of the oldest that waits
	Earliest time.Duration `json:"earliest,omitempty"` // time left of the most urgent that waits
	InTime   int           `json:"inTime,omitempty"`   // of those that wait, how many a load begun now can still answer within their objective
	Due      time.Duration `json:"due,omitempty"`      // least time until the objective of one of these has passed
}

// coldStart is the time that a request needs from the decision to load its model
// until its first answer: an unload of 0.2 s, a load from disk of 0.5 s and the
// reading of its prompt.
const coldStart = 800 * time.Millisecond

// Add counts one more request that waits: for age so far, with left of its time,
// and due until its objective has passed.
func (d *Demand) Add(age, left, due time.Duration) {
	d.Waiting++
	d.Oldest = max(d.Oldest, age)
	if d.Earliest == 0 || left < d.Earliest {
		d.Earliest = left
	}
	if due < coldStart {
		return
	}
	d.InTime++
	if d.Due == 0 || due < d.Due {
		d.Due = due
	}
}

// demand is what waits for one model or adapter over all entries.
type demand struct {
	waiting int
	inTime  int           // of these, how many can still be answered within their objective
	oldest  time.Duration // longest wait so far
	urgency time.Duration // least time left
	due     time.Duration // least time until an objective that can still be met
}

func (s *demand) add(d Demand) {
	s.waiting += d.Waiting
	s.oldest = max(s.oldest, d.Oldest)
	s.urgency = min(s.urgency, d.Earliest)
	if d.InTime > 0 && (s.inTime == 0 || d.Due < s.due) {
		s.due = d.Due
	}
	s.inTime += d.InTime
}

const (
	// lateWorth is what a request that is answered late is worth against one in
	// time, when loads are put in order.
	lateWorth = 0.2
	// soon is the span whose arrivals a load made now will serve.
	soon = time.Second
)

// gain is what a load for a want brings, in requests answered in time: those
// that wait, those that will come, and a little for those that are late already.
func (p *Planner) gain(now time.Time, w Want) float64 {
	d := p.wants[w]
	return float64(d.inTime) + lateWorth*float64(d.waiting-d.inTime) + p.rate(now, w.Model)*soon.Seconds()
}

// urgent returns what is waited for, in the order in which it should be served:
// by what a load brings, in whole requests, then by the time that is left until
// the objective, or until the end for what is late already. Served by the time
// left alone, under more demand than there is room for, requests are served when
// it is just too late. Requests for rarely used models in time, 1.3 times the
// usual load on kigali, 6 seeds of cassiapass-lab: 0.58 so, 0.66 by gain.
func (p *Planner) urgent(now time.Time) []Want {
	out := make([]Want, 0, len(p.wants))
	gain := make(map[Want]float64, len(p.wants))
	for w := range p.wants {
		out = append(out, w)
		if !p.cfg.ByUrgency {
			gain[w] = math.Round(p.gain(now, w))
		}
	}
	slices.SortFunc(out, func(a, b Want) int {
		x, y := p.wants[a], p.wants[b]
		return cmp.Or(cmp.Compare(gain[b], gain[a]), cmp.Compare(x.deadline(p.cfg.ByUrgency), y.deadline(p.cfg.ByUrgency)),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// deadline is the time within which an answer is still worth most.
func (s *demand) deadline(byUrgency bool) time.Duration {
	if s.inTime > 0 && !byUrgency {
		return s.due
	}
	return s.urgency
}
