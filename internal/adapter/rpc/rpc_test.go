package rpc

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const waitLimit = 30 * time.Second

// echo returns a handler that answers calls with their parameters and sends the
// parameters of notifications to notes.
func echo(notes chan string) Handler {
	return func(_ context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
		if method == "note" {
			notes <- string(params)
			return nil, nil
		}
		return params, nil
	}
}

func TestCallsAndNotificationsArriveInOrder(t *testing.T) {
	is := is.New(t)
	notes := make(chan string, 1000)
	sec := Security{Key: []byte("a-key-for-this-test")}
	srv, err := Listen("127.0.0.1:0", sec, &ByteCounter{}, echo(notes), nil, nil)
	is.NoErr(err)
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c, err := Dial(ctx, srv.Addr(), sec, &ByteCounter{}, echo(notes))
	is.NoErr(err)
	defer c.Close()
	for i := range 500 {
		is.NoErr(c.Notify("note", i))
	}
	var got string
	is.NoErr(c.Call(ctx, "echo", "x", &got))
	is.Equal(got, "x")
	for i := range 500 { // all were handled before the call was answered, in order
		want, _ := json.Marshal(i)
		is.Equal(<-notes, string(want))
	}
}

// An unauthenticated peer that announces an oversized message, or sends a malformed
// one, must not make the server allocate memory or end the process: lengths and
// contents are untrusted.
func TestMalformedFramesOnlyCloseTheirConnection(t *testing.T) {
	is := is.New(t)
	srv, err := Listen("127.0.0.1:0", Security{}, &ByteCounter{}, echo(make(chan string, 9)), nil, nil)
	is.NoErr(err)
	defer srv.Close()
	for _, frame := range []struct {
		length uint32
		body   string
	}{{MaxFrame + 1, "x"}, {3, "{{{"}, {notificationFlag | 4, "none"}, {notificationFlag | 0x7fffffff, "x"}, {2, "[]"}} {
		nc, err := net.Dial("tcp", srv.Addr())
		is.NoErr(err)
		_, err = nc.Write(append(binary.BigEndian.AppendUint32(nil, frame.length), frame.body...))
		is.NoErr(err)
		is.NoErr(nc.SetReadDeadline(time.Now().Add(waitLimit)))
		_, err = nc.Read(make([]byte, 1))
		is.True(err != nil) // closed without an answer
		nc.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c, err := Dial(ctx, srv.Addr(), Security{}, &ByteCounter{}, nil)
	is.NoErr(err)
	defer c.Close()
	var got int
	is.NoErr(c.Call(ctx, "echo", 7, &got)) // the server still serves other connections
	is.Equal(got, 7)
}

// slowReader accepts one connection and reads at most each bytes per pause until stop
// is closed, like the far end of a slow link. It returns its address and a channel that
// receives the number of bytes read.
func slowReader(t *testing.T, stop <-chan struct{}, each int, pause time.Duration) (addr string, read <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	total := make(chan int, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_ = nc.(*net.TCPConn).SetReadBuffer(64 << 10)
		n, buf := 0, make([]byte, each)
		for {
			select {
			case <-stop:
				total <- n
				return
			case <-time.After(pause):
			}
			k, _ := nc.Read(buf)
			n += k
		}
	}()
	return l.Addr().String(), total
}

// A message may take longer than the write timeout as long as its reader keeps reading.
// If the timeout bounds the whole message, a host that joins over a slow link never
// receives its snapshot: the connection is closed every 2 s and the transfer starts over.
func TestLargeMessageMayTakeLongerThanTheWriteTimeout(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	addr, read := slowReader(t, stop, 256<<10, 20*time.Millisecond)
	c, err := Dial(context.Background(), addr, Security{}, &ByteCounter{}, echo(nil))
	is.NoErr(err)
	defer c.Close()
	const size = 12 << 20 // some 4 s at 64 kB in 20 ms
	begun := time.Now()
	is.NoErr(c.Notify("note", strings.Repeat("x", size)))
	is.True(time.Since(begun) > writeTimeout) // otherwise the test proves nothing
	is.True(c.SentChunkSince(begun))
	close(stop)
	is.True(<-read > size/2)
}

// A reader that reads nothing still ends the connection within the write timeout.
func TestStalledReaderEndsALargeMessage(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	defer close(stop)
	addr, _ := slowReader(t, stop, 1, time.Hour)
	c, err := Dial(context.Background(), addr, Security{}, &ByteCounter{}, echo(nil))
	is.NoErr(err)
	defer c.Close()
	begun := time.Now()
	is.True(c.Notify("note", strings.Repeat("x", 4<<20)) != nil)
	is.True(time.Since(begun) < 2*writeTimeout)
	is.True(!c.SentChunkSince(time.Now().Add(-writeTimeout / 2)))
}

// lateConn is a connection whose first write finds its deadline passed, as after the process had no
// processor for that long.
type lateConn struct {
	net.Conn
	late bool
}

func (c *lateConn) Write(p []byte) (int, error) {
	if !c.late {
		c.late = true
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(p)
}

// Guards against a connection that is closed, though its peer reads, because this process was suspended.
func TestWriteGoesOnAfterThisProcessWasSuspended(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	body := make(chan []byte, 1)
	go func() {
		b, _, _ := newStream(there, &ByteCounter{}).readFrame(MaxFrame)
		body <- b
	}()
	is.NoErr(newStream(boundSends(&lateConn{Conn: here}), &ByteCounter{}).WriteObject("x"))
	is.Equal(string(<-body), `"x"`)
}
