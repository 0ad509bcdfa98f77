package crowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// batchBytes is about how much a client writes at a time.
const batchBytes = 64 << 10

// Chunked returns what sends the head of a request, then chunks of one size, without the end of the body.
func Chunked(head func(n int) string, size, chunk int) func(io.Writer, int) error {
	one := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)))
	batch := bytes.Repeat(one, max(1, batchBytes/len(one)))
	return func(w io.Writer, n int) error {
		if _, err := io.WriteString(w, head(n)); err != nil {
			return err
		}
		for left := size / chunk; left > 0; {
			k := min(left, len(batch)/len(one))
			if _, err := w.Write(batch[:k*len(one)]); err != nil {
				return err
			}
			left -= k
		}
		return nil
	}
}

// Plain returns what sends the head of a request, then a piece again and again up to a size.
func Plain(head func(n int) string, piece string, size int) func(io.Writer, int) error {
	batch := []byte(strings.Repeat(piece, min(size, batchBytes)/len(piece)+1))
	return func(w io.Writer, n int) error {
		if _, err := io.WriteString(w, head(n)); err != nil {
			return err
		}
		for left := size; left > 0; left -= len(batch) {
			if _, err := w.Write(batch[:min(left, len(batch))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// SmallFields returns lines of header fields of a few bytes each, of a size in all.
func SmallFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
