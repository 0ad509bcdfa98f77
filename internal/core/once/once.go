// Package once tells whether a request that may run at most once may have run somewhere.
//
// At most one run, and no refusal of what ran: a send counts as a run from before its first byte is
// written until its endpoint states that it did not run the request. Only a Word takes a send back, and
// only an answer to this very send makes one. What is forgotten, cut short or cancelled leaves the request
// in doubt, and a request in doubt is neither sent again nor refused with the promise that it has not run.
package once

// Statement is what an answer says, and how it came.
type Statement struct {
	Request string // id of the request that was sent
	Answers string // id of the request that the answer names
	NotRun  bool   // the answer states that the request did not run
	// Sends is how often the id was sent on the connection that the answer came on. After a second send the
	// answers cannot be told apart: endpoints may repeat one late.
	Sends int
}

// Word is an endpoint's own word that it did not run a request for one send. The zero value is none.
type Word struct{ notRun bool }

// Read returns the word that an answer gives.
func Read(s Statement) Word {
	return Word{s.NotRun && s.Request != "" && s.Answers == s.Request && s.Sends == 1}
}

// NotRun reports whether there is a word.
func (w Word) NotRun() bool { return w.notRun }

// Sends is the record of the sends of one request to endpoints that E names. The zero value is empty. It
// is not safe for concurrent use.
type Sends[E comparable] struct {
	written  int
	doubtful map[E]int // sends by endpoint that it has not taken back
}

// Writing records a send. It is called before the first byte is written.
func (s *Sends[E]) Writing(e E) {
	if s.doubtful == nil {
		s.doubtful = map[E]int{}
	}
	s.written++
	s.doubtful[e]++
}

// Settle ends the newest send to an endpoint: with its word the request did not run for that send.
func (s *Sends[E]) Settle(e E, w Word) {
	if !w.notRun || s.doubtful[e] == 0 {
		return
	}
	if s.doubtful[e]--; s.doubtful[e] == 0 {
		delete(s.doubtful, e)
	}
}

// Written returns the number of sends.
func (s *Sends[E]) Written() int { return s.written }

// Endpoints returns the number of endpoints at which the request may have run.
func (s *Sends[E]) Endpoints() int { return len(s.doubtful) }

// MayHaveRun reports whether the request may have run.
func (s *Sends[E]) MayHaveRun() bool { return len(s.doubtful) > 0 }
