package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
)

// BenchmarkAddedTime compares a small request on kept connections through the
// gateway with one sent directly to the endpoint.
func BenchmarkAddedTime(b *testing.B) {
	for _, via := range []string{"direct", "gateway"} {
		b.Run(via, func(b *testing.B) {
			ep := benchEndpoint(b, func(c net.Conn, r *http.Request) { reply(c, r, 200, "hello") })
			addr := ep.l.Addr().String()
			if via == "gateway" {
				addr = benchGateway(b, ep).Addr()
			}
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			var took []time.Duration
			for i := 0; b.Loop(); i++ {
				begin := time.Now()
				fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: x.example\r\nId: r%d\r\nContent-Length: 4\r\n\r\nbody", i)
				r, err := http.ReadResponse(br, nil)
				if err != nil {
					b.Fatal(err)
				}
				_ = r.Body.Close()
				took = append(took, time.Since(begin))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkStreamEvent measures one event of a stream through the gateway.
func BenchmarkStreamEvent(b *testing.B) {
	for _, path := range []string{"/stream/", "/resume/"} {
		b.Run(path[1:len(path)-1], func(b *testing.B) {
			n := b.N
			ep := benchEndpoint(b, func(c net.Conn, r *http.Request) {
				head(c, r)
				for i := range n {
					chunk(c, event(i+1))
				}
				_, _ = c.Write([]byte("0\r\n\r\n"))
			})
			g := benchGateway(b, ep)
			c, err := net.Dial("tcp", g.Addr())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			b.ReportAllocs()
			b.ResetTimer()
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x.example\r\nId: r\r\nContent-Length: 0\r\n\r\n", path)
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				b.Fatal(err)
			}
			buf := make([]byte, 64<<10)
			total := 0
			for {
				k, err := r.Body.Read(buf)
				total += k
				if err != nil {
					break
				}
			}
			if want := len(strconv.Itoa(n)); total < n*want {
				b.Fatal("the stream is cut")
			}
		})
	}
}

func benchEndpoint(b *testing.B, answer func(net.Conn, *http.Request)) *fakeEndpoint {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	ep := &fakeEndpoint{l: l, handle: func(_ *bufio.Reader, c net.Conn, r *http.Request, _ []byte) bool { answer(c, r); return true }}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go ep.serve(c)
		}
	}()
	return ep
}

func benchGateway(b *testing.B, ep *fakeEndpoint) *Gateway {
	b.Helper()
	g, err := New(testConfig())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Kill)
	cfg := testDeployment()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = time.Hour
	}
	g.table.Store(deploy.NewTable(cfg))
	g.dir.replace(1, 1, listed(ep))
	return g
}
