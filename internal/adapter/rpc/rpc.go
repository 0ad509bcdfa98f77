package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
)

// Security tells how connections are protected. Key may be empty only when the
// operator asked for an insecure deployment or when TLS verifies clients.
type Security struct {
	Key    []byte
	Server *tls.Config // nil for plain TCP
	Client *tls.Config
}

// Handler handles what the other side sends. The result of a notification is
// ignored.
type Handler func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)

// Conn is one connection to another process of the system.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	handle Handler
	ready  chan struct{} // closed when rpc is set
}

// JSON-RPC error codes of calls that the other side refused.
const (
	codeFailed    = -32000
	codeNotLeader = -32001
)

// ErrNotLeader is returned by handlers, and by Call on the other side, for a
// call that only the leader of a control group carries out. It had no effect.
var ErrNotLeader = errors.New("the control host does not lead")

// codeOf returns the code under which an error travels.
func codeOf(err error) int64 {
	if errors.Is(err, ErrNotLeader) {
		return codeNotLeader
	}
	return codeFailed
}

// Handle implements jsonrpc2.Handler. Only calls come here.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	// The library reads the first message before its constructor returns.
	<-c.ready
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	go func() {
		res, err := c.handle(ctx, c, req.Method, params)
		if err != nil {
			_ = c.rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeOf(err), Message: err.Error()})
			return
		}
		_ = c.rpc.Reply(ctx, req.ID, res)
	}()
}

// Call sends a call and waits for its result.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) && refused.Code == codeNotLeader {
		return errors.Join(ErrNotLeader, err)
	}
	return err
}

// Notify sends a notification.
func (c *Conn) Notify(method string, params any) error {
	return c.stream.writeNotification(method, params)
}

// noted handles a notification, before anything that arrived after it: parts of
// an answer and changes of the state build on each other.
func (c *Conn) noted(method string, params json.RawMessage) {
	<-c.ready
	_, _ = c.handle(context.Background(), c, method, params)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Closed is closed when the connection is.
func (c *Conn) Closed() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Heard returns when the last message arrived. It is kept as a distance on the
// steady clock: after a step of the time of day a connection would otherwise look
// silent, or a silent one would not be probed until the clock has caught up.
func (c *Conn) Heard() time.Time {
	return c.stream.begun.Add(time.Duration(c.stream.heard.Load()))
}

// Sending reports whether part of a message too large for one write left after since.
// What is sent behind it, a probe too, waits for the message.
func (c *Conn) Sending(since time.Time) bool {
	return c.stream.begun.Add(time.Duration(c.stream.piece.Load())).After(since)
}

// Remote returns the other side's address.
func (c *Conn) Remote() string { return c.stream.conn.RemoteAddr().String() }

// Refused reports whether err is the other side's own word rather than a broken
// connection.
func Refused(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e)
}

func start(ctx context.Context, s *stream, h Handler) *Conn {
	c := &Conn{stream: s, handle: h, ready: make(chan struct{})}
	s.notes = c.noted
	c.rpc = jsonrpc2.NewConn(ctx, s, c, jsonrpc2.SetLogger(silent{}))
	close(c.ready)
	return c
}

// silent drops the library's own log lines; the roles log what matters.
type silent struct{}

// Printf implements jsonrpc2.Logger.
func (silent) Printf(string, ...any) {}

const dialTimeout = 2 * time.Second

// Dial connects to addr, an IP number and port.
func Dial(ctx context.Context, addr string, sec Security, count *Counter, h Handler) (*Conn, error) {
	dialer := sockets.Dialer(dialTimeout)
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, oops.With("addr", addr).Wrapf(err, "connect")
	}
	narrow(nc)
	if sec.Client != nil {
		nc = tls.Client(nc, sec.Client)
	}
	s := newStream(nc, count)
	if len(sec.Key) > 0 {
		within := handshakeTimeout
		if by, ok := ctx.Deadline(); ok {
			within = min(within, time.Until(by))
		}
		if err := authenticateClient(s, sec.Key, within); err != nil {
			nc.Close()
			return nil, oops.With("addr", addr).Wrapf(err, "authenticate")
		}
	}
	return start(context.Background(), s, h), nil
}

// Server accepts connections from other processes.
type Server struct {
	listener net.Listener
	sec      Security
	count    *Counter
	handle   Handler
	gone     func(*Conn)
	failed   func(remote string, err error)

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen starts a Server on addr. gone is called after a connection has closed,
// failed for one that did not authenticate; both may be nil.
func Listen(addr string, sec Security, count *Counter, h Handler, gone func(*Conn), failed func(string, error)) (*Server, error) {
	lc := sockets.ListenConfig()
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, oops.With("addr", addr).Wrapf(err, "listen")
	}
	s := &Server{listener: l, sec: sec, count: count, handle: h, gone: gone, failed: failed, conns: map[*Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // out of descriptors; others will close
			continue
		}
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	narrow(nc)
	if s.sec.Server != nil {
		nc = tls.Server(nc, s.sec.Server)
	}
	st := newStream(nc, s.count)
	if len(s.sec.Key) > 0 {
		if err := authenticateServer(st, s.sec.Key); err != nil {
			nc.Close()
			if s.failed != nil && !errors.Is(err, io.EOF) {
				s.failed(nc.RemoteAddr().String(), err)
			}
			return
		}
	}
	// The connection is registered before its first message can be handled.
	s.mu.Lock()
	c := start(context.Background(), st, s.handle)
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	<-c.Closed()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if s.gone != nil {
		s.gone(c)
	}
}
