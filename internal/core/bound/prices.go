package bound

// prices are the prices of a second of an engine's memory, by measure, and of a second of
// its order time, in each span. The type also holds usage, in seconds.
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

// rows returns the series of all measures, followed by that of the orders.
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

// cost returns the price of all memory and of all order time. capacity is in seconds of
// engines by span, and is the same for every measure.
func (p *prices) cost(capacity []float64) (memory, orders float64) {
	for _, r := range p.memory {
		memory += dot(r, capacity)
	}
	return memory, dot(p.orders, capacity)
}

// descend moves prices against the subgradient, which is capacity less usage, scaled by step
// over the square of its norm. Prices stay at zero or above.
func (p *prices) descend(capacity []float64, used *prices, step float64) {
	var norm float64
	rows, uses := p.rows(), used.rows()
	for i, u := range uses {
		for s := range u {
			norm += project(rows[i][s], capacity[s]-u[s]) * project(rows[i][s], capacity[s]-u[s])
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

// project returns a component of the subgradient, or 0 where the price is 0 and would become
// negative.
func project(price, g float64) float64 {
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
