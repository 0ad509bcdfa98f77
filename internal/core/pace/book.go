package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// updateInterval is the time between two updates of a book. What is seen of an endpoint within
	// it counts as at most maxUnits independent observations: a slow moment of its host slows all
	// streams there together, and lasts some 0.6 s.
	updateInterval = time.Second
	maxUnits       = 1.5
	// halfLife is the time in which observations halve, and what they prove before a test has decided;
	// proofHalfLife is that time for the proof of a verdict. An endpoint that is avoided and not seen is tried again after some three quarters of a minute; if it
	// is still slow, half of the proof is left.
	halfLife      = 20 * time.Second
	proofHalfLife = 40 * time.Second
	// negligible is the number of observations below which a cell is dropped.
	negligible = 0.2
	// priorObservations is the weight of the assumption that an endpoint works at the usual pace,
	// in observations: the estimate of an endpoint that was hardly seen stays near it.
	priorObservations = 0.3
	// maxSweeps bounds the passes of the fit in an update, and settled is the change of an endpoint's
	// part below which it ends. The next update goes on from there.
	maxSweeps = 60
	settled   = 0.002
	// maxCells bounds the pairs of model and endpoint in a book: 3,000 engines with some models each.
	maxCells = 16384
	// maxLogRatio bounds the log ratio of one observation: a stream that was stopped for a while is
	// no proof alone.
	maxLogRatio = 2 * math.Ln2
	// minFactor and maxFactor bound the factor of an endpoint.
	minFactor, maxFactor = 0.25, 16
)

// Book estimates the factors of endpoints from how long one event of a stream takes there. The log
// of that time is taken as the sum of one part of the model and one of the endpoint, so that models
// of different size and endpoints with different models compare. A Book is not safe for concurrent
// use.
type Book struct {
	models    map[string]*modelPart
	endpoints map[string]*endpointPart
	cells     map[cellKey]*cell
	centre    float64 // median of the endpoints' parts
	tested    int     // endpoints that the tests are made for
	updatedAt time.Time
}

type cellKey struct{ model, endpoint string }

// modelPart is what a model adds to the log of the time for an event.
type modelPart struct {
	cells     []*cell
	log       float64
	sum, seen float64 // of observations less the endpoints' parts, and their number
}

// endpointPart is what an endpoint adds.
type endpointPart struct {
	cells  []*cell
	log    float64 // relative to the prior
	seen   float64 // observations that compare it with peers
	test   test
	factor Factor // as of the last update; Usual unless the test has decided
}

// cell holds the observations of one model at one endpoint.
type cell struct {
	key            cellKey
	model          *modelPart
	endpoint       *endpointPart
	n, sum         float64 // fading
	newN, newSum   float64 // since the last update
	toldN, toldSum float64 // since the last report
}

// Sum is the observations of one model at one endpoint, as entries report them.
type Sum struct {
	Model    string  `json:"m,omitempty"`
	Endpoint string  `json:"e"`
	N        float64 `json:"n"` // observations
	Log      float64 `json:"l"` // sum of the logs of the seconds for an event
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{models: map[string]*modelPart{}, endpoints: map[string]*endpointPart{}, cells: map[cellKey]*cell{}}
}

// Record records that a piece of work for a model took a time at an endpoint: an event of a stream,
// on average over several, or a whole answer. weight is what that is worth in observations of the
// deviation that the test assumes.
//
// What the endpoint says of its own speed is not taken into account: one that always says that it is
// slow at the moment would come out as fast.
func (b *Book) Record(model, endpoint string, took time.Duration, weight float64) {
	if took <= 0 {
		return
	}
	c := b.cell(cellKey{model, endpoint})
	if c == nil {
		return
	}
	sum := weight * math.Log(took.Seconds())
	c.add(weight, sum)
	c.toldN, c.toldSum = c.toldN+weight, c.toldSum+sum
}

// Add adds observations that an entry reported. Ones that no stream can have produced are ignored.
func (b *Book) Add(s Sum) {
	const longest, most = 10, 1000 // log seconds for an event; observations in a report
	if !(s.N > 0 && s.N <= most) || !(math.Abs(s.Log) <= longest*s.N) {
		return
	}
	if c := b.cell(cellKey{s.Model, s.Endpoint}); c != nil {
		c.add(s.N, s.Log)
	}
}

func (c *cell) add(n, sum float64) { c.newN, c.newSum = c.newN+n, c.newSum+sum }

// cell returns the cell of a key, nil if the book is full.
func (b *Book) cell(k cellKey) *cell {
	if c := b.cells[k]; c != nil {
		return c
	}
	if len(b.cells) >= maxCells {
		return nil
	}
	m, e := b.models[k.model], b.endpoints[k.endpoint]
	if m == nil {
		m = &modelPart{}
		b.models[k.model] = m
	}
	if e == nil {
		e = &endpointPart{factor: Usual}
		b.endpoints[k.endpoint] = e
	}
	c := &cell{key: k, model: m, endpoint: e}
	m.cells, e.cells = append(m.cells, c), append(e.cells, c)
	b.cells[k] = c
	return c
}

// Forget drops what is known of an endpoint.
func (b *Book) Forget(endpoint string) {
	e := b.endpoints[endpoint]
	if e == nil {
		return
	}
	for _, c := range slices.Clone(e.cells) {
		b.drop(c)
	}
	delete(b.endpoints, endpoint)
}

