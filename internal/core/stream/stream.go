// Package stream implements both ends of an answer streamed from an agent to an
// entry: a send buffer that holds all bytes not yet acknowledged, and a receiver
// that accepts every byte once and in order.
//
// Together they let an answer resume over a new connection after the old one has
// become silent, without losing, duplicating or mixing up bytes, and they limit
// the memory that a slow reader can occupy.
package stream

import "errors"

// Sender buffers an answer from its first unacknowledged byte on.
type Sender struct {
	base   int64 // offset of buf[0]
	buf    []byte
	window int
	done   bool
}

// NewSender returns a Sender that holds at most window unacknowledged bytes.
func NewSender(window int) *Sender { return &Sender{window: window} }

// Free returns the number of bytes that may be written now. At zero, the producer
// stops reading its source, so a slow reader slows the source down instead of
// filling memory.
func (s *Sender) Free() int { return max(0, s.window-len(s.buf)) }

// Write appends p, which must not be longer than Free. Write does not check this.
func (s *Sender) Write(p []byte) { s.buf = append(s.buf, p...) }

// End returns the offset after the last byte written.
func (s *Sender) End() int64 { return s.base + int64(len(s.buf)) }

// Close marks the answer as complete.
func (s *Sender) Close() { s.done = true }

// Done reports whether the answer is complete.
func (s *Sender) Done() bool { return s.done }

// Ack drops the bytes before offset, which the receiver has acknowledged.
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
// is false if offset is outside the bytes held.
func (s *Sender) From(offset int64, limit int) ([]byte, bool) {
	if offset < s.base || offset > s.End() {
		return nil, false
	}
	part := s.buf[offset-s.base:]
	return append([]byte(nil), part[:min(len(part), limit)]...), true
}

// Receiver checks the offsets of arriving parts.
type Receiver struct {
	next int64
}

// ErrGap is returned for a part that starts after Next: bytes are missing, and the
// answer must be resumed from Next.
var ErrGap = errors.New("a part of the answer is missing")

// Next returns the offset of the first byte not yet received.
func (r *Receiver) Next() int64 { return r.next }

// Accept returns the new bytes of a part that starts at offset: all of it, the tail
// if it was partly received before, or nothing if it is a duplicate. It returns
// ErrGap if bytes before offset are missing.
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

// Complete reports whether the whole of an answer with the given length was received.
func (r *Receiver) Complete(total int64) bool { return r.next == total }
