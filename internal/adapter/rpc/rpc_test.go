package rpc

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const patience = 30 * time.Second

// echo answers calls with their parameters and remembers notifications.
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
	srv, err := Listen("127.0.0.1:0", sec, &Counter{}, echo(notes), nil, nil)
	is.NoErr(err)
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c, err := Dial(ctx, srv.Addr(), sec, &Counter{}, echo(notes))
	is.NoErr(err)
	defer c.Close()
	for i := range 500 {
		is.NoErr(c.Notify("note", i))
	}
	var got string
	is.NoErr(c.Call(ctx, "echo", "x", &got))
	is.Equal(got, "x")
	for i := range 500 { // all of them before the call was answered, in order
		want, _ := json.Marshal(i)
		is.Equal(<-notes, string(want))
	}
}

// Symptom: a stranger's connection takes memory or stops the process.
// Sequence: it announces an endless message, or sends what is no message.
// Cause: lengths and contents come from the other side.
func TestMalformedFramesOnlyCloseTheirConnection(t *testing.T) {
	is := is.New(t)
	srv, err := Listen("127.0.0.1:0", Security{}, &Counter{}, echo(make(chan string, 9)), nil, nil)
	is.NoErr(err)
	defer srv.Close()
	for _, frame := range []struct {
		length uint32
		body   string
	}{{MaxFrame + 1, "x"}, {3, "{{{"}, {notifyMark | 4, "none"}, {notifyMark | 0x7fffffff, "x"}, {2, "[]"}} {
		nc, err := net.Dial("tcp", srv.Addr())
		is.NoErr(err)
		_, err = nc.Write(append(binary.BigEndian.AppendUint32(nil, frame.length), frame.body...))
		is.NoErr(err)
		is.NoErr(nc.SetReadDeadline(time.Now().Add(patience)))
		_, err = nc.Read(make([]byte, 1))
		is.True(err != nil) // closed, nothing answered
		nc.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c, err := Dial(ctx, srv.Addr(), Security{}, &Counter{}, nil)
	is.NoErr(err)
	defer c.Close()
	var got int
	is.NoErr(c.Call(ctx, "echo", 7, &got)) // the server goes on
	is.Equal(got, 7)
}
