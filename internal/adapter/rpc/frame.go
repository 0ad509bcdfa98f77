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
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxFrame is the largest message in bytes. Snapshots of the control
	// state are the largest ones.
	MaxFrame     = 256 << 20
	frameHeader  = 4
	writeTimeout = 2 * time.Second // a peer that reads nothing for so long is dialled anew
	bufferSize   = 4 << 10
	// pieceSize is how much of a frame is written under one write timeout. A snapshot
	// of the control state takes longer than that on a slow link though its reader
	// reads all the time; the connection would be closed and it would be sent anew,
	// for ever.
	pieceSize = 64 << 10
	// sendBuffer bounds what the kernel holds of what was written and not delivered.
	// With its own bound, 4 MB, a large message has left as far as its sender can tell
	// while its reader takes seconds for it: a probe behind it counts as unanswered, and
	// heartbeats of the other connection queue behind it on the link. Round trips of
	// 10 ms still allow 12 MB/s.
	sendBuffer = 128 << 10

	// notifyMark is set in the length of a frame that holds a notification.
	// Those carry the parts of answers, one per token: they are written and
	// taken apart here, without the library's two passes over every message.
	notifyMark = 1 << 31
	notifyHead = `{"jsonrpc":"2.0","method":"`
	notifyMid  = `","params":`
)

var errNotification = errors.New("a frame marked as a notification is none")

// stream is a jsonrpc2.ObjectStream of length-prefixed JSON.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	count *Counter
	begun time.Time    // with its steady clock
	heard atomic.Int64 // nanoseconds from begun to the last frame received
	piece atomic.Int64 // the same to the last piece written of a frame of several
	notes func(method string, params json.RawMessage)

	mu sync.Mutex
	w  *bufio.Writer
}

// Counter counts the bytes of all connections that share it.
type Counter struct {
	In, Out atomic.Int64
}

// narrow bounds the send buffer of a connection. Where that fails the kernel's bound holds.
func narrow(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBuffer)
	}
}

func newStream(c net.Conn, count *Counter) *stream {
	return &stream{conn: c, r: bufio.NewReaderSize(c, bufferSize), w: bufio.NewWriterSize(c, bufferSize), count: count, begun: time.Now()}
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
	msg := make([]byte, 0, len(notifyHead)+len(method)+len(notifyMid)+len(body)+1)
	msg = append(msg, notifyHead...)
	msg = append(msg, method...)
	msg = append(msg, notifyMid...)
	msg = append(msg, body...)
	return s.writeFrame(notifyMark, append(msg, '}'))
}

// takeNotification takes apart what writeNotification wrote.
func (s *stream) takeNotification(body []byte) error {
	rest, ok := bytes.CutPrefix(body, []byte(notifyHead))
	method, params, found := bytes.Cut(rest, []byte(notifyMid))
	if !ok || !found || !bytes.HasSuffix(params, []byte{'}'}) {
		return errNotification
	}
	s.notes(string(method), json.RawMessage(params[:len(params)-1]))
	return nil
}

func (s *stream) writeFrame(mark uint32, body []byte) error {
	if len(body) > MaxFrame {
		return fmt.Errorf("message of %d bytes; at most %d are sent", len(body), MaxFrame)
	}
	var head [frameHeader]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(body))|mark)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.w.Write(head[:]); err != nil {
		return err
	}
	for rest := body; ; {
		n := min(pieceSize, len(rest))
		if err := s.writePiece(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		if len(body) > pieceSize {
			s.piece.Store(int64(time.Since(s.begun)))
		}
		if len(rest) == 0 {
			break
		}
	}
	s.count.Out.Add(int64(len(body) + frameHeader))
	return nil
}

// writePiece writes a part of a frame with all that is buffered.
func (s *stream) writePiece(p []byte) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.w.Flush()
}

// ReadObject reads the next message that is not a notification; those are
// handled on the way, in the order of arrival.
func (s *stream) ReadObject(v any) error {
	for {
		body, note, err := s.readFrame(MaxFrame)
		if err != nil {
			return err
		}
		if !note {
			return json.Unmarshal(body, v)
		}
		if err := s.takeNotification(body); err != nil {
			return err
		}
	}
}

// readFrame reads one frame and tells whether it is marked as a notification.
func (s *stream) readFrame(limit int) (body []byte, note bool, err error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return nil, false, err
	}
	length := binary.BigEndian.Uint32(head[:])
	n := int(length &^ notifyMark)
	if n > limit {
		return nil, false, fmt.Errorf("message of %d bytes announced; at most %d are read", n, limit)
	}
	body = make([]byte, n)
	if _, err := io.ReadFull(s.r, body); err != nil {
		return nil, false, err
	}
	s.count.In.Add(int64(n + frameHeader))
	s.heard.Store(int64(time.Since(s.begun)))
	return body, length&notifyMark != 0, nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
