// Command case3 replaces the servers of a service one after the other while the platform's list is slow
// to answer at times. Requests may reach a server that leaves only until drainMs after the list shows
// that it drains, the time in which the platform is slow left out. A stream that is sent to it later is
// cut when the server ends as planned.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/review/bed"
)

const (
	hostName = "ficu95.example"
	prefix   = "/puxa403/"
	service  = "drafts"
	disks    = 4 // machines with a disk
	diskless = 5
	servers  = 8
	slots    = 16
	events   = 24 // of a stream
	eventGap = 250 * time.Millisecond

	playFor   = 104 * time.Second
	roundFor  = 13 * time.Second
	slowFor   = 4500 * time.Millisecond // at the beginning of each round the platform is slow
	slowest   = 2000 * time.Millisecond // its answers take up to so long then
	listLag   = 800 * time.Millisecond  // maxLagMs
	drainMS   = 3000
	lingerFor = 12 * time.Second        // a server that drains serves on for so long
	contact   = 3 * time.Second         // contactMs
	gap       = time.Second             // between two servers that are replaced
	firstAt   = 1500 * time.Millisecond // of a round, when the first one drains
	perRound  = 4
	sendGap   = time.Second // between two requests to a machine, on average
)

// server is one sound plain server.
type server struct {
	c        *run
	id, addr string
	born     int64
	http     *http.Server

	mu       sync.Mutex
	begun    time.Time
	drainsAt time.Time // zero while it serves
	goneAt   time.Time
}

type run struct {
	b       *bed.Bed
	trouble bool
	begin   time.Time

	mu      sync.Mutex
	all     []*server
	sentAt  map[string]time.Time // when the requester sent a request
	late    int
	isLate  map[string]bool
	lost    int // late ones that the end of their server cut
	arrived int
	status  map[string]int
	slows   int
}

// slow reports whether the platform is slow.
func (c *run) slow(now time.Time) bool {
	return c.trouble && !c.begin.IsZero() && now.Sub(c.begin) < playFor && now.Sub(c.begin)%roundFor < slowFor
}

func (c *run) startServer(i int) error {
	s := &server{c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: c.b.ServerAddr(i), begun: time.Now(), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return nil
}

// stateAt returns what the list says of the server for an instant; false if it isn't listed.
func (s *server) stateAt(at time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case at.Before(s.begun), !s.goneAt.IsZero() && !at.Before(s.goneAt):
		return "", false
	case !s.drainsAt.IsZero() && !at.Before(s.drainsAt):
		return "draining", true
	}
	return "ready", true
}

// instances is the list as of an instant.
func (c *run) instances(at time.Time) []bed.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []bed.Instance
	for _, s := range c.all {
		if state, listed := s.stateAt(at); listed {
			out = append(out, bed.Instance{ID: s.id, Born: s.born, Service: service, Address: s.addr, Zone: "fukuoka", Version: "v1", Slots: slots, State: state})
		}
	}
	return out
}

