package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// Class is a class of requests.
type Class struct {
	Name         string        `json:"name"`
	Rate         float64       `json:"rate"` // requests a second, over all models
	FirstModel   int           `json:"first"`
	LastModel    int           `json:"last"`     // indices of the first and last model requested
	Skew         float64       `json:"skew"`     // Zipf exponent of model popularity; 0: uniform
	Adapters     float64       `json:"adapters"` // share of requests that name an adapter
	Objective    time.Duration `json:"objective"`
	Limit        time.Duration `json:"limit"`    // time until the caller gives up
	SilenceLimit time.Duration `json:"patience"` // time without events after which the caller abandons a stream
	Prompt       float64       `json:"prompt"`   // mean tokens
	Output       float64       `json:"output"`
	Value        float64       `json:"worth"` // of an answer within the objective
	LateValue    float64       `json:"late"`  // of a later answer within Limit
	Priority     int           `json:"priority"`
}

// Site is a deployment with its load.
type Site struct {
	Name            string         `json:"name"`
	Engines         int            `json:"engines"`
	Entries         int            `json:"entries"`
	Spec            *deploy.Engine `json:"-"`
	Names           []string       `json:"-"`      // of the models, most used first
	Copies          int            `json:"copies"` // models on each engine's disk at the start
	StepScale       []float64      `json:"-"`      // step duration of each model relative to the largest model
	Classes         []Class        `json:"classes"`
	ShiftInterval   time.Duration  `json:"shift"` // interval at which demand moves to other models; 0: never
	ReplaceInterval time.Duration  `json:"renew"` // interval at which an engine is replaced by an empty one; 0: never
	Duration        time.Duration  `json:"length"`
	// Slowness is by how much longer work takes at the engines, in turn; empty if they are equal. Moments is
	// the share of the time for which a host is slow besides.
	Slowness []float64 `json:"-"`
	Moments  float64   `json:"-"`
}

// Parameters of the emulated engines, from the operators' specifications.
const (
	stepTime        = 4730 * time.Microsecond // base duration of a decode step, which makes a token for every request in the batch
	stepPerSlot     = 14 * time.Microsecond   // added to a step by each request
	tokensPerMS     = 38.4                    // prefill rate
	firstTokenDelay = 40 * time.Millisecond   // from the end of prefill to the first token
	prefillShare    = 0.7                     // largest share of a tick spent on prefill
	largeModelMB    = 34300                   // megabytes
	smallModelMB    = 16100
	smallStepScale  = 0.28
)

// Kyushu returns the site of the outage platform, with its usual request rates
// multiplied by load.
func Kyushu(load float64) *Site {
	s := &Site{Name: "kyushu", Engines: 18, Entries: 9, Copies: 19, Duration: 60 * time.Second,
		Classes: []Class{
			{Name: "notice-draft", Rate: 39.4, LastModel: 4, Skew: 1, Adapters: 0.1, Objective: 300 * time.Millisecond, Limit: 12 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 826, Output: 292, Value: 1.8, LateValue: 0.53, Priority: 1},
			{Name: "reg-summary", Rate: 12.5, FirstModel: 5, LastModel: 95, Objective: 2 * time.Second, Limit: 20 * time.Second, SilenceLimit: 8 * time.Second, Prompt: 826, Output: 292, Value: 8.4, LateValue: 1.3, Priority: 1},
			{Name: "fault-class", Rate: 10.2, LastModel: 4, Skew: 1, Adapters: 0.5, Objective: 400 * time.Millisecond, Limit: 3 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 2368, Output: 23, Value: 2.6, LateValue: 0.77},
		}}
	s.Spec = &deploy.Engine{Slots: 32, ModelMegabytes: 83000, AdapterSlots: 8, StoreLoads: 10}
	return s.complete(96, load)
}

