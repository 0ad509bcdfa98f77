package fleet

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/urgency"
)

// This file weights demand by how urgent it is. The load that it answers: kinds of requests that
// share no model compete for the engines' memory and for the store. Where only some of the models
// can be held or fetched in time, those with the most requests, each counted with the weight of its
// level, come first, and are evicted last. Weights rather than a strict order: a few urgent requests
// do not hold up many less urgent ones, which have a time limit too.

// LevelDemand is the part of a Demand that has one level.
type LevelDemand struct {
	Level   urgency.Level `json:"level"`
	Arrived int           `json:"arrived,omitempty"`
	Waiting int           `json:"waiting,omitempty"`
	InTime  int           `json:"inTime,omitempty"`
}

// OfLevel returns the part of a level, which is added if needed.
func (d *Demand) OfLevel(l urgency.Level) *LevelDemand {
	for i := range d.Levels {
		if d.Levels[i].Level == l {
			return &d.Levels[i]
		}
	}
	d.Levels = append(d.Levels, LevelDemand{Level: l})
	return &d.Levels[len(d.Levels)-1]
}

// AddWaiting counts one more waiting request of a level; due is the time until its objective has
// passed.
func (d *LevelDemand) AddWaiting(due time.Duration) {
	d.Waiting++
	if due >= coldStart {
		d.InTime++
	}
}

// unknownLevel is the level of requests at entries that report none, such as those of an earlier
// release: neither before all others nor after them.
const unknownLevel urgency.Level = 1

// weightedDemand is a number of waiting requests, each counted with the weight of its level.
type weightedDemand struct{ inTime, late float64 }

func (s *weightedDemand) add(d Demand) {
	inTime, late := d.InTime, d.Waiting-d.InTime
	for _, l := range d.Levels {
		s.inTime += float64(l.InTime) * l.Level.Weight()
		s.late += float64(l.Waiting-l.InTime) * l.Level.Weight()
		inTime -= l.InTime
		late -= l.Waiting - l.InTime
	}
	s.inTime += float64(max(inTime, 0)) * unknownLevel.Weight()
	s.late += float64(max(late, 0)) * unknownLevel.Weight()
}

// arrivedWeight returns the arrivals that an entry reported, each counted with the weight of its level.
func (d *Demand) arrivedWeight() float64 {
	sum, other := 0.0, d.Arrived
	for _, l := range d.Levels {
		sum += float64(l.Arrived) * l.Level.Weight()
		other -= l.Arrived
	}
	return sum + float64(max(other, 0))*unknownLevel.Weight()
}

// SetByLevel sets whether demand counts with the weight of its level where models compete. Otherwise
// all requests count the same.
func (p *Planner) SetByLevel(on bool) { p.byLevel = on }

// weightedRate returns a model's current request rate, with SetByLevel each request counted with the
// weight of its level.
func (p *Planner) weightedRate(now time.Time, name string) float64 {
	if !p.byLevel {
		return p.rate(now, name)
	}
	m, known := p.models[name]
	if !known {
		return 0
	}
	m.decay(now, p.cfg.RateHalfLife)
	return m.weighted
}

// weight returns the mean weight of a model's requests; 1 without SetByLevel.
func (p *Planner) weight(now time.Time, name string) float64 {
	if rate := p.rate(now, name); p.byLevel && rate > 0 {
		return p.weightedRate(now, name) / rate
	}
	return 1
}
