package capacity

import "math"

// Point is one measurement: the cost at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is a cost measured at several sizes and the line fitted through it:
// value = Base + Slope * size.
type Series struct {
	Name     string  `json:"name"`
	SizeUnit string  `json:"of"`   // what the size counts
	Unit     string  `json:"unit"` // of the value
	Points   []Point `json:"points"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Spread   float64 `json:"spread"` // largest distance of a point from the line, as a share of the largest value
}

// fit fits the line by least squares.
func (s *Series) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, maxValue float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		maxValue = max(maxValue, math.Abs(p.Value))
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	s.Base = (sy - s.Slope*sx) / n
	for _, p := range s.Points {
		if maxValue > 0 {
			s.Spread = max(s.Spread, math.Abs(p.Value-s.at(p.Size))/maxValue)
		}
	}
}

// at returns the value of the fitted line at a size.
func (s *Series) at(size float64) float64 { return s.Base + s.Slope*size }

// between interpolates linearly between the two points around a size, for series
// that are not linear over their whole range. Beyond the last point it returns the
// value of that point.
func (s *Series) between(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size <= b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size)
		}
	}
	return s.Points[len(s.Points)-1].Value
}

// Results holds the measurements of one run.
type Results struct {
	Host   string             `json:"machine"`
	Series []*Series          `json:"series"`
	Single map[string]float64 `json:"single"` // measurements at one size; the name ends in the unit
}

func (r *Results) add(name, of, unit string, points []Point) *Series {
	s := &Series{Name: name, SizeUnit: of, Unit: unit, Points: points}
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
