// Command bed-2 runs the scripted cases of the second review. It starts the project's own programs as
// separate processes on loopback addresses, with stand-ins of the platform's list, of servers and of
// requesters, and judges by what these stand-ins see.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	errNotReady   = errors.New("the system did not become ready")
	errNoProgram  = errors.New("the deploy file names no such role")
	errUnexpected = errors.New("unexpected")
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	f     *os.File
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the system.
type node struct {
	name, role, ip string
	cmd            *exec.Cmd
	ended          chan struct{}
	log            *os.File
}

// listed is an entry of the platform's list.
type listed struct {
	ID        string  `json:"id"`
	Born      int64   `json:"born"`
	Service   string  `json:"service"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Version   string  `json:"version"`
	Slots     int     `json:"slots"`
	State     string  `json:"state"`
	ColdMs    int     `json:"coldRemainingMs"`
	Remaining float64 `json:"remainingMs,omitempty"`
}

// bed holds one run.
type bed struct {
	rec      *recorder
	dir      string
	net      string // first three numbers of the loopback addresses
	commands map[string][]string
	nodes    []*node
	others   []*exec.Cmd
	platform string
	site     site

	mu      sync.Mutex
	history []snapshot // of the list, for its lag
}

// snapshot is the list from an instant on.
type snapshot struct {
	at   time.Time
	list []listed
}

// site is what a case's settings take from a site's sheet.
type site struct {
	contracts, bounds string
	memoryMB, maxFDs  int
}

var (
	kyuOutage = site{
		contracts: `"base","drain","config","cost","retry","recover","fleet","stream","engine"`, memoryMB: 284, maxFDs: 4100,
		bounds: "seedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nretryBudget = 0.2\nbudgetWindowS = 10\nretrySlack = 64\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nrequireFence = true\nleaseMs = 3000\nthawMs = 300\nceilingWindowS = 5\nloadCeilingFactor = 1.1\n",
	}
	frachtwacht = site{
		contracts: `"base","drain","config","cost","retry","recover","health","pool","fleet","stream","engine","tenants","quota","pressure"`, memoryMB: 184, maxFDs: 4100,
		bounds: "seedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 6\ndrainMs = 4000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2500\nrollbackSlackMs = 250\nmaxStretchMs = 6000\nstrictRevoke = false\nrevokeMs = 5000\nretryBudget = 0.2\nbudgetWindowS = 10\nretrySlack = 88\nquotaWindowS = 8\nquotaExcess = 0.1\nquotaSlack = 17000\nrecoverS = 15\npassMs = 200\nretryAfterS = 0\nrequireFence = false\nleaseMs = 3000\nthawMs = 300\nceilingWindowS = 5\nloadCeilingFactor = 1.1\n",
	}
)

// listLag is how old the list is that the platform shows; it stays under maxLagMs of the settings.
const (
	listLag  = 700 * time.Millisecond
	maxLagMs = 800
)

const (
	portRPC      = 7380
	portFront    = 8149
	portReady    = 8141
	portControl  = 8144
	portPlatform = 8142
	portServer   = 8501
	host         = "case.example"
	graceTime    = 3 * time.Second
)

func newBed(caseDir string) (*bed, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bed-2-")
	if err != nil {
		return nil, err
	}
	b := &bed{rec: &recorder{begin: time.Now(), f: f}, dir: dir, site: kyuOutage}
	// Addresses of the loopback network are free for any use; the ports on them are ours.
	for try := range 50 {
		b.net = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try*7)%250)
		l, err := net.Listen("tcp", b.addr(1, portPlatform))
		if err == nil {
			b.platform = l.Addr().String()
			go func() { _ = http.Serve(l, http.HandlerFunc(b.serveList)) }()
			break
		}
	}
	if b.platform == "" {
		return nil, fmt.Errorf("%w: no free loopback address", errNotReady)
	}
	b.commands, err = deployCommands("deploy/system.toml")
	return b, err
}

func (b *bed) addr(n, port int) string { return fmt.Sprintf("%s.%d:%d", b.net, n, port) }

// deployCommands returns the commands of the deploy file by role.
func deployCommands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out, role := map[string][]string{}, ""
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if r, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(r, "]")
		}
		if v, ok := strings.CutPrefix(line, "run"); ok && role != "" {
			_, v, _ = strings.Cut(v, "=")
			out[role] = strings.Fields(strings.Trim(strings.TrimSpace(v), `"`))
		}
	}
	return out, nil
}

// serveList is the platform's list of servers.
func (b *bed) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	shown := time.Now().Add(-listLag)
	b.mu.Lock()
	var list []listed
	for i, s := range b.history {
		if i == 0 || !s.at.After(shown) {
			list = s.list
		}
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}

// setList changes the list; the platform shows it listLag later.
func (b *bed) setList(list ...listed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history = append(b.history, snapshot{time.Now(), append([]listed(nil), list...)})
}

