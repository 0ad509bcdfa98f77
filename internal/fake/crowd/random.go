package crowd

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// SendRandomly sends a request whole or in part, sometimes twice, reads the answer or not, and closes the
// connection within a quarter of a second. head is a request line with the fields that the request needs.
func SendRandomly(r *rand.Rand, addr, head string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Duration(20+r.IntN(200)) * time.Millisecond))
	size := r.IntN(1 << (8 + r.IntN(12)))
	head += strings.Repeat("a:b\r\n", r.IntN(500))
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, strings.Repeat("y", size))
	if r.IntN(2) == 0 {
		text = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, size, strings.Repeat("y", size))
	}
	if r.IntN(3) == 0 {
		text = text[:r.IntN(len(text))]
	}
	if r.IntN(4) == 0 {
		text += text
	}
	if _, err := io.WriteString(c, text); err == nil && r.IntN(3) > 0 {
		_, _ = io.Copy(io.Discard, c)
	}
}
