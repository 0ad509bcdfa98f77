package replay

import "time"

// store is a weight store. Its bandwidth is shared when more loads run than it
// serves at full speed.
type store struct {
	clock      *clock
	speed      float64
	concurrent int
	slowdown   float64
	loads      []*storeLoad
	last       time.Time
	version    int
	maxLoads   int
}

type storeLoad struct {
	left float64 // bytes
	done func()
}

// add starts a load; done is called when it ends.
func (s *store) add(bytes int64, done func()) *storeLoad {
	s.advance()
	l := &storeLoad{float64(bytes), done}
	s.loads = append(s.loads, l)
	s.maxLoads = max(s.maxLoads, len(s.loads))
	s.schedule()
	return l
}

// cancel removes a load whose endpoint died, without calling its done.
func (s *store) cancel(l *storeLoad) {
	s.advance()
	for i := range s.loads {
		if s.loads[i] == l {
			s.loads = append(s.loads[:i], s.loads[i+1:]...)
			break
		}
	}
	s.schedule()
}

// setSlowdown makes every load f times slower from now on.
func (s *store) setSlowdown(f float64) {
	s.advance()
	s.slowdown = f
	s.schedule()
}

// rate returns the current speed of each load, in bytes a second.
func (s *store) rate() float64 {
	r := s.speed / max(s.slowdown, 1)
	if n := len(s.loads); n > s.concurrent {
		r *= float64(s.concurrent) / float64(n)
	}
	return r
}

func (s *store) advance() {
	d := s.clock.now.Sub(s.last).Seconds()
	s.last = s.clock.now
	for _, l := range s.loads {
		l.left -= d * s.rate()
	}
}

// schedule schedules the end of the load that ends first.
func (s *store) schedule() {
	s.version++
	v := s.version
	if len(s.loads) == 0 {
		return
	}
	minLeft := s.loads[0].left
	for _, l := range s.loads {
		minLeft = min(minLeft, l.left)
	}
	s.clock.after(seconds(max(minLeft, 0)/s.rate())+time.Microsecond, func() {
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
