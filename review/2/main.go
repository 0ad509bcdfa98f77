// Command case2 sends requests that may run once at most through four entries to two servers that are
// full for a moment again and again, and then turn requests away with 503, Not-Executed and
// Retry-After. With the disturbance, one of the servers sends one in twenty of its answers once more,
// late: where the next answer on the channel is expected. A request that is answered 503 must not run,
// and none may run twice.
package main

import (
	"bufio"
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
	hostName  = "ficu95.example"
	prefix    = "/puxa403/"
	service   = "intake-app"
	servers   = 2
	disks     = 4 // machines with a disk
	diskless  = 0
	work      = 60 * time.Millisecond
	cycle     = 400 * time.Millisecond // the servers are full at the beginning of each cycle
	fullFor   = 160 * time.Millisecond // for so long
	extraRate = 0.05                   // share of the answers that are repeated late, while the disturbance lasts
	extraFor  = 6 * time.Second        // the disturbance lasts so long, and comes again after a pause
	extraGap  = time.Second
	playFor   = 95 * time.Second
)

// server is a sound plain server but for the answers that it repeats.
type server struct {
	c      *run
	id     string
	addr   string
	spoils bool // it repeats answers
}

type run struct {
	b       *bed.Bed
	trouble bool
	begin   time.Time

	mu      sync.Mutex
	runs    map[string]int
	extras  int
	answers int
	status  map[string]string
}

func (s *server) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.channel(c)
	}
}

// channel serves the requests of one channel, one at a time.
func (s *server) channel(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	late := "" // an answer that comes once more before the next one
	for {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			s.c.b.Logf("%s sends an extra answer late, before its answer to %s", s.id, r.Header.Get("Request-Id"))
			_, _ = io.WriteString(c, late)
			late = ""
		}
		answer := s.answer(r)
		s.c.countAnswer()
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if s.spoils && s.c.drawExtra() {
			late = answer
		}
	}
}

func (c *run) countAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
}

// drawExtra decides whether an answer comes a second time.
func (c *run) drawExtra() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.trouble || time.Since(c.begin)%(extraFor+extraGap) >= extraFor || rand.Float64() >= extraRate {
		return false
	}
	c.extras++
	return true
}

func head(status int, id, fields string, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, fields, len(body), body)
}

func (s *server) answer(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	instance := "Instance-Id: " + s.id + "\r\n"
	switch {
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != s.id:
		return head(http.StatusMisdirectedRequest, id, instance+"Not-Executed: 1\r\n", "")
	case r.URL.Path == "/health":
		return head(http.StatusOK, id, instance, "ok")
	case id == "":
		return head(http.StatusBadRequest, id, "Not-Executed: 1\r\n", "")
	}
	if at := time.Since(s.c.begin) % cycle; at < fullFor {
		left := strconv.FormatFloat((fullFor - at).Seconds(), 'f', 3, 64)
		s.c.b.Logf("%s turns %s away for %s s", s.id, id, left)
		return head(http.StatusServiceUnavailable, id, instance+"Not-Executed: 1\r\nRetry-After: "+left+"\r\n", "")
	}
	s.c.mu.Lock()
	s.c.runs[id]++
	n := s.c.runs[id]
	s.c.mu.Unlock()
	s.c.b.Logf("%s runs %s (run %d of it)", s.id, id, n)
	time.Sleep(work)
	return head(http.StatusOK, id, instance+"Response-Signature: sig-"+id+"\r\n", "done "+id)
}

// request sends one request as a requester does and returns the status of the answer.
func request(client *http.Client, addr, id string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+prefix+"2f", strings.NewReader("report "+id))
	if err != nil {
		return "", err
	}
	req.Host = hostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "4000")
	resp, err := client.Do(req)
	if err != nil {
		return "no answer", nil
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return strconv.Itoa(resp.StatusCode), nil
}

func (c *run) requester(h *bed.Host, wg *sync.WaitGroup) {
	defer wg.Done()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; time.Since(c.begin) < playFor; i++ {
		id := fmt.Sprintf("%s-%05d-%08x", h.Name, i, rand.Uint32())
		c.b.Logf("requester sends %s to %s", id, h.Name)
		status, err := request(client, h.Front(), id)
		if err != nil {
			c.b.Logf("%s: %v", id, err)
			continue
		}
		c.b.Logf("requester gets %s for %s", status, id)
		c.mu.Lock()
		c.status[id] = status
		c.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// play returns 1 if a request ran twice, or was answered 503 and ran.
func play(record string) (int, error) {
	b, err := bed.New(disks, diskless, record)
	if err != nil {
		return 2, err
	}
	defer b.Stop()
	c := &run{b: b, trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), runs: map[string]int{}, status: map[string]string{}}
	var is []bed.Instance
	for i := range servers {
		s := &server{c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: b.ServerAddr(i), spoils: i == 0}
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return 2, err
		}
		defer l.Close()
		go s.serve(l)
		is = append(is, bed.Instance{ID: s.id, Born: time.Now().UnixMilli(), Service: service, Address: s.addr, Zone: "fukuoka", Version: "v1", Slots: 6, State: "ready"})
	}
	b.SetList(func() []bed.Instance { return is })
	if err := b.Start(); err != nil {
		return 2, err
	}
	cfg := bed.Config{Version: 3, Limits: bed.DefaultLimits(),
		Routes:   []bed.Route{{Name: "r-ack", Host: hostName, PathPrefix: prefix, RouteType: "non_idempotent", TimeoutMS: 4000, SLOMS: 300, Priority: 2, Service: service, Attempts: 1}},
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
	wg.Wait()
	time.Sleep(time.Second)
	return c.judge(), nil
}

func (c *run) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	twice, refused, answered := 0, 0, 0
	for id, n := range c.runs {
		if n > 1 {
			twice++
			c.b.Logf("TWICE: %s ran %d times", id, n)
		}
		if s := c.status[id]; s == "503" || s == "429" || s == "408" || s == "421" {
			refused++
			c.b.Logf("REFUSED: %s ran and was answered %s", id, s)
		}
	}
	for _, s := range c.status {
		if s == "200" {
			answered++
		}
	}
	summary := fmt.Sprintf("%d requests, %d answered 200; %d answers of servers, %d of them repeated late; ran twice: %d; refused though run: %d", len(c.status), answered, c.answers, c.extras, twice, refused)
	c.b.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case answered == 0:
		return 2
	case twice+refused > 0:
		return 1
	}
	return 0
}

func main() {
	code, err := play(os.Args[1])
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}
