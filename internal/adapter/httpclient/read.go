package httpclient

import (
	"errors"
	"io"
)

// ErrTooLarge means that a body is larger than its reader allows.
var ErrTooLarge = errors.New("the answer is too large")

// ReadAll reads a body of at most limit bytes. A larger one is an error: the start of it may be a whole document.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if int64(len(b)) > limit {
		return nil, ErrTooLarge
	}
	return b, err
}
