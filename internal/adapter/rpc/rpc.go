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

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/adapter/sockets"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

// Security configures how connections are protected. Key may be empty only if the
// operator chose an insecure deployment or if TLS verifies clients.
type Security struct {
	Key    []byte
	Server *tls.Config // nil for plain TCP
	Client *tls.Config
	// Limits bound what all processes that connect may hold together; the zero value means those of a
	// process whose memory is not known.
	Limits intake.Limits
}

// Handler handles calls and notifications of the peer. The result of a
// notification is ignored.
type Handler func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)

// Conn is one connection to another process of the system.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	handle Handler
	ready  chan struct{} // closed when rpc is set
}

// JSON-RPC error codes of calls that the peer refused.
const (
	codeFailed    = -32000
	codeNotLeader = -32001
)

// ErrNotLeader is returned by handlers, and by Call at the peer, for a call that
// only the leader of a control group carries out. The call had no effect.
var ErrNotLeader = errors.New("the control host does not lead")

// errorCode returns the JSON-RPC error code that is sent for err.
func errorCode(err error) int64 {
	if errors.Is(err, ErrNotLeader) {
		return codeNotLeader
	}
	return codeFailed
}

// Handle implements jsonrpc2.Handler. It receives calls only; notifications are
// handled by the stream.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	// The library may read the first message before its constructor returns.
	<-c.ready
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	go func() {
		res, err := c.handle(ctx, c, req.Method, params)
		if err != nil {
			_ = c.rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: errorCode(err), Message: err.Error()})
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

// handleNotification handles a notification before any later message is read: parts of
// an answer and changes of the state depend on the ones before them.
func (c *Conn) handleNotification(method string, params json.RawMessage) {
	<-c.ready
	_, _ = c.handle(context.Background(), c, method, params)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// Closed returns a channel that is closed when the connection is.
func (c *Conn) Closed() <-chan struct{} { return c.rpc.DisconnectNotify() }

// LastReceived returns when the last message arrived, measured on the monotonic clock.
// By the wall clock, a clock step would make a connection look silent, or would
// keep a silent one from being probed until the clock has caught up.
func (c *Conn) LastReceived() time.Time {
	return c.stream.openedAt.Add(time.Duration(c.stream.lastReceived.Load()))
}

// SentChunkSince reports whether a chunk of a message too large for one write was written
// after since. Messages sent after that one, probes included, wait for it.
func (c *Conn) SentChunkSince(since time.Time) bool {
	return c.stream.openedAt.Add(time.Duration(c.stream.lastChunk.Load())).After(since)
}

// Remote returns the peer's address.
func (c *Conn) Remote() string { return c.stream.conn.RemoteAddr().String() }

// IsRemoteError reports whether err is an error response of the peer rather than a failed
// connection.
func IsRemoteError(err error) bool {
	var e *jsonrpc2.Error
	return errors.As(err, &e)
}

func start(ctx context.Context, s *stream, h Handler) *Conn {
	c := &Conn{stream: s, handle: h, ready: make(chan struct{})}
	s.onNotification = c.handleNotification
	c.rpc = jsonrpc2.NewConn(ctx, s, c, jsonrpc2.SetLogger(discardLogger{}))
	close(c.ready)
	return c
}

// discardLogger drops the library's log lines; the callers of this package log the
// events that matter.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

const dialTimeout = 2 * time.Second

// Dial connects to addr, an IP address and port.
func Dial(ctx context.Context, addr string, sec Security, count *ByteCounter, h Handler) (*Conn, error) {
	dialer := sockets.Dialer(dialTimeout)
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, oops.With("addr", addr).Wrapf(err, "connect")
	}
	nc = boundSends(nc)
	if sec.Client != nil {
		nc = tls.Client(nc, sec.Client)
	}
	s := newStream(nc, count)
	if len(sec.Key) > 0 {
		timeout := handshakeTimeout
		if deadline, ok := ctx.Deadline(); ok {
			timeout = min(timeout, time.Until(deadline))
		}
		if err := authenticateClient(s, sec.Key, timeout); err != nil {
			nc.Close()
			return nil, oops.With("addr", addr).Wrapf(err, "authenticate")
		}
	}
	return start(context.Background(), s, h), nil
}

// Server accepts connections from other processes.
type Server struct {
	listener      net.Listener
	sec           Security
	count         *ByteCounter
	handle        Handler
	onClose       func(*Conn)
	onAuthFailure func(remote string, err error)
	clients       *clients.Registry

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen starts a Server on addr. onClose is called after a connection has closed,
// onAuthFailure for one that failed to authenticate; both may be nil.
func Listen(addr string, sec Security, count *ByteCounter, h Handler, onClose func(*Conn), onAuthFailure func(string, error)) (*Server, error) {
	lc := sockets.ListenConfig()
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, oops.With("addr", addr).Wrapf(err, "listen")
	}
	if sec.Limits == (intake.Limits{}) {
		sec.Limits = intake.LimitsOf(0, 0)
	}
	s := &Server{listener: l, clients: clients.New(sec.Limits), sec: sec, count: count, handle: h, onClose: onClose, onAuthFailure: onAuthFailure, conns: map[*Conn]struct{}{}}
	s.clients.RegisterMetrics(httpserver.Metrics, s.Addr())
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	clients.UnregisterMetrics(httpserver.Metrics, s.Addr())
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
			time.Sleep(10 * time.Millisecond) // out of file descriptors; retry once other connections have closed
			continue
		}
		client := s.clients.Open(func() { _ = nc.Close() })
		if client == nil {
			_ = nc.Close()
			continue
		}
		go s.serve(nc, client)
	}
}

func (s *Server) serve(nc net.Conn, client *clients.Client) {
	defer client.Close()
	nc = boundSends(nc)
	if s.sec.Server != nil {
		nc = tls.Server(nc, s.sec.Server)
	}
	st := newStream(nc, s.count)
	st.client, st.provesItself = client, len(s.sec.Key) == 0
	if len(s.sec.Key) > 0 {
		if err := authenticateServer(st, s.sec.Key); err != nil {
			nc.Close()
			if s.onAuthFailure != nil && !errors.Is(err, io.EOF) {
				s.onAuthFailure(nc.RemoteAddr().String(), err)
			}
			return
		}
	}
	if !st.provesItself {
		client.SetState(intake.Serving)
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
	if s.onClose != nil {
		s.onClose(c)
	}
}
