package httpserver

import (
	"errors"
	"io"
	"net/http"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
)

// ErrTooLarge means that the body of a request exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

const (
	// wholeBody is the size up to which a body of an announced length gets its memory at once.
	wholeBody = 32 << 10
	// firstBuffer is the first size of a buffer for a body of unknown length.
	firstBuffer = 512
)

// ReadBody reads the body of a request, at most limit bytes, and counts it as held until the connection's
// next request. The error is ErrTooLarge, clients.ErrCrowded if too much is held for all clients, or that of
// the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	o := clients.Reading{Limit: limit + 1, First: firstBuffer}
	if r.ContentLength > 0 {
		o.Limit, o.First = r.ContentLength, min(r.ContentLength, wholeBody)
	}
	c, counted := r.Context().Value(connKey{}).(*conn)
	var client *clients.Client
	if counted {
		client = c.client
	}
	b, err := client.ReadAll(r.Body, o)
	switch {
	case err != nil:
		return nil, err
	case int64(len(b)) > limit:
		return nil, ErrTooLarge
	case int64(len(b)) < r.ContentLength:
		return nil, io.ErrUnexpectedEOF
	}
	if counted && !c.arrived() {
		return nil, clients.ErrCrowded
	}
	return b, nil
}

// Reserve counts n more bytes as held for a request until its connection's next one; false if the request
// is to be refused.
func Reserve(r *http.Request, n int64) bool {
	c, counted := r.Context().Value(connKey{}).(*conn)
	return !counted || c.client.Reserve(n)
}

// Release counts n bytes of Reserve as no longer held.
func Release(r *http.Request, n int64) {
	if c, counted := r.Context().Value(connKey{}).(*conn); counted {
		c.client.Release(n)
	}
}
