package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

const (
	// MaxFrame is the largest message in bytes. Snapshots of the control
	// state are the largest ones.
	MaxFrame     = 256 << 20
	frameHeader  = 4
	writeTimeout = 2 * time.Second // a connection whose peer reads nothing for this long is closed
	// writeWindows is into how many parts a write divides its timeout. A time in which this process
	// was suspended, however long, takes up one of them.
	writeWindows = 4
	bufferSize   = 4 << 10
	// chunkSize is how much of a frame is written under one write timeout or, on TLS, a few. On a slow
	// link a snapshot of the control state takes longer than the timeout although the
	// peer keeps reading; one timeout for the whole frame would close the connection
	// and repeat the transfer without end.
	chunkSize = 64 << 10
	// sendBuffer bounds the data that the kernel holds written but undelivered. Under
	// the kernel's own bound of 4 MB a large message counts as sent while its receiver
	// still needs seconds to read it: a probe queued behind it counts as unanswered, and
	// heartbeats of the other connection queue behind it on the link. At a round trip
	// of 10 ms this buffer still allows 12 MB/s.
	sendBuffer = 128 << 10

	// notificationFlag is set in the length of a frame that holds a notification.
	// Notifications carry the parts of answers, one per token: they are encoded and
	// decoded here, which avoids the library's two passes over every message.
	notificationFlag   = 1 << 31
	notificationPrefix = `{"jsonrpc":"2.0","method":"`
	notificationInfix  = `","params":`
)

var errNotification = errors.New("frame marked as a notification is malformed")

// stream is a jsonrpc2.ObjectStream of length-prefixed JSON.
type stream struct {
	conn           net.Conn
	r              *bufio.Reader
	count          *ByteCounter
	openedAt       time.Time    // when the stream was created, with a monotonic clock reading
	lastReceived   atomic.Int64 // nanoseconds from openedAt to the last frame received
	lastChunk      atomic.Int64 // nanoseconds from openedAt to the last chunk written of a frame with several
	onNotification func(method string, params json.RawMessage)
	client         *clients.Client // the peer, where it connected to this process; nil otherwise
	provesItself   bool            // by its first whole frame, as it does not authenticate itself

	mu sync.Mutex
	w  *bufio.Writer
}

// ByteCounter counts the bytes received and sent on all connections that share it.
type ByteCounter struct {
	In, Out atomic.Int64
}

// boundSends bounds the send buffer of a connection and the time of its writes. If the first fails, the
// kernel's bound applies.
func boundSends(c net.Conn) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBuffer)
	}
	return steadyConn{c}
}

// steadyConn is a connection whose writes time out by the time in which this process ran.
type steadyConn struct{ net.Conn }

// Write writes p within writeTimeout.
func (c steadyConn) Write(p []byte) (written int, err error) {
	for range writeWindows {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout / writeWindows)); err != nil {
			return written, err
		}
		var n int
		n, err = c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
	return written, err
}

func newStream(c net.Conn, count *ByteCounter) *stream {
	return &stream{conn: c, r: bufio.NewReaderSize(c, bufferSize), w: bufio.NewWriterSize(c, bufferSize), count: count, openedAt: time.Now()}
}

// WriteObject writes one message.
func (s *stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeFrame(0, body)
}

// writeNotification writes one notification.
func (s *stream) writeNotification(method string, params any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return err
	}
	msg := make([]byte, 0, len(notificationPrefix)+len(method)+len(notificationInfix)+len(body)+1)
	msg = append(msg, notificationPrefix...)
	msg = append(msg, method...)
	msg = append(msg, notificationInfix...)
	msg = append(msg, body...)
	return s.writeFrame(notificationFlag, append(msg, '}'))
}

// dispatchNotification decodes a message of writeNotification and calls the handler.
func (s *stream) dispatchNotification(body []byte) error {
	rest, ok := bytes.CutPrefix(body, []byte(notificationPrefix))
	method, params, found := bytes.Cut(rest, []byte(notificationInfix))
	if !ok || !found || !bytes.HasSuffix(params, []byte{'}'}) {
		return errNotification
	}
	s.onNotification(string(method), json.RawMessage(params[:len(params)-1]))
	return nil
}

func (s *stream) writeFrame(flags uint32, body []byte) error {
	if len(body) > MaxFrame {
		return fmt.Errorf("message of %d bytes; at most %d are sent", len(body), MaxFrame)
	}
	var head [frameHeader]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(body))|flags)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.w.Write(head[:]); err != nil {
		return err
	}
	for rest := body; ; {
		n := min(chunkSize, len(rest))
		if err := s.writeChunk(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		if len(body) > chunkSize {
			s.lastChunk.Store(int64(time.Since(s.openedAt)))
		}
		if len(rest) == 0 {
			break
		}
	}
	s.count.Out.Add(int64(len(body) + frameHeader))
	return nil
}

// writeChunk writes a part of a frame and flushes the buffer.
func (s *stream) writeChunk(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.w.Flush()
}

// ReadObject reads the next message that is not a notification. Notifications
// before it are handled in the order of arrival.
func (s *stream) ReadObject(v any) error {
	for {
		body, notification, err := s.readFrame(MaxFrame)
		if err != nil {
			return err
		}
		if !notification {
			return json.Unmarshal(body, v)
		}
		if err := s.dispatchNotification(body); err != nil {
			return err
		}
	}
}

// readFrame reads one frame of at most limit bytes and reports whether it is marked
// as a notification.
func (s *stream) readFrame(limit int) (body []byte, notification bool, err error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return nil, false, err
	}
	length := binary.BigEndian.Uint32(head[:])
	n := int(length &^ notificationFlag)
	if n > limit {
		return nil, false, fmt.Errorf("message of %d bytes announced; at most %d are read", n, limit)
	}
	body, err = s.readBody(int64(n))
	if err != nil {
		return nil, false, err
	}
	s.count.In.Add(int64(n + frameHeader))
	s.lastReceived.Store(int64(time.Since(s.openedAt)))
	return body, length&notificationFlag != 0, nil
}

// firstBuffer is the first size of the buffer for a frame: it grows as the frame arrives, since anyone may
// announce one.
const firstBuffer = 64 << 10

// readBody reads a frame of n bytes. While a large one arrives it counts as held for the peer, which may be
// refused meanwhile.
func (s *stream) readBody(n int64) ([]byte, error) {
	large := n > firstBuffer
	if large || s.provesItself {
		s.client.SetState(intake.Receiving)
	}
	body, err := s.client.ReadAll(s.r, clients.Reading{Limit: n, First: min(n, firstBuffer), FromElsewhere: !large})
	if err == nil && int64(len(body)) < n {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if large || s.provesItself {
		s.provesItself = false
		s.client.SetState(intake.Serving)
		s.client.Release(int64(cap(body)))
	}
	return body, nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