// drop drops a cell, and its model with the last one. The endpoint stays: what the test says of it
// fades by itself.
func (b *Book) drop(c *cell) {
	same := func(o *cell) bool { return o == c }
	c.model.cells = slices.DeleteFunc(c.model.cells, same)
	c.endpoint.cells = slices.DeleteFunc(c.endpoint.cells, same)
	if len(c.model.cells) == 0 {
		delete(b.models, c.key.model)
	}
	delete(b.cells, c.key)
}

// Factor returns the factor of an endpoint and the evidence for it in observations. It is Usual
// until a sequential test has told that the endpoint is slower or faster than its peers.
func (b *Book) Factor(endpoint string) (Factor, float64) {
	e := b.endpoints[endpoint]
	if e == nil {
		return Usual, 0
	}
	return e.factor, e.seen
}

// Decided returns the endpoints whose factors differ from Usual.
func (b *Book) Decided() map[string]Factor {
	out := map[string]Factor{}
	for id, e := range b.endpoints {
		if e.factor != Usual {
			out[id] = e.factor
		}
	}
	return out
}

// Sums returns the observations since the last call, or all that count still, at most limit of
// them.
func (b *Book) Sums(all bool, limit int) []Sum {
	var out []Sum
	for k, c := range b.cells {
		n, sum := c.toldN, c.toldSum
		if all {
			n, sum = c.n+c.newN, c.sum+c.newSum
		}
		if n < negligible {
			continue
		}
		if len(out) == limit {
			break
		}
		out = append(out, Sum{Model: k.model, Endpoint: k.endpoint, N: round(n), Log: round(sum)})
		c.toldN, c.toldSum = 0, 0
	}
	return out
}

// round rounds to hundredths, which keeps reports short.
func round(v float64) float64 { return math.Round(v*100) / 100 }

// Update brings the factors up to date, at most once in updateInterval. endpoints is how many
// endpoints the tests are made for. It reports whether it did.
func (b *Book) Update(now time.Time, endpoints int) bool {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	passed := now.Sub(b.updatedAt)
	if passed < updateInterval {
		return false
	}
	b.updatedAt, b.tested = now, endpoints
	kept := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, c := range b.cells {
		c.n, c.sum = c.n*kept+c.newN, c.sum*kept+c.newSum
		if c.n < negligible {
			b.drop(c)
		}
	}
	b.fit()
	b.centre = b.median()
	for id, e := range b.endpoints {
		e.judge(passed, threshold(max(endpoints, len(b.endpoints))), b.centre)
		if len(e.cells) == 0 && e.factor == Usual {
			delete(b.endpoints, id)
		}
	}
	for _, c := range b.cells {
		c.newN, c.newSum = 0, 0
	}
	return true
}

// fit fits the parts of models and endpoints to the observations by alternating least squares.
func (b *Book) fit() {
	for range maxSweeps {
		b.fitModels()
		change := 0.0
		for _, e := range b.endpoints {
			sum := 0.0
			e.seen = 0
			for _, c := range e.cells {
				if len(c.model.cells) > 1 {
					sum += c.sum - c.n*c.model.log
					e.seen += c.n
				}
			}
			log := (sum + priorObservations*b.centre) / (e.seen + priorObservations)
			change = max(change, math.Abs(log-e.log))
			e.log = log
		}
		if change < settled {
			break
		}
	}
	b.fitModels()
}

func (b *Book) fitModels() {
	for _, m := range b.models {
		m.sum, m.seen = 0, 0
		for _, c := range m.cells {
			m.sum += c.sum - c.n*c.endpoint.log
			m.seen += c.n
		}
		m.log = m.sum / m.seen
	}
}

// median returns the median of the endpoints' parts. The parts of models leave open by how much all
// endpoints' parts may be shifted.
func (b *Book) median() float64 {
	logs := make([]float64, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		if e.seen > 0 {
			logs = append(logs, e.log)
		}
	}
	if len(logs) == 0 {
		return 0
	}
	slices.Sort(logs)
	return (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2
}

// judge continues the test of an endpoint with the observations since the last update.
func (e *endpointPart) judge(passed time.Duration, threshold, centre float64) {
	e.test.fade(passed)
	if ratio, units := e.news(); units > 0 {
		e.test.observe(max(-maxLogRatio, min(ratio-centre, maxLogRatio)), e.log-centre, units, threshold)
	}
	e.factor = Usual
	switch e.test.decide(threshold) {
	case slow:
		e.factor = Factor(min(max(math.Exp(max(e.log-centre, e.test.ratio())), math.Sqrt2), maxFactor))
	case fast:
		e.factor = Factor(max(min(math.Exp(min(e.log-centre, e.test.ratio())), 1/math.Sqrt2), minFactor))
	}
}

// news returns the mean log ratio of the newest observations to those of the same models at other
// endpoints, and how many independent observations they are worth.
func (e *endpointPart) news() (ratio, units float64) {
	sum := 0.0
	for _, c := range e.cells {
		others := c.model.seen - c.n
		if c.newN == 0 || others < negligible {
			continue
		}
		usual := (c.model.sum - (c.sum - c.n*e.log)) / others
		u := c.newN * others / (c.newN + others)
		sum += u * (c.newSum/c.newN - usual)
		units += u
	}
	if units == 0 {
		return 0, 0
	}
	return sum / units, min(units, maxUnits)
}

// Retain drops the endpoints that known denies.
func (b *Book) Retain(known func(endpoint string) bool) {
	for id := range b.endpoints {
		if !known(id) {
			b.Forget(id)
		}
	}
}
