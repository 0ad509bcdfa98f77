// Package crowd simulates many clients that do not keep to a process's limits, and measures what the
// process holds for them.
package crowd

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// sendTimeout bounds a connect, and the time in which a client sends all.
	sendTimeout = 20 * time.Second
	// keptOpen is how long a connection stays open until its client counts as having sent all.
	keptOpen = time.Second
	// unreadBuffer is the receive buffer of a client that does not read.
	unreadBuffer = 4 << 10
)

// Client is what one of many clients does on a connection.
type Client struct {
	Send   func(w io.Writer, n int) error // writes what client number n sends
	Unread bool                           // it reads no answer
}

// Silent is a client that sends nothing.
var Silent = Client{Send: func(io.Writer, int) error { return nil }}

// Crowd is a number of clients that keep their connections open.
type Crowd struct {
	client  Client
	over    chan struct{}
	clients sync.WaitGroup
	sending sync.WaitGroup // of clients that have not sent all yet

	mu       sync.Mutex
	answers  map[int]int
	unproven int
}

// Start starts count clients of an address. A client whose connection is closed opens another one, up to
// a number of tries.
func Start(addr string, count, tries int, client Client) *Crowd {
	c := &Crowd{client: client, over: make(chan struct{}), answers: map[int]int{}}
	c.sending.Add(count)
	for n := range count {
		c.clients.Go(func() {
			var once sync.Once
			sent := func() { once.Do(c.sending.Done) }
			defer sent()
			for try := range tries {
				if !c.connect(addr, n, try == tries-1, sent) {
					return
				}
			}
		})
	}
	return c
}

// connect plays client number n on one connection until the process closes it; false when the crowd is
// over. It calls sent when all was sent on the last connection, or on one that stays open.
func (c *Crowd) connect(addr string, n int, last bool, sent func()) bool {
	d := net.Dialer{Timeout: sendTimeout}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return c.wait(time.After(keptOpen/100), nil, sent)
	}
	defer nc.Close()
	closed := make(chan struct{})
	if c.client.Unread {
		_ = nc.(*net.TCPConn).SetReadBuffer(unreadBuffer)
	} else {
		go func() { defer close(closed); c.read(nc) }()
	}
	_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
	err = c.client.Send(nc, n)
	if last {
		sent()
	}
	if c.client.Unread && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return c.wait(nil, closed, sent)
}

// wait returns true when the connection is closed or the pause over, and false when the crowd is.
func (c *Crowd) wait(pause <-chan time.Time, closed <-chan struct{}, sent func()) bool {
	kept := time.NewTimer(keptOpen)
	defer kept.Stop()
	for {
		select {
		case <-pause:
			return true
		case <-closed:
			return true
		case <-c.over:
			return false
		case <-kept.C:
			sent()
		}
	}
}

// read records the answers on a connection until it is closed.
func (c *Crowd) read(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		c.mu.Lock()
		c.answers[r.StatusCode]++
		if r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") == "" {
			c.unproven++
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// AwaitSent waits until all clients have sent what they send; false if that takes longer than limit.
func (c *Crowd) AwaitSent(limit time.Duration) bool {
	done := make(chan struct{})
	go func() { defer close(done); c.sending.Wait() }()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Answers returns the number of answers that the clients have read, by status.
func (c *Crowd) Answers() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int, len(c.answers))
	for status, n := range c.answers {
		out[status] = n
	}
	return out
}

// Unproven returns the number of answers 503 that did not say when to retry.
func (c *Crowd) Unproven() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unproven
}

// Stop closes all connections.
func (c *Crowd) Stop() {
	c.mu.Lock()
	select {
	case <-c.over:
	default:
		close(c.over)
	}
	c.mu.Unlock()
	c.clients.Wait()
}