// settings returns the settings file of a process.
func (b *bed) settings(n *node, seeds []string, data string) string {
	serves := map[string]string{"entry": "edge", "control": "control"}[n.role]
	var s strings.Builder
	fmt.Fprintf(&s, "nodeName = %q\nrole = %q\nmachineClass = \"edge\"\nserves = [%q]\nip = %q\nzone = \"zone-a\"\nregion = \"region\"\nportRange = [%d,%d]\n", n.name, n.role, serves, n.ip, portRPC, portRPC+15)
	fmt.Fprintf(&s, "seeds = [%s]\nbootstrap = true\ncountsAsLoss = %v\ndataDir = %q\ndiscovery = \"cloud_api\"\nentry = \"vip\"\nheartbeatMs = 1200\n", strings.Join(seeds, ","), data != "", data)
	fmt.Fprintf(&s, "contracts = [%s]\nconfigMode = \"highest\"\n[zones]\nzone-a = \"region\"\n[listen]\n", b.site.contracts)
	if n.role == "entry" {
		fmt.Fprintf(&s, "front = \"%s:%d\"\nready = \"%s:%d\"\n", n.ip, portFront, n.ip, portReady)
	} else {
		fmt.Fprintf(&s, "control = \"%s:%d\"\n", n.ip, portControl)
	}
	fmt.Fprintf(&s, "[limits]\ncpuShare = 0.72\ncores = 1\nmemoryMb = %d\nmaxFds = %d\nlinkMbps = 1000.0\ndiskMb = 64\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n%s", b.site.memoryMB, b.site.maxFDs, b.site.bounds)
	fmt.Fprintf(&s, "[cloudApi]\naddress = %q\nratePerS = 47.0\nduties = []\nmaxLagMs = %d\n", b.platform, maxLagMs)
	return s.String()
}

// startSystem starts three control hosts and some entries: nodes 11 to 13 and 21 on.
func (b *bed) startSystem(entries int) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", b.addr(11+i, portControl)))
	}
	for i := range 3 + entries {
		n := &node{role: "control", ip: fmt.Sprintf("%s.%d", b.net, 11+i)}
		data := ""
		if i >= 3 {
			n.role, n.ip = "entry", fmt.Sprintf("%s.%d", b.net, 21+i-3)
		} else {
			data = filepath.Join(b.dir, fmt.Sprintf("data-%d", i))
			if err := os.MkdirAll(data, 0o755); err != nil {
				return err
			}
		}
		n.name = fmt.Sprintf("%s-%d", n.role, i)
		if err := b.start(n, seeds, data); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) start(n *node, seeds []string, data string) error {
	run := b.commands[n.role]
	if len(run) == 0 {
		return fmt.Errorf("%w: %s", errNoProgram, n.role)
	}
	path := filepath.Join(b.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(b.settings(n, seeds, data)), 0o600); err != nil {
		return err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(b.dir, n.name+".log")); err != nil {
		return err
	}
	n.cmd = exec.Command(run[0], run[1:]...)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "CASSIAPASS_CONFIG=" + path}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func() { _ = n.cmd.Wait(); close(n.ended) }()
	b.nodes = append(b.nodes, n)
	b.rec.printf("start %s: %s", n.name, strings.Join(run, " "))
	return nil
}

// entryNode returns the i-th entry.
func (b *bed) entryNode(i int) *node { return b.nodes[3+i] }

func (b *bed) front(i int) string { return b.addr(21+i, portFront) }

// deploy sends a config until a control host acknowledges it, and waits until the entries are ready.
func (b *bed) deploy(config map[string]any, entries int) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	acked := false
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && !acked; time.Sleep(200 * time.Millisecond) {
		for i := range 3 {
			req, err := http.NewRequest(http.MethodPut, "http://"+b.addr(11+i, portControl)+"/config", bytes.NewReader(body))
			if err != nil {
				return err
			}
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				acked = true
				break
			}
		}
	}
	if !acked {
		return fmt.Errorf("%w: no ack of the config", errNotReady)
	}
	b.rec.printf("config acknowledged: %s", body)
	for i := range entries {
		ready := false
		for until := time.Now().Add(15 * time.Second); time.Now().Before(until) && !ready; time.Sleep(100 * time.Millisecond) {
			resp, err := client.Get("http://" + b.addr(21+i, portReady) + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%w: entry %d", errNotReady, i)
		}
	}
	// Longer than contactMs of either site, so that every machine is in touch.
	time.Sleep(4500 * time.Millisecond)
	b.rec.printf("entries are ready")
	return nil
}

// route returns a route of a config.
func route(name, prefix, kind string, timeoutMs, attempts int, resume bool) map[string]any {
	return map[string]any{"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "sloMs": 300, "priority": 1, "service": "app", "attempts": attempts, "sessionAffinity": false, "canResume": resume, "targetGapMs": 1000}
}

// config returns a config with one plain service.
func config(routes ...map[string]any) map[string]any {
	return map[string]any{"version": 7, "routes": routes,
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConns": 260, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// close ends all processes and copies what they logged of the requests.
func (b *bed) close(keepLogs bool) {
	for _, c := range b.others {
		_ = c.Process.Kill()
	}
	for _, n := range b.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(graceTime)
	for _, n := range b.nodes {
		select {
		case <-n.ended:
		case <-time.After(time.Until(deadline)):
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
		_ = n.log.Close()
	}
	if keepLogs {
		for _, n := range b.nodes {
			if n.role == "entry" {
				b.copyLog(n)
			}
		}
	}
	_ = os.RemoveAll(b.dir)
}

// copyLog writes what an entry logged of single requests to the record, at most some lines.
func (b *bed) copyLog(n *node) {
	text, err := os.ReadFile(n.log.Name())
	if err != nil {
		return
	}
	lines := 0
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, "request=") && lines < 80 {
			b.rec.printf("log of %s: %s", n.name, line)
			lines++
		}
	}
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: bed-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*bed, bool) (bool, error){"slow-reader": slowReader, "steady-reader": steadyReader, "killed-entry": killedEntry, "same-id": sameID, "removed-server": removedServer}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	b.rec.printf("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := run(b, trouble)
	b.close(true)
	switch {
	case err != nil:
		b.rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		b.rec.printf("the rule was broken")
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	b.rec.printf("the rule held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
