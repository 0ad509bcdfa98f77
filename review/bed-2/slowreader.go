package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// pace is how a requester reads.
type pace struct {
	window, segment int // of its TCP connection, in bytes: as on a slow link
	piece           int // bytes that it takes at a time at most
	pause           time.Duration
}

var (
	// fourTimes takes what has arrived, four times a second: with its window about 20 kB a second.
	fourTimes = pace{window: 4 << 10, segment: 536, piece: 64 << 10, pause: 250 * time.Millisecond}
	// steady takes 32 kB a second.
	steady = pace{window: 32 << 10, segment: 1448, piece: 8 << 10, pause: 250 * time.Millisecond}
)

const (
	slowClients = 6
	bodySize    = 250_000
	steadySize  = 400_000
	timeLimit   = 20 * time.Second
)

// slowReader has requesters read their answers slowly and steadily, fast enough for their time limit. In a
// second round the answers end some bytes after the place at which the first round's went wrong.
func slowReader(b *bed, trouble bool) (bool, error) {
	if err := b.startReport(); err != nil {
		return false, err
	}
	sizes := make([]int, slowClients)
	for i := range sizes {
		sizes[i] = bodySize
	}
	wrong, foreign, cut, whole := 0, 0, 0, 0
	for round := range 2 {
		results := make([]readResult, slowClients)
		var wg sync.WaitGroup
		for i := range slowClients {
			wg.Go(func() {
				results[i] = b.readSlowly(fmt.Sprintf("slow%d%d", round, i), b.front(i%2), sizes[i], fourTimes, trouble)
			})
		}
		wg.Wait()
		for i, r := range results {
			b.rec.printf("requester got %s", r)
			switch {
			case r.err != nil && !r.begun:
				return false, fmt.Errorf("%w: %w", errUnexpected, r.err)
			case r.foreignAt >= 0 && r.complete:
				wrong++
			case r.foreignAt >= 0:
				foreign++
			case !r.complete:
				cut++
			default:
				whole++
			}
			if r.foreignAt > 0 {
				sizes[i] = r.foreignAt + 30 + 4*i
			}
		}
	}
	summary := fmt.Sprintf("whole %d; complete successes with a body that is not the server's %d; bytes of no server within a body that did not end %d; cut while time was left %d", whole, wrong, foreign, cut)
	b.rec.printf("%s", summary)
	fmt.Println(summary)
	return wrong+foreign > 0 || cut > 3, nil
}

// startReport starts the system with a sound server that answers with as many bytes as it is asked for.
func (b *bed) startReport() error {
	b.site = frachtwacht
	l, err := net.Listen("tcp", b.addr(31, portServer))
	if err != nil {
		return err
	}
	s := &serverConfig{id: "i-sound", version: "v1", log: b.rec.printf, answer: func(s *serverConfig, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		n, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
		_, err := c.Write(append([]byte(s.head(id, fmt.Sprintf("Content-Length: %d\r\n", n))), body(id, n)...))
		return err == nil
	}}
	go s.serve(l)
	b.setList(b.entryOf(31, "i-sound", "v1", time.Now().UnixMilli()))
	if err := b.startSystem(2); err != nil {
		return err
	}
	return b.deploy(config(route("report", "/report/", "non_idempotent", int(timeLimit.Milliseconds()), 1, false)), 2)
}

// steadyReader has requesters read their answers steadily at 32 kB a second, fast enough for their time limit.
func steadyReader(b *bed, trouble bool) (bool, error) {
	if err := b.startReport(); err != nil {
		return false, err
	}
	results := make([]readResult, slowClients)
	var wg sync.WaitGroup
	for i := range slowClients {
		wg.Go(func() {
			results[i] = b.readSlowly(fmt.Sprintf("steady%d", i), b.front(i%2), steadySize, steady, trouble)
		})
	}
	wg.Wait()
	whole, cut := 0, 0
	for _, r := range results {
		b.rec.printf("requester got %s", r)
		switch {
		case r.err != nil && !r.begun:
			return false, fmt.Errorf("%w: %w", errUnexpected, r.err)
		case r.complete && r.foreignAt < 0:
			whole++
		case r.took < timeLimit-time.Second:
			cut++
		}
	}
	fmt.Printf("whole %d, cut while time was left %d\n", whole, cut)
	return cut > 3, nil
}

