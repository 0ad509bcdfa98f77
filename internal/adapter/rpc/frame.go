package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
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
	writeTimeout = 5 * time.Second
	bufferSize   = 4 << 10
)

// stream is a jsonrpc2.ObjectStream of length-prefixed JSON.
type stream struct {
	conn  net.Conn
	r     *bufio.Reader
	count *Counter
	heard atomic.Int64 // unix nanoseconds of the last frame received

	mu sync.Mutex
	w  *bufio.Writer
}

// Counter counts the bytes of all connections that share it.
type Counter struct {
	In, Out atomic.Int64
}

func newStream(c net.Conn, count *Counter) *stream {
	s := &stream{conn: c, r: bufio.NewReaderSize(c, bufferSize), w: bufio.NewWriterSize(c, bufferSize), count: count}
	s.heard.Store(time.Now().UnixNano())
	return s
}

// WriteObject writes one message.
func (s *stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeFrame(body)
}

func (s *stream) writeFrame(body []byte) error {
	if len(body) > MaxFrame {
		return fmt.Errorf("message of %d bytes; at most %d are sent", len(body), MaxFrame)
	}
	var head [frameHeader]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(body)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(head[:]); err != nil {
		return err
	}
	if _, err := s.w.Write(body); err != nil {
		return err
	}
	s.count.Out.Add(int64(len(body) + frameHeader))
	return s.w.Flush()
}

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	body, err := s.readFrame(MaxFrame)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

func (s *stream) readFrame(limit int) ([]byte, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(s.r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > limit {
		return nil, fmt.Errorf("message of %d bytes announced; at most %d are read", n, limit)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(s.r, body); err != nil {
		return nil, err
	}
	s.count.In.Add(int64(n + frameHeader))
	s.heard.Store(time.Now().UnixNano())
	return body, nil
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }
