// Command case3 adds servers of another software version to a service while control is down, and kills
// some of the entries a moment later; three times, each with another service. The requesters take their streams up at other entries. No stream may
// hold events of two software versions.
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
	"syscall"
	"time"

	"github.com/cassiapass/cassiapass/review/bed"
)

const (
	hostName = "ficu95.example"
	rounds   = 3 // one for each service
	disks    = 4 // machines with a disk
	diskless = 5
	servers  = 12 // of version v1, for each service
	added    = 3  // of version v2; scale_out, share 0.25
	slots    = 64

	events   = 24 // of a stream
	eventGap = 100 * time.Millisecond
	listLag  = 800 * time.Millisecond // maxLagMs

	alone    = 33 * time.Second        // v1 serves alone for so long; a stream lasts 12 s at most
	downFor  = 2700 * time.Millisecond // herd_kill on core; the site's for_s is 2.73
	addFirst = 500 * time.Millisecond  // after the kill of control, in the first round
	addLater = 150 * time.Millisecond  // later in each further round
	herd     = 5                       // entries that are killed together; of 9, share 0.56
	herdAt   = 2450 * time.Millisecond
	roundGap = 16 * time.Second      // recoverS is 12 s
	sendGap  = 40 * time.Millisecond // between two streams at a machine
	allowed  = 2                     // streams that may be mixed
)

type run struct {
	b       *bed.Bed
	trouble bool

	mu      sync.Mutex
	all     []bed.Instance
	since   []time.Time
	status  map[string]int
	resumed int
	goneOn  int
	mixed   int
	whole   int
}

// server is one sound server.
type server struct {
	c                    *run
	id, service, version string
}

func serviceName(n int) string { return fmt.Sprintf("llm-%d", n) }

func (c *run) startServer(i, service int, version string) error {
	s := &server{c: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: serviceName(service), version: version}
	l, err := net.Listen("tcp", c.b.ServerAddr(i))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, bed.Instance{ID: s.id, Born: time.Now().UnixMilli(), Service: s.service, Address: c.b.ServerAddr(i), Zone: "fukuoka", Version: version, Slots: slots, State: "ready"})
	c.since = append(c.since, time.Now())
	return nil
}

// list is the platform's list, as it was listLag ago.
func (c *run) list() []bed.Instance {
	at := time.Now().Add(-listLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []bed.Instance{}
	for i, in := range c.all {
		if !at.Before(c.since[i]) {
			out = append(out, in)
		}
	}
	return out
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", s.id)
	if id == "" {
		return // the health path
	}
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Target-Instance") != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", "sig-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d by %s %s\n\n", n, n, s.version, s.id); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// stream is what a requester has got of one stream, over all its tries.
type stream struct {
	first    string // id of the try that brought the first event
	last     int
	versions map[string]int
	whole    bool
}

// try sends one try and reads what comes.
func (c *run) try(client *http.Client, h *bed.Host, path, id string, s *stream) (status string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Front()+path, strings.NewReader("draft"))
	if err != nil {
		return err.Error()
	}
	req.Host = hostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", "12000")
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.first)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return strconv.Itoa(resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: piece "); ok {
			var n int
			var version, by string
			if _, err := fmt.Sscanf(data, "%d by %s %s", &n, &version, &by); err != nil {
				continue
			}
			if s.last == 0 {
				s.first = id
			}
			s.last = n
			s.versions[version]++
		}
	}
	s.whole = lines.Err() == nil && s.last == events
	if !s.whole {
		return "200 cut"
	}
	return "200"
}