// readResult is what a requester saw of one answer.
type readResult struct {
	id        string
	size      int
	got       int
	status    int
	signature string
	begun     bool // a head arrived
	complete  bool // as many bytes as the head announced
	foreignAt int  // of the first byte that is not the server's; -1 if there is none
	foreign   string
	after     string // bytes on the channel after the answer
	took      time.Duration
	err       error
}

// String implements fmt.Stringer.
func (r readResult) String() string {
	s := fmt.Sprintf("%s: status %d, signature %q, %d of %d bytes in %.1f s, complete: %v", r.id, r.status, r.signature, r.got, r.size, r.took.Seconds(), r.complete)
	if r.foreignAt >= 0 {
		s += fmt.Sprintf(", from byte %d on not the server's: %q", r.foreignAt, r.foreign)
	}
	if r.after != "" {
		s += fmt.Sprintf(", and after the answer %q", r.after)
	}
	if r.err != nil {
		s += ", ended with: " + r.err.Error()
	}
	return s
}

// slowConn is read slowly.
type slowConn struct {
	net.Conn
	pace pace
	slow bool
}

// Read implements io.Reader.
func (c *slowConn) Read(p []byte) (int, error) {
	if c.slow {
		time.Sleep(c.pace.pause)
		p = p[:min(len(p), c.pace.piece)]
	}
	return c.Conn.Read(p)
}

// readSlowly sends a request and reads its answer.
func (b *bed) readSlowly(id, front string, size int, p pace, slow bool) readResult {
	r := readResult{id: id, size: size, foreignAt: -1}
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, rc syscall.RawConn) error {
		var err error
		cerr := rc.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.window), syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, p.segment))
		})
		return errors.Join(cerr, err)
	}}
	nc, err := d.Dial("tcp", front)
	if err != nil {
		r.err = err
		return r
	}
	defer nc.Close()
	sc := &slowConn{Conn: nc, pace: p}
	br := bufio.NewReaderSize(sc, 64<<10)
	// The channel is kept from an earlier request, which is answered at once.
	if resp, err := b.ask(nc, br, id+"a", 100); err != nil {
		r.err = err
		return r
	} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		r.err = err
		return r
	}
	sc.slow = slow
	begin := time.Now()
	b.rec.printf("requester sends %s for %d bytes to %s on a kept channel, time limit %v, slow: %v", id, size, front, timeLimit, slow)
	resp, err := b.ask(nc, br, id, size)
	if err != nil {
		r.err = err
		return r
	}
	r.begun, r.status, r.signature = true, resp.StatusCode, resp.Header.Get("Response-Signature")
	buf := make([]byte, 64<<10)
	for r.got < size && r.err == nil && r.foreignAt < 0 {
		var n int
		n, r.err = resp.Body.Read(buf)
		for i, c := range buf[:n] {
			if c != pattern(id, r.got+i) {
				r.foreignAt, r.foreign = r.got+i, string(buf[i:min(n, i+120)])
				break
			}
		}
		r.got += n
	}
	r.took = time.Since(begin)
	r.complete = r.got == size
	if r.complete {
		r.err = nil
		_ = nc.SetReadDeadline(time.Now().Add(time.Second))
		rest, _ := br.Peek(1)
		if len(rest) > 0 {
			rest, _ = br.Peek(br.Buffered())
			r.after = string(rest[:min(len(rest), 120)])
		}
	}
	return r
}

// ask sends a request on a channel and reads the head of its answer.
func (b *bed) ask(nc net.Conn, br *bufio.Reader, id string, size int) (*http.Response, error) {
	_ = nc.SetDeadline(time.Now().Add(timeLimit))
	if _, err := fmt.Fprintf(nc, "POST /report/x?bytes=%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: 2\r\n\r\n{}", size, host, id, timeLimit.Milliseconds()); err != nil {
		return nil, err
	}
	return http.ReadResponse(br, nil)
}
