package clients

import (
	"errors"
	"io"
)

// ErrCrowded means that a client is refused because memory runs short for what all clients hold. Nothing
// that it asked for has run.
var ErrCrowded = errors.New("too much is held for clients")

const (
	// uncounted is the size of a buffer up to which what a request takes at least includes it.
	uncounted = 4 << 10
	// progressBytes is how much arrives at most before it counts as progress: chunks may hold a byte.
	progressBytes = 4 << 10
)

// Reading says how ReadAll reads.
type Reading struct {
	Limit int64 // largest size of the buffer, in bytes; what lies beyond is not read
	First int64 // first size of the buffer
	// Blocks reports whether the next read waits for the client; nil if each does.
	Blocks func() bool
	// FromElsewhere is set where the bytes come from another source than the client: it makes no progress.
	FromElsewhere bool
}

// ReadAll reads r to its end or its limit, into a buffer that grows as bytes arrive and counts as held for
// the client. The error is ErrCrowded if the client is refused; what was read so far is returned with each
// error.
func (c *Client) ReadAll(r io.Reader, o Reading) ([]byte, error) {
	b, err := c.grow(nil, o.First)
	moved := 0
	for err == nil && int64(len(b)) < o.Limit {
		if len(b) == cap(b) {
			var next []byte
			if next, err = c.grow(b, min(2*int64(cap(b)), o.Limit)); err != nil {
				break
			}
			b = next
		}
		var n int
		n, err = r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if moved += n; !o.FromElsewhere && (moved >= progressBytes || o.Blocks == nil || o.Blocks()) {
			c.Progress(moved)
			moved = 0
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if err != nil && c.Evicted() {
		err = ErrCrowded
	}
	return b, err
}

// grow returns a buffer of a size with the content of b. While it is copied, both are held.
func (c *Client) grow(b []byte, size int64) ([]byte, error) {
	if size > uncounted && !c.Reserve(size) {
		return nil, ErrCrowded
	}
	next := append(make([]byte, 0, size), b...)
	if cap(b) > uncounted {
		c.Release(int64(cap(b)))
	}
	return next, nil
}
