package http1

import (
	"io"
	"net/http"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
)

const (
	// wholeBody is the size up to which a body of an announced length gets its memory at once. That of
	// a larger one grows as the body arrives.
	wholeBody = 32 << 10
	// firstBuffer is the first size of a buffer for a body of unknown length.
	firstBuffer = 512
)

// readBody reads the whole body of a request, which must not exceed limit.
func (c *Conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	o := clients.Reading{Limit: limit + 1, First: firstBuffer, Blocks: func() bool { return c.br.Buffered() == 0 }}
	if r.ContentLength > 0 {
		o.Limit, o.First = r.ContentLength, min(r.ContentLength, wholeBody)
	}
	b, err := c.client.ReadAll(r.Body, o)
	switch {
	case err != nil:
		return nil, err
	case int64(len(b)) > limit:
		return nil, errBodyTooLarge
	case r.ContentLength > int64(len(b)):
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}

// ReadAnswer reads an endpoint's answer for the caller, at most limit bytes. With clients.ErrCrowded it
// returns what it has read so far.
func (c *Conn) ReadAnswer(r io.Reader, limit int64) ([]byte, error) {
	return c.client.ReadAll(r, clients.Reading{Limit: limit, First: firstBuffer, FromElsewhere: true})
}
