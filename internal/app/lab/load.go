package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
)

// Class is one kind of request.
type Class struct {
	Name      string        `json:"name"`
	Rate      float64       `json:"rate"` // requests a second, all together
	First     int           `json:"first"`
	Last      int           `json:"last"`     // models from First to Last are asked for
	Skew      float64       `json:"skew"`     // exponent of their popularity, 0 if all are alike
	Adapters  float64       `json:"adapters"` // share of the requests that name an adapter
	Objective time.Duration `json:"objective"`
	Limit     time.Duration `json:"limit"`    // the caller's time
	Patience  time.Duration `json:"patience"` // a silent stream is left after it
	Prompt    float64       `json:"prompt"`   // tokens, on average
	Output    float64       `json:"output"`
	Worth     float64       `json:"worth"` // of an answer within the objective
	Late      float64       `json:"late"`  // of a later one
	Priority  int           `json:"priority"`
}

// Site is a deployment with its load.
type Site struct {
	Name    string         `json:"name"`
	Engines int            `json:"engines"`
	Entries int            `json:"entries"`
	Spec    *deploy.Engine `json:"-"`
	Names   []string       `json:"-"`      // of the models, the often used first
	Copies  int            `json:"copies"` // models that an engine's disk holds
	Pace    []float64      `json:"-"`      // of a model's steps against the largest model's
	Classes []Class        `json:"classes"`
	Shift   time.Duration  `json:"shift"` // demand moves to other models this often; 0: never
	Renew   time.Duration  `json:"renew"` // an engine is replaced by an empty one this often; 0: never
	Length  time.Duration  `json:"length"`
}

// Figures of the emulated engines, from the operators' sheets.
const (
	stepTime     = 4730 * time.Microsecond // of one token for every request in a batch
	stepPerSlot  = 14 * time.Microsecond   // added by each request
	tokensPerMS  = 38.4                    // of prompts read
	firstDelay   = 40 * time.Millisecond   // before the first token
	prefillShare = 0.7                     // of an engine's time at most, while others generate
	largeModel   = 34300                   // megabytes
	smallModel   = 16100
	smallPace    = 0.28
)

// Kyushu returns the outage platform's load, at a multiple of its usual rate.
func Kyushu(load float64) *Site {
	s := &Site{Name: "kyushu", Engines: 18, Entries: 9, Copies: 19, Length: 60 * time.Second,
		Classes: []Class{
			{Name: "notice-draft", Rate: 39.4, Last: 4, Skew: 1, Adapters: 0.1, Objective: 300 * time.Millisecond, Limit: 12 * time.Second, Patience: 2 * time.Second, Prompt: 826, Output: 292, Worth: 1.8, Late: 0.53, Priority: 1},
			{Name: "reg-summary", Rate: 12.5, First: 5, Last: 95, Objective: 2 * time.Second, Limit: 20 * time.Second, Patience: 8 * time.Second, Prompt: 826, Output: 292, Worth: 8.4, Late: 1.3, Priority: 1},
			{Name: "fault-class", Rate: 10.2, Last: 4, Skew: 1, Adapters: 0.5, Objective: 400 * time.Millisecond, Limit: 3 * time.Second, Patience: 2 * time.Second, Prompt: 2368, Output: 23, Worth: 2.6, Late: 0.77},
		}}
	s.Spec = &deploy.Engine{Slots: 32, Weights: 83000, AdapterPlaces: 8, StoreLoads: 10}
	return s.finish(96, load)
}

