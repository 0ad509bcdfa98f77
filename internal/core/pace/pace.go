// Package pace estimates how fast endpoints work, relative to their peers, and how much work a
// request is. It does no I/O and reads no clock.
package pace

// Factor is how long work takes at an endpoint relative to the median of its peers: 1 is usual,
// 2 is half as fast. The zero value counts as 1.
type Factor float64

// Usual is the Factor of an endpoint of which nothing else is known.
const Usual Factor = 1

// Or returns the factor, or Usual for the zero value.
func (f Factor) Or() float64 {
	if f <= 0 {
		return float64(Usual)
	}
	return float64(f)
}

// Work is what a request asks of an engine.
type Work struct {
	Prompt int // tokens to read
	Output int // tokens to generate, as expected
}
