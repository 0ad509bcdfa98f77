package http1

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// ErrNotWritten means that a response ended with its connection before the request was written: nothing
// tells whether the endpoint ended the response or broke it off.
var ErrNotWritten = errors.New("the connection ended before the request was written")

// errWriting is the result of a write that has not ended.
var errWriting = errors.New("the request is being written")

const (
	// writePiece is the size in bytes of the pieces in which a large request is written.
	writePiece = 64 << 10
	// writeStall is how long a write that makes no progress is waited for after the response has ended.
	writeStall = time.Second
)

// requestWrite is the write of a request. Without a call of reset it has ended.
type requestWrite struct {
	done    chan struct{} // closed when err is valid
	err     error
	written atomic.Int64 // bytes
}

// reset prepares the write of another request, after the last one has ended.
func (w *requestWrite) reset() {
	w.done, w.err = make(chan struct{}), nil
	w.written.Store(0)
}

// run writes b in pieces.
func (w *requestWrite) run(to io.Writer, b []byte) {
	defer close(w.done)
	for len(b) > 0 && w.err == nil {
		var n int
		n, w.err = to.Write(b[:min(len(b), writePiece)])
		w.written.Add(int64(n))
		b = b[n:]
	}
}

// result returns how the write ended, errWriting if it has not.
func (w *requestWrite) result() error {
	if w.done == nil {
		return nil
	}
	select {
	case <-w.done:
		return w.err
	default:
		return errWriting
	}
}

// await waits for the end of the write as long as the endpoint goes on reading, and returns its result.
func (w *requestWrite) await() error {
	for {
		before := w.written.Load()
		if err := w.result(); !errors.Is(err, errWriting) {
			return err
		}
		stalled := time.NewTimer(writeStall)
		select {
		case <-w.done:
		case <-stalled.C:
			if w.written.Load() == before {
				return errWriting
			}
		}
		stalled.Stop()
	}
}
