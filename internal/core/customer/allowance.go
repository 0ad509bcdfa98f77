package customer

import (
	"errors"
	"fmt"
	"math"
)

// Unit is what an allowance counts.
type Unit uint8

// The units.
const (
	Requests Unit = iota
	Tokens        // prompt tokens and the maximum of output tokens that a request announces
)

// Allowance is the rate and burst of a customer, over all entries together.
type Allowance struct {
	Rate        float64 // units a second; 0 if there is no limit
	Burst       float64 // units that may be used at once in addition to the rate
	Unit        Unit
	DefaultCost float64 // units of a request that announces no tokens; only with Tokens
}

// maxRate bounds rates and bursts: above it, sums over a day lose single units to rounding.
const maxRate = 1e12

// Limited reports whether the rate is limited.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost returns the cost of a request in units. tokens is the number of tokens that the request
// announces; announced is false if it announces none.
func (a Allowance) Cost(tokens int, announced bool) float64 {
	switch {
	case a.Unit == Requests:
		return 1
	case !announced:
		return a.DefaultCost
	}
	return float64(max(tokens, 0))
}

func (a Allowance) check() error {
	for _, v := range []struct {
		name  string
		value float64
	}{{"rate", a.Rate}, {"burst", a.Burst}, {"size of a plain request", a.DefaultCost}} {
		switch {
		case math.IsNaN(v.value):
			return fmt.Errorf("the %s is not a number", v.name)
		case v.value < 0:
			return fmt.Errorf("the %s is negative", v.name)
		case v.value > maxRate:
			return fmt.Errorf("the %s is above %g", v.name, maxRate)
		}
	}
	if a.Unit > Tokens {
		return errors.New("the unit is not known")
	}
	return nil
}