// request sends one request and takes its stream up once where it is cut.
func (c *run) request(client *http.Client, hosts []*bed.Host, h *bed.Host, path, id string) {
	s := &stream{versions: map[string]int{}}
	what := c.try(client, h, path, id+"-1", s)
	c.b.Logf("%s sent to %s: %s, %d events, %v", id, h.Name, what, s.last, s.versions)
	if what == "200 cut" && s.last > 0 {
		before := s.last
		for n := 2; n <= 3 && !s.whole; n++ {
			o := hosts[rand.IntN(len(hosts))]
			for o == h {
				o = hosts[rand.IntN(len(hosts))]
			}
			again := c.try(client, o, path, fmt.Sprintf("%s-%d", id, n), s)
			c.b.Logf("%s taken up at %s after event %d: %s, %d events, %v", id, o.Name, before, again, s.last, s.versions)
			if again != "no answer" {
				break
			}
		}
		c.mu.Lock()
		c.resumed++
		if s.last > before {
			c.goneOn++
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[what]++
	if s.whole {
		c.whole++
	}
	if len(s.versions) > 1 {
		c.mixed++
		c.b.Logf("ORDER: %s holds events of two software versions: %v", id, s.versions)
	}
}

func (c *run) requester(h *bed.Host, path string, stop <-chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	client := &http.Client{Timeout: 12 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(sendGap/2 + time.Duration(rand.Int64N(int64(sendGap)))):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request(client, c.b.Hosts, h, path, fmt.Sprintf("%s-%s-%05d", strings.Trim(path, "/"), h.Name, i))
		}()
	}
}

func play(record string) (int, error) {
	b, err := bed.New(disks, diskless, record)
	if err != nil {
		return 2, err
	}
	defer b.Stop()
	b.Site = bed.Rcalo
	c := &run{b: b, trouble: os.Getenv("TROUBLE") != "0", status: map[string]int{}}
	for n := range rounds * servers {
		if err := c.startServer(n, n/servers, "v1"); err != nil {
			return 2, err
		}
	}
	time.Sleep(listLag)
	b.SetList(c.list)
	if err := b.Start(); err != nil {
		return 2, err
	}
	cfg := bed.Config{Version: 3, Limits: bed.DefaultLimits()}
	for n := range rounds {
		cfg.Routes = append(cfg.Routes, bed.Route{Name: fmt.Sprintf("r-%d", n), Host: hostName, PathPrefix: fmt.Sprintf("/s%d/", n), RouteType: "streaming", TimeoutMS: 12000, SLOMS: 300, Priority: 1, Service: serviceName(n), Attempts: 2, CanResume: true, MaxGapMS: 250})
		cfg.Services = append(cfg.Services, bed.Service{Name: serviceName(n), HealthPath: "/health", MaxConns: 390, Protocol: "h1"})
	}
	if _, err := b.PutUntilAcked(cfg.Encode(), 15*time.Second); err != nil {
		return 2, err
	}
	if err := b.Ready(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(alone)
	victims := rand.Perm(len(b.Hosts))[:herd]
	for n := range rounds {
		begin := time.Now()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for _, h := range b.Hosts {
			wg.Add(1)
			go c.requester(h, fmt.Sprintf("/s%d/", n), stop, &wg)
		}
		time.Sleep(1500 * time.Millisecond)
		if err := c.disturb(n, victims); err != nil {
			return 2, err
		}
		close(stop)
		wg.Wait()
		time.Sleep(time.Until(begin.Add(roundGap)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("first tries %v; %d streams whole; %d taken up, %d of them went on; %d hold events of two software versions", c.status, c.whole, c.resumed, c.goneOn, c.mixed)
	b.Logf("%s", summary)
	fmt.Println(summary)
	switch {
	case c.whole == 0:
		return 2, nil
	case c.mixed > allowed:
		return 1, nil
	}
	return 0, nil
}

// disturb kills all that serve control, adds servers of another version to a service, and kills some
// entries.
func (c *run) disturb(n int, victims []int) error {
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	c.b.Logf("control is killed on all machines with a disk and is down for %v", downFor)
	killControl := c.trouble && os.Getenv("CONTROL") != "0"
	if killControl {
		for _, h := range c.b.Hosts[:disks] {
			h.Signal("control", syscall.SIGKILL)
		}
	}
	at(addFirst + time.Duration(n)*addLater)
	for i := range added {
		if err := c.startServer(rounds*servers+n*added+i, n, "v2"); err != nil {
			return err
		}
	}
	c.b.Logf("%d servers of version v2 start for %s", added, serviceName(n))
	at(herdAt)
	for _, v := range victims {
		c.b.Logf("the entry of %s is killed", c.b.Hosts[v].Name)
		if c.trouble {
			c.b.Hosts[v].Signal("entry", syscall.SIGKILL)
		}
	}
	at(downFor)
	if !c.trouble {
		return nil
	}
	for _, h := range c.b.Hosts[:disks] {
		if !killControl {
			break // CONTROL=0: only entries are killed
		}
		h.Kill("control")
		if err := h.Start("control", false); err != nil {
			return err
		}
	}
	at(herdAt + time.Second)
	for _, v := range victims {
		c.b.Hosts[v].Kill("entry")
		if err := c.b.Hosts[v].Start("entry", false); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	code, err := play(os.Args[1])
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}
