// Package stream holds the two ends of an answer on its way from an agent to
// an entry: a send buffer that keeps what the other end has not confirmed, and
// a receiver that takes every byte once and in order.
//
// Together they let an answer go on over a new connection after the old one
// went silent, without losing, repeating or crossing a byte, and they bound the
// memory that a slow reader can hold.
package stream

import "errors"

// Sender buffers an answer from the first unconfirmed byte on.
type Sender struct {
	base   int64 // offset of buf[0]
	buf    []byte
	window int
	done   bool
}

// NewSender returns a Sender that holds at most window unconfirmed bytes.
func NewSender(window int) *Sender { return &Sender{window: window} }

// Room returns how many bytes may be written now. The producer stops reading
// its source at zero, so a slow reader slows the source instead of filling
// memory.
func (s *Sender) Room() int { return max(0, s.window-len(s.buf)) }

// Write appends bytes; the caller has checked Room.
func (s *Sender) Write(p []byte) { s.buf = append(s.buf, p...) }

// End returns the offset after the last byte written.
func (s *Sender) End() int64 { return s.base + int64(len(s.buf)) }

// Close marks the answer as complete.
func (s *Sender) Close() { s.done = true }

// Done reports whether the answer is complete.
func (s *Sender) Done() bool { return s.done }

// Ack drops the bytes below offset, which the reader holds.
func (s *Sender) Ack(offset int64) {
	n := min(offset, s.End()) - s.base
	if n <= 0 {
		return
	}
	s.base += n
	rest := copy(s.buf, s.buf[n:])
	s.buf = s.buf[:rest]
}

// From returns a copy of at most limit bytes from offset on. The second result
// is false if they are no longer held.
func (s *Sender) From(offset int64, limit int) ([]byte, bool) {
	if offset < s.base || offset > s.End() {
		return nil, false
	}
	part := s.buf[offset-s.base:]
	return append([]byte(nil), part[:min(len(part), limit)]...), true
}

// Receiver checks arriving parts.
type Receiver struct {
	next int64
}

// ErrGap tells that a part does not follow what was received: some bytes are
// missing, and the answer must be resumed from Next.
var ErrGap = errors.New("a part of the answer is missing")

// Next returns the offset of the first byte not yet received.
func (r *Receiver) Next() int64 { return r.next }

// Accept returns the new bytes of a part that starts at offset: everything, the
// tail of a part that was partly received before, or nothing for a duplicate.
func (r *Receiver) Accept(offset int64, p []byte) ([]byte, error) {
	if offset > r.next {
		return nil, ErrGap
	}
	skip := r.next - offset
	if skip >= int64(len(p)) {
		return nil, nil
	}
	r.next += int64(len(p)) - skip
	return p[skip:], nil
}

// Whole reports whether an answer of the given total length was received.
func (r *Receiver) Whole(total int64) bool { return r.next == total }
