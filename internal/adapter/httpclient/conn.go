package httpclient

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/cassiapass/cassiapass/internal/adapter/http1"
)

// maxLine bounds a line of a head, in bytes. The transport bounds the head.
const maxLine = 64 << 10

// conn is a connection to a server. It checks the heads that arrive, and remembers whether a write has
// failed: of a reset the system tells whichever of reader and writer asks first.
type conn struct {
	net.Conn

	mu    sync.Mutex
	head  *http1.HeadCheck // of the head that is expected or arrives; nil for none
	line  []byte           // start of a line that has not arrived whole
	fault error            // why the answer is malformed

	writing sync.RWMutex // held while a write is under way
	failed  error        // of the first failed write
}

// checkedDial returns a dial function whose connections are checked. A nil dial is that of net.Dialer.
func checkedDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
}

// unwrap returns the checked connection under nc, nil if there is none.
func unwrap(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }: // TLS
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// expectHead records that the next bytes are the head of an answer.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.line = &http1.HeadCheck{}, nil
}

// Read implements net.Conn. Of a malformed head it returns only the lines before the malformed one.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	fault := c.fault
	c.mu.Unlock()
	if fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if valid, fault := c.check(p[:n]); fault != nil {
		c.fault = fmt.Errorf("%w: %w", ErrMalformed, fault)
		if valid == 0 {
			return 0, c.fault
		}
		return valid, nil
	}
	return n, err
}

// check checks bytes that have arrived as part of heads, and returns how many of them come before a fault.
func (c *conn) check(b []byte) (int, error) {
	total := 0
	for c.head != nil && len(b) > 0 {
		held := len(c.line)
		text := b
		if held > 0 {
			c.line = append(c.line, b...)
			text = c.line
		}
		n, err := c.head.Lines(text)
		if err != nil {
			return total + max(0, n-held), err
		}
		if !c.head.Done() {
			if c.line = append([]byte(nil), text[n:]...); len(c.line) > maxLine {
				return total, fmt.Errorf("a line has more than %d bytes", maxLine)
			}
			return total + len(b), nil
		}
		total, b, c.line = total+n-held, b[n-held:], nil
		if c.head.Informational() {
			c.head = &http1.HeadCheck{}
		} else {
			c.head = nil
		}
	}
	return total + len(b), nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// writeError returns the error of the first failed write. It waits for a write that is under way.
func (c *conn) writeError() error {
	c.writing.RLock()
	defer c.writing.RUnlock()
	return c.failed
}
