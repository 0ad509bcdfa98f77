package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Kind is the kind of a line of a trace.
type Kind string

// The kinds of lines. The first line is the world; the others are ordered by
// time.
const (
	KindWorld      Kind = "world"
	KindRequest    Kind = "request"
	KindDeath      Kind = "endpoint-death" // endpoint and engine die and restart after Seconds
	KindReclaim    Kind = "host-reclaimed" // the host is listed as leaving and stops permanently after Seconds
	KindStoreSlow  Kind = "store-slow"     // the store is Factor times slower for Seconds
	KindLeaderLost Kind = "leader-lost"    // no leader for Seconds, then a new one that knows only the log
)

// Line is one line of a trace, encoded as JSON.
type Line struct {
	At   float64 `json:"at"` // seconds from the start
	Kind Kind    `json:"kind"`

	// Of requests.
	Customer   ident.Customer `json:"customer,omitempty"`
	Target     ident.Target   `json:"target,omitzero"`
	In         int            `json:"in,omitempty"`       // prompt tokens
	Out        int            `json:"out,omitempty"`      // generated tokens
	Deadline   float64        `json:"deadline,omitempty"` // seconds within which the answer has to start
	Repeatable bool           `json:"repeatable,omitempty"`

	// Of faults.
	Endpoint ident.HostID `json:"endpoint,omitempty"`
	Factor   float64      `json:"factor,omitempty"`
	Seconds  float64      `json:"seconds,omitempty"`

	World *World `json:"world,omitempty"`
}

// World describes the records, the endpoints and the speeds that a trace runs against.
type World struct {
	Name            string      `json:"name"`
	Records         []string    `json:"records"`
	Endpoints       []WorldHost `json:"endpoints"`
	Entries         int         `json:"entries"`
	Accelerator     float64     `json:"acceleratorBytes"` // memory of one accelerator, to compute accelerator hours
	StoreRate       float64     `json:"storeRate"`
	StoreConcurrent int         `json:"storeConcurrent"`
	StoreSpeed      float64     `json:"storeSpeed"` // bytes a second of one load at full speed
	DiskSpeed       float64     `json:"diskSpeed"`
	MemorySpeed     float64     `json:"memorySpeed"`
	FirstToken      float64     `json:"firstToken"` // seconds of prefill
	PerToken        float64     `json:"perToken"`   // seconds
}

// WorldHost describes one endpoint.
type WorldHost struct {
	Host   ident.HostID   `json:"host"`
	Zone   ident.Zone     `json:"zone"`
	Memory int64          `json:"memory"`
	Slots  int            `json:"slots"`
	Disk   []ident.Target `json:"disk,omitempty"` // checkpoints on disk at the start
}

// Trace is a world with the requests and faults to replay against it.
type Trace struct {
	World World
	Lines []Line
}

// Write writes a trace as JSON lines, the world first.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(Line{Kind: KindWorld, World: &t.World}); err != nil {
		return err
	}
	for _, l := range t.Lines {
		if err := enc.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

const maxLine = 64 << 20

// Read reads a trace and checks it.
func Read(r io.Reader) (*Trace, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	t := &Trace{}
	for n := 1; s.Scan(); n++ {
		var l Line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if (n == 1) != (l.Kind == KindWorld) {
			return nil, fmt.Errorf("line %d: the first line, and only that, is the world", n)
		}
		if n == 1 {
			if l.World == nil {
				return nil, fmt.Errorf("line 1: the world is missing")
			}
			t.World = *l.World
			continue
		}
		t.Lines = append(t.Lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	return t, t.check()
}

func (t *Trace) check() error {
	if !sorted(t.Lines) {
		return fmt.Errorf("the lines are not ordered by time")
	}
	for i, raw := range t.World.Records {
		if _, err := record.Parse(record.Text(raw)); err != nil {
			return fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	return nil
}

func sorted(ls []Line) bool {
	for i := 1; i < len(ls); i++ {
		if ls[i].At < ls[i-1].At {
			return false
		}
	}
	return true
}
