// Package simdisk is a file system in memory that can end a process or lose power at any
// operation.
//
// Fault model. What File.Sync and SyncDir covered when they returned stays. When a process is
// killed, everything that it wrote stays readable, synced or not. When power is lost, each later
// write is present, missing or torn, where a torn write has holes of zeros or garbage or ends
// early, and each name that was created, renamed or removed has any of the files that it named
// since its folder was synced, or none, independently of other names. After a failed sync the
// bytes that it did not store stay readable until power is lost, and later syncs succeed without
// storing them.
package simdisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/cassiapass/cassiapass/internal/port"
)

// ErrStopped is returned by every operation after the process has ended.
var ErrStopped = errors.New("the process has ended")

// ErrIO is returned by operations of a disk that fails.
var ErrIO = errors.New("input/output error")

// Remains selects what a loss of power leaves of what was not synced.
type Remains int

// The choices.
const (
	Random  Remains = iota // each write and name by itself, at random
	Nothing                // all unsynced writes and names are gone
	All                    // all unsynced writes and names are kept
)

// Disk is a disk and the processes' view of it. It is safe for concurrent use.
type Disk struct {
	mu      sync.Mutex
	rand    *rand.Rand
	live    map[string]*inode   // names as processes see them
	durable map[string]*inode   // names since the last sync of their folder
	renamed map[string][]*inode // files, or nil, that a name had since then
	ops     int
	stopAt  int // operation at which the process ends, 0 for never
	stopped bool
	failing bool // writes and syncs fail
	process int  // number of the present process
}

// inode is the content of a file.
type inode struct {
	synced  []byte
	pending []change // since the last successful sync
	lost    []change // not stored by a failed sync
}

// change is a write at an offset.
type change struct {
	off  int
	data []byte
}

var _ port.FS = (*Disk)(nil)

// New returns an empty disk whose losses are drawn from a seed.
func New(seed uint64) *Disk {
	return &Disk{rand: rand.New(rand.NewPCG(seed, 1)), live: map[string]*inode{}, durable: map[string]*inode{}, renamed: map[string][]*inode{}}
}

// Ops returns the number of operations so far that change the disk.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// StopAfter ends the process before the n-th operation from now that changes the disk.
func (d *Disk) StopAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopAt = d.ops + n
}

// SetFailing makes writes and syncs fail or succeed again.
func (d *Disk) SetFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// Kill ends the process. A new one finds everything that was written.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restart()
}

func (d *Disk) restart() {
	d.process++
	d.stopAt, d.stopped = 0, false
}

// LosePower ends the process and loses what was not synced.
func (d *Disk) LosePower(r Remains) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range sortedKeys(d.renamed) {
		candidates := append([]*inode{d.durable[name]}, d.renamed[name]...)
		keep := d.rand.IntN(len(candidates))
		switch r {
		case Nothing:
			keep = 0
		case All:
			keep = len(candidates) - 1
		}
		bind(d.durable, name, candidates[keep])
	}
	d.live, d.renamed = map[string]*inode{}, map[string][]*inode{}
	for _, name := range sortedKeys(d.durable) {
		n := d.durable[name]
		n.losePower(d.rand, r)
		d.live[name] = n
	}
	d.restart()
}

// Corrupt applies f to the stored content of a file.
func (d *Disk) Corrupt(name string, f func([]byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live[name].synced = f(d.live[name].synced)
}

// Names returns the paths of all files, sorted.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedKeys(d.live)
}

// Clone returns an independent copy whose losses are drawn from another seed.
func (d *Disk) Clone(seed uint64) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := New(seed)
	copies := map[*inode]*inode{nil: nil}
	copied := func(n *inode) *inode {
		if _, ok := copies[n]; !ok {
			copies[n] = &inode{synced: n.synced, pending: slices.Clone(n.pending), lost: slices.Clone(n.lost)}
		}
		return copies[n]
	}
	for name, n := range d.live {
		c.live[name] = copied(n)
	}
	for name, n := range d.durable {
		c.durable[name] = copied(n)
	}
	for name, ns := range d.renamed {
		for _, n := range ns {
			c.renamed[name] = append(c.renamed[name], copied(n))
		}
	}
	c.ops, c.process = d.ops, d.process
	return c
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func bind(names map[string]*inode, name string, n *inode) {
	if n == nil {
		delete(names, name)
		return
	}
	names[name] = n
}

// begin counts an operation that changes the disk. The caller holds mu.
func (d *Disk) begin() error {
	if d.stopped {
		return ErrStopped
	}
	d.ops++
	if d.ops == d.stopAt {
		d.stopped = true
		return ErrStopped
	}
	return nil
}

// rename binds a name for processes and records it for a loss of power.
func (d *Disk) rename(name string, n *inode) {
	bind(d.live, name, n)
	d.renamed[name] = append(d.renamed[name], n)
}

// MkdirAll implements port.FS. Folders need not be created.
func (d *Disk) MkdirAll(string) error { return nil }

// Lock implements port.FS. Every process gets the lock.
func (d *Disk) Lock(string) (func() error, bool, error) {
	return func() error { return nil }, true, nil
}

// List implements port.FS.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, ErrStopped
	}
	var out []string
	for _, name := range sortedKeys(d.live) {
		if rest, ok := strings.CutPrefix(name, dir+"/"); ok && !strings.Contains(rest, "/") {
			out = append(out, rest)
		}
	}
	return out, nil
}

// ReadFile implements port.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, ErrStopped
	}
	n, ok := d.live[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return n.content(), nil
}

// Create implements port.FS.
func (d *Disk) Create(name string) (port.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return nil, err
	}
	if d.live[name] != nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrExist}
	}
	n := &inode{}
	d.rename(name, n)
	return &file{disk: d, inode: n, process: d.process}, nil
}

// Rename implements port.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return err
	}
	n, ok := d.live[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	d.rename(to, n)
	d.rename(from, nil)
	return nil
}

// Remove implements port.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.live[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	if err := d.begin(); err != nil {
		return err
	}
	d.rename(name, nil)
	return nil
}

// SyncDir implements port.FS.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
		return err
	}
	for name := range d.renamed {
		if path.Dir(name) == dir {
			bind(d.durable, name, d.live[name])
			delete(d.renamed, name)
		}
	}
	return nil
}
