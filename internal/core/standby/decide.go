package standby

import "time"

// Source is what is known of the endpoint that ran a request whose stream broke off or fell silent.
type Source uint8

// The states of a source.
const (
	Alive       Source = iota // it accepts connections
	Ended                     // its process has ended
	Unreachable               // no connection to it comes about
)

// Move is the result of asking the source to stop the run and hand its memory to another endpoint.
type Move uint8

// The results of a move.
const (
	NotAsked   Move = iota
	Moved           // the run has stopped, and the target holds its memory
	Stopped         // the run has stopped, and only the source holds its memory
	NoRun           // the source does not run it: it never began, or is over
	NotStopped      // the source answered without stopping the run: another move is in progress, or it cannot
	Unanswered      // the source took the question and answers nothing at all, whoever asks what
	Unreached       // no connection came about, twice, or a later process has the address
)

// Break is the state of a stream that broke off or fell silent.
type Break struct {
	Source Source
	Move   Move
	// Silent is set while the connection to the source is still open, without events.
	Silent bool
	// Copy is set if an endpoint that can take the run holds a copy of its memory.
	Copy bool
	// CanMove is set if the source can be asked to move the run and a target is known.
	CanMove bool
	// AnotherAllowed is set if the route's number of endpoints allows another one beside a source that
	// lives on. Sources that ended or cannot be reached do not count.
	AnotherAllowed bool
	// MayRepeat is set if the route allows another run.
	MayRepeat bool
	// Left is the time until the caller's limit.
	Left time.Duration
}

// Action is what to do with such a stream. Its names are written to logs.
type Action uint8

// The actions.
const (
	EndCut          Action = iota // the stream ends here, incomplete
	GoOnFromCopy                  // the run goes on at the holder of its copy
	MoveThenGoOn                  // the source is asked to stop and hand over the run
	GoOnAtTarget                  // the run goes on at the endpoint that it was moved to
	GoOnAtSource                  // the run goes on at the source, which has stopped it
	ResumeElsewhere               // another run goes on after the last event, or begins
	KeepWaiting                   // nothing: the run may not have begun
)

// String implements fmt.Stringer.
func (a Action) String() string {
	return [...]string{"end_cut", "go_on_from_copy", "move_then_go_on", "go_on_at_target", "go_on_at_source", "resume_elsewhere", "keep_waiting"}[a]
}

// MinLeft is the time that a run needs at least to bring another event from elsewhere: a connection, the
// rest of its memory and one step.
const MinLeft = 50 * time.Millisecond

// Decide returns what to do next. After MoveThenGoOn it is asked again with the result in Move.
//
// At most one run: the run goes on elsewhere only if its source certainly does not work on it any more,
// or cannot be reached from here. A source that has ended works on nothing. One that answers a move has
// stopped the run or does not have it. One that answers nothing at all has gone dark: it brings nothing to
// anybody, and stops the run as soon as it reads the question. One that leaves only this question without
// an answer, or answers otherwise, may still work on the run: the stream waits, or ends if it broke off.
func Decide(b Break) Action {
	switch {
	case b.Left < MinLeft:
		return EndCut
	case b.Source != Alive, b.Move == Unreached, b.Move == Unanswered:
		if b.Copy {
			return GoOnFromCopy
		}
		if b.Silent && b.Source != Ended && !b.MayRepeat {
			return KeepWaiting
		}
		return b.withoutCopy()
	case b.Move == Moved && b.AnotherAllowed:
		return GoOnAtTarget
	case b.Move == Moved, b.Move == Stopped:
		return GoOnAtSource
	case b.Move == NoRun && b.Silent:
		return KeepWaiting
	case b.Move == NoRun && b.Copy && b.AnotherAllowed:
		return GoOnFromCopy
	case b.Move == NotAsked && b.CanMove && (b.Silent || !b.MayRepeat):
		return MoveThenGoOn
	case b.Silent:
		return KeepWaiting
	}
	return b.withoutCopy()
}

func (b Break) withoutCopy() Action {
	if b.MayRepeat {
		return ResumeElsewhere
	}
	return EndCut
}
