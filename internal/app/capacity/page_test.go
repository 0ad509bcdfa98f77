package capacity

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// The numbers in the page are computed from the measurements.
func TestPageAgreesWithTheMeasurements(t *testing.T) {
	is := is.New(t)
	r, err := ReadResults("../../../docs/capacity.json")
	is.NoErr(err)
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	is.NoErr(err)
	want, err := replacePart(string(page), Page(r))
	is.NoErr(err)
	is.Equal(want, string(page)) // run cassiapass-capacity to rewrite it
}

func TestFitReturnsBaseAndSlope(t *testing.T) {
	is := is.New(t)
	r := &Results{}
	s := r.add("x", "y", "z", []Point{{1, 5}, {2, 7}, {4, 11}})
	is.Equal(s.Slope, 2.0)
	is.Equal(s.Base, 3.0)
	is.Equal(s.at(10), 23.0)
}
