package pace

import (
	"math"
	"time"
)

// MaxSums bounds the sums in one report.
const MaxSums = 64

const (
	// minShareInterval is the least time between two reports of an entry, and between two answers of
	// the leader to it that name paces.
	minShareInterval = time.Second
	// sharePerEntry makes that time grow with the number of entries, so that what the leader
	// receives and sends does not: at most 100 reports of MaxSums a second.
	sharePerEntry = 10 * time.Millisecond
	// maxShareInterval is some way below ToldLife.
	maxShareInterval = ToldLife / 2
)

// ShareInterval returns the least time between two reports of an entry, and between two answers to it
// that name paces.
func ShareInterval(entries int) time.Duration {
	return min(max(minShareInterval, time.Duration(entries)*sharePerEntry), maxShareInterval)
}

const (
	// changeInterval is the least time between two published changes of an endpoint's factor.
	changeInterval = 5 * time.Second
	// changeRatio is by how much a factor must differ from the one published to replace it.
	changeRatio = 1.25
	// retractedTime is how long an endpoint that works at the usual pace again is published with
	// that factor, for entries that were told otherwise: as long as they keep what they were told.
	retractedTime = ToldLife
	// ToldLife is how long an entry goes by a factor that it is not told again: it covers a change of
	// leader. The new one knows again some seconds after the entries' reports have reached it.
	ToldLife = 20 * time.Second
)

// Publication decides which factors the leader publishes, with hysteresis. The zero value is ready to
// use.
type Publication struct {
	told map[string]published
}

type published struct {
	factor Factor
	since  time.Time
}

// Update takes the factors that are decided, and reports whether what is published has changed.
// Endpoints that known denies are dropped.
func (p *Publication) Update(now time.Time, decided map[string]Factor, known func(endpoint string) bool) bool {
	if p.told == nil {
		p.told = map[string]published{}
	}
	changed := false
	for id, t := range p.told {
		f, decides := decided[id]
		if !decides {
			f = Usual
		}
		switch {
		case !known(id), t.factor == Usual && f == Usual && now.Sub(t.since) > retractedTime:
			delete(p.told, id)
			changed = true
		case differ(t.factor, f, decides) && now.Sub(t.since) >= changeInterval:
			p.told[id] = published{short(f), now}
			changed = true
		}
	}
	for id, f := range decided {
		if _, told := p.told[id]; !told && known(id) {
			p.told[id] = published{short(f), now}
			changed = true
		}
	}
	return changed
}

// differ reports whether a factor differs from the published one by more than chance.
func differ(told, now Factor, decided bool) bool {
	if (told != Usual) != decided {
		return true
	}
	return decided && math.Abs(math.Log(float64(now/told))) > math.Log(changeRatio)
}

// short rounds a factor to two digits, which keeps answers short.
func short(f Factor) Factor {
	if f < 1 {
		return Factor(round(float64(f)))
	}
	return Factor(math.Round(float64(f)*10) / 10)
}

// Factors returns what is published.
func (p *Publication) Factors() map[string]Factor {
	out := make(map[string]Factor, len(p.told))
	for id, t := range p.told {
		out[id] = t.factor
	}
	return out
}