// Kigali returns the site of the licence office, with its usual request rates
// multiplied by load.
func Kigali(load float64) *Site {
	s := &Site{Name: "kigali", Engines: 12, Entries: 9, Copies: 19, Duration: 60 * time.Second,
		Classes: []Class{
			{Name: "owner-chat", Rate: 37.6, LastModel: 4, Skew: 1, Adapters: 0.1, Objective: 300 * time.Millisecond, Limit: 12 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 826, Output: 292, Value: 2, LateValue: 0.98, Priority: 1},
			{Name: "inspector-review", Rate: 8.37, FirstModel: 5, LastModel: 64, Objective: 2 * time.Second, Limit: 20 * time.Second, SilenceLimit: 8 * time.Second, Prompt: 826, Output: 292, Value: 11, LateValue: 1.6},
			{Name: "fee-classify", Rate: 6.96, LastModel: 4, Skew: 1, Adapters: 0.5, Objective: 400 * time.Millisecond, Limit: 3 * time.Second, SilenceLimit: 2 * time.Second, Prompt: 2368, Output: 23, Value: 1.3, LateValue: 0.63, Priority: 2},
		}}
	s.Spec = &deploy.Engine{Slots: 64, ModelMegabytes: 83000, AdapterSlots: 8, StoreLoads: 6.8}
	return s.complete(65, load)
}

// Sites returns the names that ByName accepts.
func Sites() []string { return []string{"kyushu", "kigali", "uneven"} }

// ByName returns the site of that name, or nil if there is none.
func ByName(name string, load float64) *Site {
	switch name {
	case "kyushu":
		return Kyushu(load)
	case "kigali":
		return Kigali(load)
	case "uneven":
		return Uneven(load)
	}
	return nil
}

// complete adds the models, every second one large, and scales the request rates by load.
func (s *Site) complete(models int, load float64) *Site {
	s.Spec.Models = make(map[string]*deploy.Model, models)
	for i := range models {
		m := &deploy.Model{Name: fmt.Sprintf("m%02d", i), Megabytes: largeModelMB, AdapterSize: 40, Adapters: 20,
			FromStore: 6 * time.Second, FromDisk: 520 * time.Millisecond, FromMemory: 390 * time.Millisecond}
		scale := 1.0
		if i%2 == 0 {
			m.Megabytes, m.FromDisk, m.FromMemory, scale = smallModelMB, 350*time.Millisecond, 270*time.Millisecond, smallStepScale
		}
		s.Spec.Models[m.Name] = m
		s.Names = append(s.Names, m.Name)
		s.StepScale = append(s.StepScale, scale)
	}
	for i := range s.Classes {
		s.Classes[i].Rate *= load
	}
	return s
}

// request is one request of a caller.
type request struct {
	class        *Class
	want         fleet.Want
	stepScale    float64
	firstArrived time.Duration // arrival of the caller's first attempt
	arrived      time.Duration // arrival of the current attempt
	entry        int
	retried      bool // the caller has retried once

	prompt       float64 // prompt tokens left to process
	output       float64 // output tokens left to generate
	firstTokenAt time.Duration
	waitingSince time.Duration // -1 while it does not wait
}

func (r *request) level() urgency.Level { return urgency.LevelOf(r.class.Priority) }

// arrivals draws the requests of a run, ordered by arrival time.
func (s *Site) arrivals(r *rand.Rand) []*request {
	var out []*request
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := interarrival(r, c.Rate); at < s.Duration; at += interarrival(r, c.Rate) {
			out = append(out, s.draw(r, c, at))
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return int(a.firstArrived - b.firstArrived) })
	return out
}

func interarrival(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (s *Site) draw(r *rand.Rand, c *Class, at time.Duration) *request {
	n := c.LastModel - c.FirstModel + 1
	var weights []float64
	for i := range n {
		weights = append(weights, math.Pow(float64(i+1), -c.Skew))
	}
	i := c.FirstModel + pick(r, weights)
	if s.ShiftInterval > 0 && c.Skew > 0 {
		i = c.FirstModel + (i-c.FirstModel+int(at/s.ShiftInterval))%n // the most requested model changes at each interval
	}
	req := &request{class: c, want: fleet.Want{Model: s.Names[i]}, stepScale: s.StepScale[i], firstArrived: at, arrived: at, entry: r.IntN(s.Entries), waitingSince: -1}
	if m := s.Spec.Models[s.Names[i]]; r.Float64() < c.Adapters {
		req.want.Adapter = fmt.Sprintf("a%d", r.IntN(m.Adapters))
	}
	req.prompt = c.Prompt * (0.5 + r.Float64())
	req.output = max(1, c.Output*math.Exp(0.69*r.NormFloat64()-0.24))
	return req
}

// pick draws an index with probability proportional to its weight.
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
