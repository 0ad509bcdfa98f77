package simdisk

import (
	"math/rand/v2"
)

const (
	maxHoles  = 3
	tornWays  = 3 // holes of zeros, holes of garbage, an early end
	lossKinds = 3 // present, missing, torn
)

// file is an open file of one process.
type file struct {
	disk    *Disk
	inode   *inode
	process int
	closed  bool
}

// begin counts an operation on the file. The caller holds the disk's mu.
func (f *file) begin() error {
	if f.closed || f.process != f.disk.process {
		return ErrStopped
	}
	return f.disk.begin()
}

// Write implements port.File. A process that ends at a write has written part of it.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	off := len(f.inode.content())
	if err := f.begin(); err != nil {
		if f.process == f.disk.process && !f.closed && f.disk.ops == f.disk.stopAt && len(p) > 0 {
			part := p[:f.disk.rand.IntN(len(p))]
			f.inode.pending = append(f.inode.pending, change{off: off, data: append([]byte{}, part...)})
			f.disk.stopAt = 0
		}
		return 0, err
	}
	if f.disk.failing {
		return 0, ErrIO
	}
	f.inode.pending = append(f.inode.pending, change{off: off, data: append([]byte{}, p...)})
	return len(p), nil
}

// Sync implements port.File.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	if f.disk.failing {
		f.inode.lost = append(f.inode.lost, f.inode.pending...)
		f.inode.pending = nil
		return ErrIO
	}
	f.inode.store()
	return nil
}

// Close implements port.File.
func (f *file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.closed = true
	return nil
}

// content returns what processes read.
func (n *inode) content() []byte {
	b := append([]byte{}, n.synced...)
	for _, c := range n.lost {
		b = c.apply(b)
	}
	for _, c := range n.pending {
		b = c.apply(b)
	}
	return b
}

// store makes the pending changes durable, but not those of a failed sync.
func (n *inode) store() {
	for _, c := range n.pending {
		n.synced = c.apply(n.synced)
	}
	n.pending = nil
}

// losePower replaces the content by what remains after a loss of power.
func (n *inode) losePower(r *rand.Rand, what Remains) {
	b := append([]byte{}, n.synced...)
	for _, c := range n.pending {
		switch kind := r.IntN(lossKinds); {
		case what == All || what == Random && kind == 0:
			b = c.apply(b)
		case what == Random && kind == 1:
			b = c.torn(r).apply(b)
		}
	}
	n.synced, n.pending, n.lost = b, nil, nil
}

// apply returns b with the change; a gap before it holds zeros.
func (c change) apply(b []byte) []byte {
	out := make([]byte, max(len(b), c.off+len(c.data)))
	copy(out, b)
	copy(out[c.off:], c.data)
	return out
}

// torn returns a write of which a part is missing.
func (c change) torn(r *rand.Rand) change {
	if len(c.data) == 0 {
		return c
	}
	data := append([]byte{}, c.data...)
	way := r.IntN(tornWays)
	if way == 0 {
		return change{off: c.off, data: data[:r.IntN(len(data))]}
	}
	for range 1 + r.IntN(maxHoles) {
		from := r.IntN(len(data))
		hole := data[from : from+1+r.IntN(len(data)-from)]
		clear(hole)
		for i := range hole {
			if way == 1 {
				hole[i] = byte(r.Uint32())
			}
		}
	}
	return change{off: c.off, data: data}
}
