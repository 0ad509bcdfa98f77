package stream

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against answers with missing, duplicate or misplaced bytes: parts are
// lost, repeated, truncated and resent from any offset, and none may pass the
// offset check wrongly.
func TestEveryByteArrivesOnceAndInOrder(t *testing.T) {
	for seed := range 300 {
		r := rand.New(rand.NewPCG(uint64(seed), 4))
		want := make([]byte, 2000)
		for i := range want {
			want[i] = byte(r.IntN(256))
		}
		s, recv := NewSender(256), &Receiver{}
		var got []byte
		written, sent := 0, int64(0)
		for !recv.Complete(int64(len(want))) {
			if n := min(s.Free(), len(want)-written, 1+r.IntN(100)); n > 0 {
				s.Write(want[written : written+n])
				written += n
			}
			if len(s.buf) > 256 {
				t.Fatalf("seed %d: %d bytes held", seed, len(s.buf))
			}
			part, ok := s.From(sent, 1+r.IntN(120))
			if !ok {
				t.Fatalf("seed %d: offset %d is not held", seed, sent)
			}
			offset := sent
			sent += int64(len(part))
			switch r.IntN(5) {
			case 0: // lost, so the next part leaves a gap
			default:
				fresh, err := recv.Accept(offset, part)
				if errors.Is(err, ErrGap) {
					sent = recv.Next()
					continue
				}
				got = append(got, fresh...)
			}
			if r.IntN(3) == 0 {
				s.Ack(recv.Next())
			}
			if r.IntN(6) == 0 || sent == s.End() {
				sent = recv.Next() // resume on another connection
			}
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("seed %d: the answer differs", seed)
		}
	}
}

func TestSenderRefusesWhatItNoLongerHolds(t *testing.T) {
	is := is.New(t)
	s := NewSender(10)
	s.Write([]byte("0123456789"))
	is.Equal(s.Free(), 0)
	s.Ack(4)
	is.Equal(s.Free(), 4)
	_, ok := s.From(3, 10)
	is.True(!ok)
	b, ok := s.From(4, 3)
	is.True(ok)
	is.Equal(string(b), "456")
}
