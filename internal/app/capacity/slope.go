package capacity

import "math"

// Point is one measurement: the cost at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a cost measured at several sizes and the line fitted through it:
// value = Base + Slope * size.
type Series struct {
	Name   string  `json:"name"`
	Of     string  `json:"of"`   // what the size counts
	Unit   string  `json:"unit"` // of the value
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	Spread float64 `json:"spread"` // largest distance of a point from the line, as a share of the largest value
}

// fit fits the line by least squares.
func (s *Series) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, top float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		top = max(top, math.Abs(p.Value))
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	s.Base = (sy - s.Slope*sx) / n
	for _, p := range s.Points {
		if top > 0 {
			s.Spread = max(s.Spread, math.Abs(p.Value-s.at(p.Size))/top)
		}
	}
}

// at returns the line's value at a size.
func (s *Series) at(size float64) float64 { return s.Base + s.Slope*size }

// between returns the value at a size by the straight line between the two
// points around it, for series that are not linear over their whole range.
func (s *Series) between(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size <= b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size)
		}
	}
	return s.Points[len(s.Points)-1].Value
}

// Results is everything that was measured in one run.
type Results struct {
	Machine string             `json:"machine"`
	Series  []*Series          `json:"series"`
	Single  map[string]float64 `json:"single"` // measurements at one size; the name tells the unit
}

func (r *Results) add(name, of, unit string, points []Point) *Series {
	s := &Series{Name: name, Of: of, Unit: unit, Points: points}
	s.fit()
	r.Series = append(r.Series, s)
	return s
}

// find returns a series by name.
func (r *Results) find(name string) *Series {
	for _, s := range r.Series {
		if s.Name == name {
			return s
		}
	}
	panic("invariant: capacity: no series " + name)
}
