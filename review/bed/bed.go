// Package bed starts the project's platform program on loopback as a small deployment: hosts with
// control and an entry each, the platform's list of servers, an operator and requesters. Servers are
// the cases' own. The cases of the review use it; it is no part of the product.
package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Offsets of the ports beyond the range of the internal protocols.
const (
	portOperators = 8
	portFront     = 10
	portReady     = 11
	portServers   = 12
)

// Instance is an entry of the platform's list of servers.
type Instance struct {
	ID       string   `json:"id"`
	Born     int64    `json:"born"`
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version"`
	Slots    int      `json:"slots"`
	State    string   `json:"state"`
	ColdLeft int      `json:"coldRemainingMs"`
	Models   []string `json:"models"`
}

// Site holds what the settings of a site differ in.
type Site struct {
	Machines        int // of those with a disk, the loss of so many must be borne at once
	ContactMS       int
	AckMS           int
	CatchUpS        int
	DrainMS         int
	ConfigApplyMS   int
	MaxStretchMS    int
	RetrySlack      int
	RecoverS        int
	PassMS          int
	RequireFence    bool
	LinkMbps        float64
	MemoryMB        int
	ListCallsPerSec float64
}

// Kyu is the site kyu-outage, Rcalo the site rcalo-renew, and CorribGrown the site corrib-bookings-grown.
var (
	Rcalo       = Site{Machines: 1, ContactMS: 3000, AckMS: 4000, CatchUpS: 4, DrainMS: 3000, ConfigApplyMS: 2000, MaxStretchMS: 5000, RetrySlack: 62, RecoverS: 12, PassMS: 120, RequireFence: true, LinkMbps: 1000, MemoryMB: 284, ListCallsPerSec: 47}
	Kyu         = Site{Machines: 1, ContactMS: 3000, AckMS: 4000, CatchUpS: 4, DrainMS: 3000, ConfigApplyMS: 2000, MaxStretchMS: 5000, RetrySlack: 64, RecoverS: 12, PassMS: 120, RequireFence: true, LinkMbps: 1000, MemoryMB: 284, ListCallsPerSec: 47}
	CorribGrown = Site{Machines: 2, ContactMS: 4000, AckMS: 5000, CatchUpS: 6, DrainMS: 4000, ConfigApplyMS: 2500, MaxStretchMS: 6000, RetrySlack: 92, RecoverS: 15, PassMS: 200, LinkMbps: 100, MemoryMB: 184, ListCallsPerSec: 47}
)

// Bed is one running deployment.
type Bed struct {
	Hosts []*Host
	Site  Site

	program string
	dir     string
	net     int
	base    int
	listen  net.Listener
	list    *http.Server
	hold    net.Listener // keeps the loopback network for this run

	mu        sync.Mutex
	instances func() []Instance
	record    *os.File
	begun     time.Time
}

// Host is one machine with control and an entry.
type Host struct {
	Name string
	IP   string
	b    *Bed
	dir  string
	disk bool

	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

// New prepares a deployment of machines, the first ones with a disk. record is the file that Logf writes to.
func New(disks, diskless int, record string) (*Bed, error) {
	program, err := filepath.Abs("target/cassiapass-platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the program first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &Bed{Site: Kyu, program: program, dir: dir, base: 21000 + 16*rand.IntN(500), record: f, begun: time.Now()}
	for range 100 {
		b.net = 1 + rand.IntN(250)
		if b.hold, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:20999", b.net)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if b.listen, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.list = &http.Server{Handler: http.HandlerFunc(b.serveList)}
	go func() { _ = b.list.Serve(b.listen) }()
	for i := range disks + diskless {
		h := &Host{Name: fmt.Sprintf("edge-%d", i+1), IP: fmt.Sprintf("127.%d.1.%d", b.net, i+1), b: b, disk: i < disks, procs: map[string]*exec.Cmd{}}
		h.dir = filepath.Join(dir, h.Name)
		if err := os.Mkdir(h.dir, 0o700); err != nil {
			return nil, err
		}
		b.Hosts = append(b.Hosts, h)
	}
	return b, nil
}

// Logf writes a line with the time since the start to the record.
func (b *Bed) Logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%9.4f  %s\n", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
}

// ServerAddr returns the address of the i-th server, from 0.
func (b *Bed) ServerAddr(i int) string {
	return fmt.Sprintf("127.%d.9.%d:%d", b.net, i+1, b.base+portServers)
}

// SetList sets what answers calls for the platform's list.
func (b *Bed) SetList(list func() []Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = list
}

func (b *Bed) serveList(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	list := b.instances
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list(), "next": nil})
}

