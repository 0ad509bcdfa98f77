package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// serverConfig is a stand-in of a server of the plain service.
type serverConfig struct {
	id, version string
	leaving     *atomic.Bool
	gone        atomic.Int64 // Unix milliseconds of its removal, once it leaves
	log         func(format string, args ...any)
	// answer answers a request; it returns false if the connection is to be closed.
	answer func(s *serverConfig, c net.Conn, r *http.Request) bool
}

// pattern is byte i of the body that answers a request.
func pattern(id string, i int) byte { return byte('a' + (i*7+i/251+len(id)+int(id[len(id)-1]))%26) }

// body returns the first n bytes of the body that answers a request.
func body(id string, n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = pattern(id, i)
	}
	return out
}

// head returns the head of a success.
func (s *serverConfig) head(id, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s.%s\r\nInstance-Id: %s\r\n%s\r\n", id, s.id, id, s.id, fields)
}

// serve accepts connections until the listener is closed.
func (s *serverConfig) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *serverConfig) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch target := r.Header.Get("Target-Instance"); {
		case target != "" && target != s.id:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), s.id)
		case r.URL.Path == "/health":
			status := "200 OK"
			if s.leaving != nil && s.leaving.Load() {
				status = "503 Service Unavailable"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.id)
		case r.URL.Path == "/report" && s.leaving != nil:
			report := s.report()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		case r.Header.Get("Request-Id") == "":
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		default:
			s.log("server %s (version %s) runs %s %s %s, last event %q", s.id, s.version, r.Header.Get("Request-Id"), r.Method, r.URL.Path, r.Header.Get("Last-Event-Id"))
			if !s.answer(s, c, r) {
				return
			}
		}
	}
}

// report returns what the server reports of itself.
func (s *serverConfig) report() string {
	if !s.leaving.Load() {
		return `{"state":"ready","models":[],"busy":false,"sequence":1}`
	}
	return fmt.Sprintf(`{"state":"draining","remainingMs":%d,"models":[],"busy":false,"sequence":1}`, max(0, s.gone.Load()-time.Now().UnixMilli()))
}

// events writes a stream of numbered events that ends after the last one: in chunks, or without any
// framing up to the end of the connection.
func events(s *serverConfig, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	framed := r.URL.Query().Get("framing") != "none"
	last, _ := strconv.Atoi(r.URL.Query().Get("events"))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fields := "Content-Type: text/event-stream\r\nConnection: close\r\n"
	if framed {
		fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	}
	if s.leaving != nil && s.leaving.Load() {
		fields += "Server-Leaving: 1\r\n"
	}
	if _, err := io.WriteString(c, s.head(id, fields)); err != nil {
		return false
	}
	for n := from + 1; n <= last; n++ {
		event := fmt.Sprintf("id: %d\ndata: version %s server %s event %d of %d\n\n", n, s.version, s.id, n, last)
		if framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	if framed {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	s.log("server %s has written all of %s", s.id, id)
	return false
}

const eventPause = 100 * time.Millisecond

// runServer is a server in a process of its own, which a case can kill.
func runServer(args []string) {
	f := flag.NewFlagSet("server", flag.ExitOnError)
	addr, id, version := f.String("addr", "", ""), f.String("id", "", ""), f.String("version", "", "")
	leavingFile := f.String("leaving", "", "file whose presence means that the server leaves")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	var leaving atomic.Bool
	begin := time.Now()
	s := &serverConfig{id: *id, version: *version, leaving: &leaving, answer: events, log: func(format string, args ...any) {
		fmt.Printf("%s +%.3f s "+format+"\n", append([]any{time.Now().Format("15:04:05.000"), time.Since(begin).Seconds()}, args...)...)
	}}
	if *leavingFile != "" {
		go func() {
			for range time.Tick(20 * time.Millisecond) {
				if _, err := os.Stat(*leavingFile); err == nil {
					s.gone.CompareAndSwap(0, time.Now().Add(notice).UnixMilli())
					leaving.Store(true)
				}
			}
		}()
	}
	s.serve(l)
}

// startServer starts a server process.
func (b *bed) startServer(n int, id, version, leavingFile string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "server", "--addr", b.addr(n, portServer), "--id", id, "--version", version, "--leaving", leavingFile)
	cmd.Stdout = &recordWriter{rec: b.rec, prefix: fmt.Sprintf("server process %s/%s: ", id, version)}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	b.others = append(b.others, cmd)
	b.rec.printf("start server %s, version %s, pid %d", id, version, cmd.Process.Pid)
	return cmd, nil
}

// recordWriter copies lines to the record.
type recordWriter struct {
	rec    *recorder
	prefix string
}

// Write implements io.Writer.
func (w *recordWriter) Write(p []byte) (int, error) {
	for _, line := range strings.Split(strings.TrimRight(string(p), "\n"), "\n") {
		w.rec.printf("%s%s", w.prefix, line)
	}
	return len(p), nil
}

// entryOf returns the list's entry of a server.
func (b *bed) entryOf(n int, id, version string, born int64) listed {
	return listed{ID: id, Born: born, Service: "app", Address: b.addr(n, portServer), Zone: "zone-a", Version: version, Slots: 32, State: "ready"}
}
