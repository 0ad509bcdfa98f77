package replay

import "time"

// store is a weight store whose bandwidth is shared when more loads run than it
// serves at full speed.
type store struct {
	c          *clock
	speed      float64
	concurrent int
	slow       float64
	loads      []*storeLoad
	last       time.Time
	version    int
	most       int
}

type storeLoad struct {
	left float64 // bytes
	done func()
}

// add starts a load.
func (s *store) add(bytes int64, done func()) *storeLoad {
	s.advance()
	l := &storeLoad{float64(bytes), done}
	s.loads = append(s.loads, l)
	s.most = max(s.most, len(s.loads))
	s.schedule()
	return l
}

// drop ends a load whose endpoint died.
func (s *store) drop(l *storeLoad) {
	s.advance()
	for i := range s.loads {
		if s.loads[i] == l {
			s.loads = append(s.loads[:i], s.loads[i+1:]...)
			break
		}
	}
	s.schedule()
}

// setSlow makes every load f times slower from now on.
func (s *store) setSlow(f float64) {
	s.advance()
	s.slow = f
	s.schedule()
}

// rate returns the present speed of each load.
func (s *store) rate() float64 {
	r := s.speed / max(s.slow, 1)
	if n := len(s.loads); n > s.concurrent {
		r *= float64(s.concurrent) / float64(n)
	}
	return r
}

func (s *store) advance() {
	d := s.c.now.Sub(s.last).Seconds()
	s.last = s.c.now
	for _, l := range s.loads {
		l.left -= d * s.rate()
	}
}

// schedule plans the end of the load that ends first.
func (s *store) schedule() {
	s.version++
	v := s.version
	if len(s.loads) == 0 {
		return
	}
	least := s.loads[0].left
	for _, l := range s.loads {
		least = min(least, l.left)
	}
	s.c.after(seconds(max(least, 0)/s.rate())+time.Microsecond, func() {
		if v == s.version {
			s.finish()
		}
	})
}

func (s *store) finish() {
	s.advance()
	var ended []*storeLoad
	kept := s.loads[:0]
	for _, l := range s.loads {
		if l.left <= s.rate()*1e-6 {
			ended = append(ended, l)
			continue
		}
		kept = append(kept, l)
	}
	s.loads = kept
	s.schedule()
	for _, l := range ended {
		l.done()
	}
}