// Start starts all processes for the first time.
func (b *Bed) Start() error {
	for _, h := range b.Hosts {
		for _, role := range []string{"entry", "control"} {
			if err := h.Start(role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// Stop ends all processes that the bed started and removes its files.
func (b *Bed) Stop() {
	for _, h := range b.Hosts {
		for _, role := range []string{"entry", "control"} {
			h.Kill(role)
		}
	}
	_ = b.list.Close()
	_ = b.hold.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

func (h *Host) addr(port int) string { return fmt.Sprintf("%s:%d", h.IP, h.b.base+port) }

// Front is the address for requesters.
func (h *Host) Front() string { return h.addr(portFront) }

// Operators is the address for operators.
func (h *Host) Operators() string { return h.addr(portOperators) }

// LogPath is the file that a role of this machine writes its log to.
func (h *Host) LogPath(role string) string { return filepath.Join(h.dir, role+".log") }

// Start starts a role with its settings file.
func (h *Host) Start(role string, first bool) error {
	path := filepath.Join(h.dir, role+".toml")
	if err := os.WriteFile(path, []byte(h.settings(role, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(h.LogPath(role), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.b.program, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CASSIAPASS_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.procs[role] = cmd
	return nil
}

// Kill ends a role by SIGKILL and waits for it.
func (h *Host) Kill(role string) {
	h.mu.Lock()
	cmd := h.procs[role]
	delete(h.procs, role)
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// Signal sends a signal to a role.
func (h *Host) Signal(role string, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cmd := h.procs[role]; cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// WipeDisk removes the data of a role that was killed.
func (h *Host) WipeDisk(role string) error { return os.RemoveAll(h.dataDir(role)) }

func (h *Host) dataDir(role string) string {
	if !h.disk {
		return ""
	}
	return filepath.Join(h.dir, "data-"+role)
}

// settings returns the settings file of a role, with the bounds of the site.
func (h *Host) settings(role string, first bool) string {
	var seeds []string
	for _, o := range h.b.Hosts[:min(3, len(h.b.Hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.addr(portOperators)))
	}
	serves := "edge"
	if role == "control" {
		serves = "control"
	}
	site := h.b.Site
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = "edge"
serves = [%q]
ip = %q
zone = "fukuoka"
region = "kyushu"
portRange = [%d,%d]
seeds = [%s]
bootstrap = %v
countsAsLoss = true
dataDir = %q
discovery = "cloud_api"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine"]
configMode = "highest"
[zones]
fukuoka = "kyushu"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.72
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = %v
diskMb = 64
[faultTolerance]
machines = %d
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = %d
ackMs = %d
catchUpS = %d
drainMs = %d
graceS = 8
lossSlackMs = 200
configApplyMs = %d
rollbackSlackMs = 250
maxStretchMs = %d
retryBudget = 0.2
budgetWindowS = 10
retrySlack = %d
recoverS = %d
passMs = %d
retryAfterS = 0
requireFence = %v
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
loadCeilingFactor = 1.1
[cloudApi]
address = %q
ratePerS = %.1f
duties = []
maxLagMs = 800
`, h.Name, role, serves, h.IP, h.b.base, h.b.base+7, strings.Join(seeds, ","), first, h.dataDir(role),
		h.addr(portFront), h.addr(portReady), h.addr(portOperators), site.MemoryMB, site.LinkMbps, site.Machines,
		site.ContactMS, site.AckMS, site.CatchUpS, site.DrainMS, site.ConfigApplyMS, site.MaxStretchMS, site.RetrySlack, site.RecoverS, site.PassMS, site.RequireFence,
		h.b.listen.Addr().String(), site.ListCallsPerSec)
}

// Route is a route of a configuration.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	RouteType  string `json:"routeType"`
	TimeoutMS  int    `json:"timeoutMs"`
	SLOMS      int    `json:"sloMs"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	CanResume  bool   `json:"canResume"`
	MaxGapMS   int    `json:"targetGapMs,omitempty"`
}

// Service is a service of a configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// Config is a configuration.
type Config struct {
	Version  uint64         `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// DefaultLimits are the limits of the site's configurations.
func DefaultLimits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// Encode returns the configuration as it is sent.
func (c Config) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

// Put sends a configuration to a machine and returns the status of the answer.
func (h *Host) Put(text []byte, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+h.Operators()+"/config", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// Get reads the configuration at a machine.
func (h *Host) Get(timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Operators()+"/config", nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// PutUntilAcked sends a configuration as an operator does, to one machine after the other, until one
// acknowledges it. It returns the time that took.
func (b *Bed) PutUntilAcked(text []byte, limit time.Duration) (time.Duration, error) {
	begin := time.Now()
	for i := 0; time.Since(begin) < limit; i++ {
		status, err := b.Hosts[i%len(b.Hosts)].Put(text, time.Second)
		if err == nil && status == http.StatusOK {
			return time.Since(begin), nil
		}
		if err == nil && status >= 400 && status < 500 {
			return 0, fmt.Errorf("the configuration was refused with %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errors.New("no machine acknowledged the configuration")
}

// Ready waits until all entries report that they are ready.
func (b *Bed) Ready(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range b.Hosts {
		for {
			resp, err := http.Get("http://" + h.addr(portReady) + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
