package crowd

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 20 * time.Millisecond

// Usage is what a process has held at most since Watch.
type Usage struct {
	Memory int // resident set and Kernel, in bytes
	Kernel int // bytes that the kernel holds for connections to the listeners, unread or unacknowledged
	Files  int // open descriptors
}

// Watcher samples what a process holds.
type Watcher struct {
	pid       int
	listeners []string // as the kernel writes them
	over      chan struct{}
	once      sync.Once
	ended     sync.WaitGroup
	most      Usage
}

// Watch starts to sample a process with listeners, IP numbers and ports.
func Watch(pid int, listeners ...string) *Watcher {
	w := &Watcher{pid: pid, over: make(chan struct{})}
	for _, addr := range listeners {
		w.listeners = append(w.listeners, kernelAddr(addr))
	}
	w.ended.Go(func() {
		for {
			select {
			case <-w.over:
				return
			case <-time.After(sampleInterval):
				w.sample()
			}
		}
	})
	return w
}

// Stop ends sampling and returns the most that the process has held.
func (w *Watcher) Stop() Usage {
	w.once.Do(func() { close(w.over) })
	w.ended.Wait()
	return w.most
}

func (w *Watcher) sample() {
	kernel := kernelBytes(w.listeners)
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	w.most.Memory = max(w.most.Memory, residentSet(w.pid)+kernel)
	w.most.Kernel = max(w.most.Kernel, kernel)
	w.most.Files = max(w.most.Files, len(open))
}

// residentSet returns the resident set of a process in bytes, 0 if it has ended.
func residentSet(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb << 10
}

// Lives reports whether a process runs.
func Lives(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	return err == nil && !strings.Contains(string(text), "State:\tZ")
}

// kernelAddr returns an IPv4 address and port as /proc/net/tcp writes them.
func kernelAddr(addr string) string {
	a := netip.MustParseAddrPort(addr)
	ip := a.Addr().AsSlice()
	slices.Reverse(ip)
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), a.Port())
}

// tcpListen is the state of a listening socket in /proc/net/tcp.
const tcpListen = "0A"

// kernelBytes returns the bytes that the kernel holds, unread or unacknowledged, for connections to
// listeners.
func kernelBytes(listeners []string) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := 0
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == tcpListen || !slices.Contains(listeners, f[1]) {
			continue
		}
		var tx, rx int
		if _, err := fmt.Sscanf(f[4], "%X:%X", &tx, &rx); err == nil {
			sum += tx + rx
		}
	}
	return sum
}