// list answers a call for the list. While the platform is slow the answer takes its time.
func (c *run) list() []bed.Instance {
	now := time.Now()
	out := c.instances(now.Add(-listLag))
	if c.slow(now) {
		time.Sleep(time.Duration(rand.Int64N(int64(slowest))))
		c.mu.Lock()
		c.slows++
		c.mu.Unlock()
	}
	return out
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := r.Header.Get("Request-Id")
	state, _ := s.stateAt(now)
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Instance-Id", s.id)
	if state == "draining" {
		w.Header().Set("Connection", "close")
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.URL.Path == "/health":
		if state == "draining" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.Header.Get("Target-Instance") != s.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.c.arrival(s, id, now)
	w.Header().Set("Response-Signature", "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// arrival judges one request that reached a server. The time runs from the moment when the list shows
// that the server drains, and not while the platform is slow; the machines are in touch contactMs after
// that. What the requester had sent before doesn't count.
func (c *run) arrival(s *server, id string, now time.Time) {
	s.mu.Lock()
	drainsAt := s.drainsAt
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived++
	if drainsAt.IsZero() {
		return
	}
	shown := drainsAt.Add(listLag)
	ran := time.Duration(0) // of the time that counts
	for t := shown; t.Before(now); t = t.Add(time.Millisecond) {
		if !c.slow(t) {
			ran += time.Millisecond
		}
	}
	inTouch := true
	for t := now.Add(-contact); t.Before(now); t = t.Add(10 * time.Millisecond) {
		inTouch = inTouch && !c.slow(t)
	}
	c.b.Logf("%s, which the list has shown as draining for %.2f s (%.2f s of them count), gets %s", s.id, now.Sub(shown).Seconds(), ran.Seconds(), id)
	if inTouch && ran > drainMS*time.Millisecond && c.sentAt[id].Sub(shown) > drainMS*time.Millisecond && now.Sub(c.sentAt[id]) < time.Second {
		c.late++
		c.isLate[id] = true
		c.b.Logf("DRAIN: %s reached %s later than %d ms", id, s.id, drainMS)
	}
}

// requester sends requests to a machine, several at a time.
func (c *run) requester(h *bed.Host, wg *sync.WaitGroup) {
	defer wg.Done()
	client := &http.Client{Timeout: 12 * time.Second}
	for i := 0; time.Since(c.begin) < playFor-7*time.Second; i++ {
		id := fmt.Sprintf("%s-%05d-%08x", h.Name, i, rand.Uint32())
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(client, h, id)
		}()
		time.Sleep(time.Duration(rand.Int64N(int64(2 * sendGap))))
	}
}

func (c *run) request(client *http.Client, h *bed.Host, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Front()+prefix+"2f", strings.NewReader("draft "+id))
	if err != nil {
		return
	}
	req.Host = hostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "12000")
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	status, pieces := "no answer", 0
	if resp, err := client.Do(req); err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = strconv.Itoa(resp.StatusCode)
		if pieces = strings.Count(string(body), "data: "); resp.StatusCode == http.StatusOK && (err != nil || pieces < events) {
			status += " cut"
		}
	}
	c.b.Logf("requester sent %s to %s and got %s, %d pieces", id, h.Name, status, pieces)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[status]++
	if strings.HasSuffix(status, " cut") {
		if c.isLate[id] {
			c.lost++
			c.b.Logf("%s, which reached its server late, is cut by the end of the server and lost", id)
		}
	}
}

// release replaces servers one after the other: the new one starts first, the old one drains.
func (c *run) release(n int) int {
	for i := range perRound {
		if err := c.startServer(n); err != nil {
			c.b.Logf("a server did not start: %v", err)
			return n
		}
		n++
		c.mu.Lock()
		var old *server
		for _, s := range c.all {
			if s.drainsAt.IsZero() {
				old = s
				break
			}
		}
		c.mu.Unlock()
		old.mu.Lock()
		old.drainsAt = time.Now()
		old.goneAt = old.drainsAt.Add(lingerFor)
		old.mu.Unlock()
		c.b.Logf("%s drains (%d of the round)", old.id, i+1)
		time.AfterFunc(lingerFor, func() { _ = old.http.Close() })
		time.Sleep(gap)
	}
	return n
}

func play(record string) (int, error) {
	b, err := bed.New(disks, diskless, record)
	if err != nil {
		return 2, err
	}
	defer b.Stop()
	c := &run{b: b, trouble: os.Getenv("TROUBLE") != "0", sentAt: map[string]time.Time{}, isLate: map[string]bool{}, status: map[string]int{}}
	for i := range servers {
		if err := c.startServer(i); err != nil {
			return 2, err
		}
	}
	time.Sleep(listLag)
	b.SetList(c.list)
	if err := b.Start(); err != nil {
		return 2, err
	}
	cfg := bed.Config{Version: 3, Limits: bed.DefaultLimits(),
		Routes:   []bed.Route{{Name: "r-draft", Host: hostName, PathPrefix: prefix, RouteType: "streaming", TimeoutMS: 12000, SLOMS: 300, Priority: 1, Service: service, Attempts: 1}},
		Services: []bed.Service{{Name: service, HealthPath: "/health", MaxConns: 130, Protocol: "h1"}}}
	if _, err := b.PutUntilAcked(cfg.Encode(), 15*time.Second); err != nil {
		return 2, err
	}
	if err := b.Ready(15 * time.Second); err != nil {
		return 2, err
	}
	c.begin = time.Now()
	var wg sync.WaitGroup
	for _, h := range b.Hosts {
		wg.Add(1)
		go c.requester(h, &wg)
	}
	next := servers
	for round := 0; time.Duration(round+1)*roundFor <= playFor; round++ {
		time.Sleep(time.Until(c.begin.Add(time.Duration(round)*roundFor + firstAt)))
		next = c.release(next)
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("answers %v; %d requests reached servers, %d of them later than drainMs, of which %d were cut by the end of the server; %d slow answers of the platform", c.status, c.arrived, c.late, c.lost, c.slows)
	b.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case c.status["200"] == 0:
		return 2, nil
	case c.late > 0:
		return 1, nil
	}
	return 0, nil
}

func main() {
	code, err := play(os.Args[1])
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}
