// Package ending decides whether an answer of an endpoint has ended whole.
//
// A body that has neither a length nor chunks ends with its connection, and a process that crashes
// closes its connections in the same orderly way. So the end of the connection by itself proves
// nothing: what is left is what the bytes say (an end mark, an unfinished event) and what is known of
// the process that answered. Every reader of a body uses Judge, and none makes a claim to its own
// caller that goes beyond the verdict.
package ending

// Verdict is what is known of the end of an answer. Its names are written to logs.
type Verdict uint8

// The verdicts.
const (
	Whole     Verdict = iota + 1 // the endpoint sent all of it
	BrokenOff                    // a part is missing
	Unknown                      // nothing tells
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	switch v {
	case Whole:
		return "whole"
	case BrokenOff:
		return "broken_off"
	}
	return "unknown"
}

// Content is what the bytes of a body say of its end.
type Content uint8

// The contents.
const (
	Opaque     Content = iota // nothing
	Finished                  // they end with an end mark, or are one whole document
	Unfinished                // they end within an event or a document, or an end mark is missing
)

// Process is what is known of the process that answered, after the end of its answer.
type Process uint8

// The states of a process.
const (
	NotChecked Process = iota
	Alive              // the same start still accepts connections
	Gone               // its host is up, and nothing listens there any more
)

// Answer is what a reader observed of an answer.
type Answer struct {
	Failed  bool    // reading failed: a reset, a cut chunk, fewer bytes than the length
	Framed  bool    // a length or a last chunk has shown the end
	Content Content // what the bytes say
	Process Process
	Leaving bool // the endpoint leaves as planned, and may end once its answers are sent
	// OthersBroke is set if other answers of the same endpoint broke off in the same moment. It
	// counts where the process could not be checked.
	OthersBroke bool
}

// NeedsCheck reports whether the verdict depends on the process that answered.
func (a Answer) NeedsCheck() bool {
	return !a.Failed && !a.Framed && a.Content == Opaque && !a.Leaving && a.Process == NotChecked
}

// Judge returns the verdict on an answer. A process that lives on has not proved its answer whole:
// faulty endpoints break off single answers.
func Judge(a Answer) Verdict {
	switch {
	case a.Failed, a.Content == Unfinished:
		return BrokenOff
	case a.Framed, a.Content == Finished:
		return Whole
	case a.Leaving:
		return Unknown
	case a.Process == Gone, a.Process == NotChecked && a.OthersBroke:
		return BrokenOff
	}
	return Unknown
}
