package bound

// prices are what is to be paid for a second of an engine's memory, by measure, and of its
// order time, span by span. The same shape holds what is used, in seconds.
type prices struct {
	memory [measures][]float64
	orders []float64
}

func newPrices(spans int) *prices {
	p := &prices{orders: make([]float64, spans)}
	for m := range p.memory {
		p.memory[m] = make([]float64, spans)
	}
	return p
}

// rows returns all series, the orders last.
func (p *prices) rows() [][]float64 {
	out := make([][]float64, 0, measures+1)
	for _, r := range p.memory {
		out = append(out, r)
	}
	return append(out, p.orders)
}

func (p *prices) clear() {
	for _, r := range p.rows() {
		clear(r)
	}
}

// worth returns what the whole of capacity costs, of which there is as much by each
// measure.
func (p *prices) worth(capacity []float64) (memory, orders float64) {
	for _, r := range p.memory {
		memory += dot(r, capacity)
	}
	return memory, dot(p.orders, capacity)
}

// descend moves prices against the subgradient, capacity less what was used, by step times
// its square norm.
func (p *prices) descend(capacity []float64, used *prices, step float64) {
	var norm float64
	rows, uses := p.rows(), used.rows()
	for i, u := range uses {
		for s := range u {
			norm += free(rows[i][s], capacity[s]-u[s]) * free(rows[i][s], capacity[s]-u[s])
		}
	}
	if norm == 0 {
		return
	}
	for i, r := range rows {
		for s := range r {
			r[s] = max(0, r[s]-step/norm*(capacity[s]-uses[i][s]))
		}
	}
}

// free returns a component of the subgradient, or 0 where the price is 0 already and would
// go below.
func free(price, g float64) float64 {
	if price == 0 && g > 0 {
		return 0
	}
	return g
}

func dot(a, b []float64) float64 {
	var sum float64
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
