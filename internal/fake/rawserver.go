package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// RawAnswer is what a RawServer does once it has read the head of a request.
type RawAnswer struct {
	Text string // sent as it stands, with ID for the request's X-Request-Id
	// Unread leaves the body of the request unread: the end of the connection is then a reset, as with Reset.
	Unread bool
	Reset  bool // the connection is reset; else it is closed
	Keep   bool // the connection is kept for the next request
}

// RawServer answers HTTP requests with bytes that need not be an answer.
type RawServer struct {
	l net.Listener
}

// NewRawServer returns a server on a free port of loopback whose requests get what answer returns.
func NewRawServer(answer func(*http.Request) RawAnswer) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c.(*net.TCPConn), answer)
		}
	}()
	return s, nil
}

// Addr returns the address of the server.
func (s *RawServer) Addr() string { return s.l.Addr().String() }

// Close ends the server.
func (s *RawServer) Close() { _ = s.l.Close() }

func serveRaw(c *net.TCPConn, answer func(*http.Request) RawAnswer) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 16) // little of a body that stays unread
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		a := answer(r)
		if !a.Unread {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(a.Text, "ID", r.Header.Get("X-Request-Id"))); err != nil || !a.Keep {
			if a.Reset {
				_ = c.SetLinger(0)
			}
			return
		}
	}
}
