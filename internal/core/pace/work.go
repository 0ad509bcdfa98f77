package pace

import (
	"math"
	"time"
)

const (
	// usualOutput is the output that is assumed where a request names neither a hint nor a maximum.
	usualOutput = 256
	// hintHalfLife is the number of answers in which the weight of an observed length halves.
	hintHalfLife = 32
)

// Lengths learns how long answers are in relation to their hints. The zero value is ready to use.
type Lengths struct {
	ratio float64 // log of the observed length to the hint, fading
	n     float64
}

// Record records the output of a whole answer with a hint.
func (l *Lengths) Record(hint, output int) {
	if hint <= 0 || output <= 0 {
		return
	}
	kept := math.Exp2(-1.0 / hintHalfLife)
	l.n = l.n*kept + 1
	l.ratio += (math.Log(float64(output)/float64(hint)) - l.ratio) / l.n
}

// Expect returns the work of a request: its hint as corrected by earlier answers, at most the
// maximum, or the maximum itself if there is no hint.
func (l *Lengths) Expect(prompt, hint, maximum int) Work {
	w := Work{Prompt: prompt, Output: maximum}
	if w.Output <= 0 {
		w.Output = usualOutput
	}
	if hint > 0 {
		// A few answers say little: their correction counts as theirs among ten.
		corrected := float64(hint) * math.Exp(l.ratio*l.n/(l.n+10))
		expected := max(int(corrected+0.5), 1)
		if maximum > 0 {
			expected = min(expected, maximum)
		}
		w.Output = expected
	}
	return w
}

// Times are how long the parts of a request take at an endpoint of the usual pace.
type Times struct {
	Begin time.Duration // until the first event, for an empty prompt
	Token time.Duration // more for each token of the prompt
	Event time.Duration // from one event to the next
	// EventTokens is the number of output tokens in an event.
	EventTokens int
	// Usual is the work of the usual request.
	Usual Work
}

// First returns how long the first event of a request takes at an endpoint that is to read prompts
// of a number of tokens before. factor is how long work takes there relative to the usual.
func (t Times) First(w Work, before int, factor float64) time.Duration {
	return time.Duration(factor * float64(t.Begin+t.Token*time.Duration(w.Prompt+before)))
}

// Finish returns how long the whole answer takes.
func (t Times) Finish(w Work, before int, factor float64) time.Duration {
	events := max(w.Output/max(t.EventTokens, 1)-1, 0)
	return t.First(w, before, factor) + time.Duration(factor*float64(events)*float64(t.Event))
}

// maxShare bounds the work of one request in usual requests, as its output is only expected.
const maxShare = 4

// Share returns the work of a request in usual requests.
func (t Times) Share(w Work) float64 {
	usual := t.Finish(t.Usual, 0, 1)
	if usual <= 0 {
		return 1
	}
	return min(max(float64(t.Finish(w, 0, 1))/float64(usual), 1.0/maxShare), maxShare)
}

// timesHalfLife is the number of streams in which the weight of a stream in the times of its model
// halves.
const timesHalfLife = 32

// fewStreams is the number of streams below which the times of a model are not known.
const fewStreams = 4

// TimesOf learns the times of one model. The zero value is ready to use.
type TimesOf struct {
	n, x, xx, y, xy float64 // of prompt tokens x and seconds y to the first event
	output          float64 // expected tokens
	events, seconds float64
}

// RecordFirst records the first event of a request. factor is the endpoint's at that time.
func (t *TimesOf) RecordFirst(w Work, took time.Duration, factor float64) {
	kept := math.Exp2(-1.0 / timesHalfLife)
	x, y := float64(w.Prompt), took.Seconds()/factor
	t.n, t.x, t.xx = t.n*kept+1, t.x*kept+x, t.xx*kept+x*x
	t.y, t.xy, t.output = t.y*kept+y, t.xy*kept+x*y, t.output*kept+float64(w.Output)
}

// RecordEvents records the time between events.
func (t *TimesOf) RecordEvents(events int, took time.Duration, factor float64) {
	kept := math.Exp2(-1.0 / timesHalfLife)
	t.events, t.seconds = t.events*kept+float64(events), t.seconds*kept+took.Seconds()/factor
}

// Event returns how long it takes from one event to the next at the usual pace, 0 if that is not known.
func (t *TimesOf) Event() time.Duration {
	if t.events == 0 {
		return 0
	}
	return seconds(t.seconds / t.events)
}

// Times returns what was learned, and false if that is too little.
func (t *TimesOf) Times(eventTokens int) (Times, bool) {
	if t.n < fewStreams {
		return Times{}, false
	}
	out := Times{EventTokens: eventTokens, Event: t.Event(), Usual: Work{int(t.x / t.n), int(t.output / t.n)}}
	mean := t.y / t.n
	slope := 0.0
	if spread := t.xx - t.x*t.x/t.n; spread > 0 {
		slope = max((t.xy-t.x*t.y/t.n)/spread, 0)
	}
	begin := mean - slope*t.x/t.n
	if begin < 0 { // more than all is put down to the prompts
		begin, slope = 0, t.y/t.x
	}
	out.Begin, out.Token = seconds(begin), seconds(slope)
	return out, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// slownessHalfLife is the time in which a host's statement that it is slow at the moment loses
	// half of its weight: such moments last some tenths of a second.
	slownessHalfLife = 300 * time.Millisecond
	// maxSlownessAge is the age from which on a statement counts for nothing.
	maxSlownessAge = 10 * slownessHalfLife
	// maxSlowness bounds what a statement counts for.
	maxSlowness = 10
)

// SlownessAt returns by how much work takes longer at an endpoint whose host stated a slowness some
// time ago. One that claims to be faster than usual, or states nothing, counts as usual.
func SlownessAt(stated float64, age time.Duration) float64 {
	if !(stated > 1) || age > maxSlownessAge {
		return 1
	}
	return 1 + (min(stated, maxSlowness)-1)*math.Exp2(-float64(max(age, 0))/float64(slownessHalfLife))
}