// Kigali returns the licence office's load, at a multiple of its usual rate.
func Kigali(load float64) *Site {
	s := &Site{Name: "kigali", Engines: 12, Entries: 9, Copies: 19, Length: 60 * time.Second,
		Classes: []Class{
			{Name: "owner-chat", Rate: 37.6, Last: 4, Skew: 1, Adapters: 0.1, Objective: 300 * time.Millisecond, Limit: 12 * time.Second, Patience: 2 * time.Second, Prompt: 826, Output: 292, Worth: 2, Late: 0.98, Priority: 1},
			{Name: "inspector-review", Rate: 8.37, First: 5, Last: 64, Objective: 2 * time.Second, Limit: 20 * time.Second, Patience: 8 * time.Second, Prompt: 826, Output: 292, Worth: 11, Late: 1.6},
			{Name: "fee-classify", Rate: 6.96, Last: 4, Skew: 1, Adapters: 0.5, Objective: 400 * time.Millisecond, Limit: 3 * time.Second, Patience: 2 * time.Second, Prompt: 2368, Output: 23, Worth: 1.3, Late: 0.63, Priority: 2},
		}}
	s.Spec = &deploy.Engine{Slots: 64, Weights: 83000, AdapterPlaces: 8, StoreLoads: 6.8}
	return s.finish(65, load)
}

// Sites returns the names that ByName knows.
func Sites() []string { return []string{"kyushu", "kigali"} }

// ByName returns a site, or nil.
func ByName(name string, load float64) *Site {
	switch name {
	case "kyushu":
		return Kyushu(load)
	case "kigali":
		return Kigali(load)
	}
	return nil
}

// finish fills in the models, every second one large, and scales the load.
func (s *Site) finish(models int, load float64) *Site {
	s.Spec.Models = make(map[string]*deploy.Model, models)
	for i := range models {
		m := &deploy.Model{Name: fmt.Sprintf("m%02d", i), Megabytes: largeModel, AdapterSize: 40, Adapters: 20,
			FromStore: 6 * time.Second, FromDisk: 520 * time.Millisecond, FromMemory: 390 * time.Millisecond}
		pace := 1.0
		if i%2 == 0 {
			m.Megabytes, m.FromDisk, m.FromMemory, pace = smallModel, 350*time.Millisecond, 270*time.Millisecond, smallPace
		}
		s.Spec.Models[m.Name] = m
		s.Names = append(s.Names, m.Name)
		s.Pace = append(s.Pace, pace)
	}
	for i := range s.Classes {
		s.Classes[i].Rate *= load
	}
	return s
}

// request is one request of a caller.
type request struct {
	class   *Class
	want    fleet.Want
	pace    float64
	born    time.Duration // of the caller's first attempt
	arrived time.Duration // of this one
	entry   int
	again   bool // the caller has come back once

	prompt float64 // tokens still to be read
	output float64 // tokens still to be made
	begun  time.Duration
	waits  time.Duration // when it began to wait, -1 while it does not
}

// arrivals draws the requests of a run in order of time.
func (s *Site) arrivals(r *rand.Rand) []*request {
	var out []*request
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := gap(r, c.Rate); at < s.Length; at += gap(r, c.Rate) {
			out = append(out, s.draw(r, c, at))
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return int(a.born - b.born) })
	return out
}

func gap(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (s *Site) draw(r *rand.Rand, c *Class, at time.Duration) *request {
	n := c.Last - c.First + 1
	var weights []float64
	for i := range n {
		weights = append(weights, math.Pow(float64(i+1), -c.Skew))
	}
	i := c.First + pick(r, weights)
	if s.Shift > 0 && c.Skew > 0 {
		i = c.First + (i-c.First+int(at/s.Shift))%n // another one is the busiest now
	}
	req := &request{class: c, want: fleet.Want{Model: s.Names[i]}, pace: s.Pace[i], born: at, arrived: at, entry: r.IntN(s.Entries), waits: -1}
	if m := s.Spec.Models[s.Names[i]]; r.Float64() < c.Adapters {
		req.want.Adapter = fmt.Sprintf("a%d", r.IntN(m.Adapters))
	}
	req.prompt = c.Prompt * (0.5 + r.Float64())
	req.output = max(1, c.Output*math.Exp(0.69*r.NormFloat64()-0.24))
	return req
}

// pick draws an index by weight.
func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
