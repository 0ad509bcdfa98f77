package replay

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

const gigabyte = 1e9

// generator generates a trace from a seed. The same seed gives the same trace.
type generator struct {
	r     *rand.Rand
	t     *Trace
	bases []ident.Target
	all   []ident.Target // bases and adapters
	size  map[ident.Target]int64
}

func newGenerator(seed uint64, name string) *generator {
	return &generator{
		r: rand.New(rand.NewPCG(seed, 7)), size: map[ident.Target]int64{},
		t: &Trace{World: World{Name: name, Accelerator: 80 * gigabyte, StoreConcurrent: 4, StoreSpeed: 2 * gigabyte, DiskSpeed: 5 * gigabyte, MemorySpeed: 20 * gigabyte, FirstToken: 0.2, PerToken: 0.02}},
	}
}

// hosts adds n endpoints, spread over the availability zones.
func (g *generator) hosts(n int, zones []ident.Zone, memory int64) {
	for i := range n {
		g.t.World.Endpoints = append(g.t.World.Endpoints, WorldHost{
			Host: ident.HostID(fmt.Sprintf("pool-%02d", i+1)), Zone: zones[i%len(zones)], Memory: memory, Slots: 16,
		})
	}
}

// models adds n models of 4 to 80 GB, log-uniform, and adapters of 50 to 400 MB
// of these models.
func (g *generator) models(n, adapters int) {
	for i := range n {
		t := ident.Target{Model: fmt.Sprintf("model-%03d", i+1), Version: "1"}
		g.bases = append(g.bases, t)
		g.size[t] = int64(4 * gigabyte * math.Pow(20, g.r.Float64()))
	}
	g.all = slices.Clone(g.bases)
	for i := range adapters {
		t := g.bases[g.r.IntN(n)]
		t.Adapter, t.AdapterVersion = fmt.Sprintf("adapter-%03d", i+1), "1"
		g.all = append(g.all, t)
		g.size[t] = int64(50e6 + g.r.Float64()*350e6)
	}
}

// fillDisks puts each checkpoint on each endpoint's disk with probability share, so
// that the caches differ.
func (g *generator) fillDisks(share float64) {
	for i := range g.t.World.Endpoints {
		for _, t := range g.all {
			if g.r.Float64() < share {
				g.t.World.Endpoints[i].Disk = append(g.t.World.Endpoints[i].Disk, t)
			}
		}
	}
}

// genRecord is the JSON form of a record, with the fields that the generator sets.
type genRecord struct {
	SchemaVersion int           `json:"schemaVersion"`
	Service       string        `json:"service"`
	Place         string        `json:"place"`
	Weight        float64       `json:"coldStartWeight"`
	FirstAnswer   string        `json:"firstAnswer"`
	Replicas      genBounds     `json:"replicas"`
	Customers     []genCustomer `json:"customers"`
	Models        []genModel    `json:"models"`
}

type genBounds struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

type genCustomer struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keyDigests"`
	Sold     int      `json:"replicasSold"`
	Rate     float64  `json:"ratePerSecond"`
	Priority string   `json:"priority,omitempty"`
}

type genModel struct {
	Name        string       `json:"name"`
	Version     string       `json:"version"`
	Bytes       int64        `json:"bytes"`
	StartWithin string       `json:"startWithin,omitempty"`
	Adapters    []genAdapter `json:"adapters,omitempty"`
}

type genAdapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// record adds a record with every model for the given customers.
func (g *generator) record(place string, weight float64, start time.Duration, customers []genCustomer) {
	rec := genRecord{SchemaVersion: 2, Service: place, Place: place, Weight: weight, FirstAnswer: "1.9s", Replicas: genBounds{Max: 3}, Customers: customers}
	for _, b := range g.bases {
		m := genModel{Name: b.Model, Version: b.Version, Bytes: g.size[b], StartWithin: start.String()}
		for _, a := range g.all {
			if a.IsAdapter() && a.Base() == b {
				m.Adapters = append(m.Adapters, genAdapter{a.Adapter, a.AdapterVersion, g.size[a]})
			}
		}
		rec.Models = append(rec.Models, m)
	}
	raw, err := json.Marshal(rec)
	if err != nil {
		panic("invariant: replay: record cannot be encoded: " + err.Error())
	}
	g.t.World.Records = append(g.t.World.Records, string(raw))
}

func customers(prefix string, n int, priority record.Priority) []genCustomer {
	var out []genCustomer
	for i := range n {
		name := fmt.Sprintf("%s-%d", prefix, i+1)
		out = append(out, genCustomer{Name: name, Keys: []string{record.FormatDigest(record.DigestKey(name))}, Sold: 1, Rate: 1000, Priority: string(priority)})
	}
	return out
}

func (g *generator) request(at float64, c string, t ident.Target, deadline float64) {
	g.t.Lines = append(g.t.Lines, Line{At: at, Kind: KindRequest, Customer: ident.Customer(c), Target: t, In: 200 + g.r.IntN(800), Out: 40 + g.r.IntN(200), Deadline: deadline, Repeatable: true})
}

func (g *generator) fault(l Line) { g.t.Lines = append(g.t.Lines, l) }

func (g *generator) trace() *Trace {
	slices.SortStableFunc(g.t.Lines, func(a, b Line) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return g.t
}

// sessions adds requests for one target: sessions of a few requests each, with
// heavy-tailed pauses between them.
func (g *generator) sessions(t ident.Target, customer func() string, from, to, meanPause, deadline float64) {
	at := from + g.r.Float64()*meanPause
	for at < to {
		for k := range 1 + g.r.IntN(5) {
			g.request(at+float64(k)*g.r.ExpFloat64()*6, customer(), t, deadline)
		}
		at += meanPause * math.Pow(g.r.Float64(), -0.6) * 0.4
	}
}

// group draws targets that are requested together: n bases, each with some of
// its adapters.
func (g *generator) group(n int) []ident.Target {
	var out []ident.Target
	for range n {
		b := g.bases[g.r.IntN(len(g.bases))]
		out = append(out, b)
		for _, a := range g.all {
			if a.IsAdapter() && a.Base() == b && g.r.Float64() < 0.5 {
				out = append(out, a)
			}
		}
	}
	return out
}

// burst adds requests for targets between at and at+spread seconds, most of them
// at the start.
func (g *generator) burst(at, spread float64, targets []ident.Target, customers []genCustomer, requests int, deadline float64) {
	for range requests {
		off := spread * math.Pow(g.r.Float64(), 2)
		g.request(at+off, customers[g.r.IntN(len(customers))].Name, targets[g.r.IntN(len(targets))], deadline)
	}
}

// Kyushu generates six hours at the Consortium with three storms, which cause
// bursts: 18 endpoints of the shared pool, 100 models, 120 adapters, and a store
// of 10 loads/s, 4 of them concurrent. The 4 endpoints of the intake application
// are plain services, need no loads and are left out.
func Kyushu(seed uint64, faults bool) *Trace {
	const hours, deadline = 6, 60.0
	g := newGenerator(seed, "kyushu")
	g.t.World.Entries, g.t.World.StoreRate = 4, 10
	g.hosts(18, []ident.Zone{"fukuoka", "kumamoto", "kagoshima", "oita"}, 160*gigabyte)
	g.models(100, 120)
	g.fillDisks(0.1)
	members := customers("utility", 8, record.Interactive)
	g.record("kyushu", 0.8, deadline*time.Second, members)
	anyone := func() string { return members[g.r.IntN(len(members))].Name }
	for _, t := range g.all {
		g.sessions(t, anyone, 0, hours*3600, 1800+g.r.Float64()*9000, deadline)
	}
	area := g.group(8)
	for _, at := range []float64{3600, 3.5 * 3600, 5 * 3600} {
		g.burst(at, 120, area, members, 1500, deadline)
	}
	if faults {
		g.fault(Line{At: 3605, Kind: KindLeaderLost, Seconds: 0.8})
		g.fault(Line{At: 3620, Kind: KindDeath, Endpoint: "pool-03", Seconds: 120})
		g.fault(Line{At: 3.5*3600 - 5, Kind: KindStoreSlow, Factor: 10, Seconds: 90})
		g.fault(Line{At: 5*3600 + 10, Kind: KindReclaim, Endpoint: "pool-07", Seconds: 10})
	}
	return g.trace()
}

// Kigali generates a day at the Licensing Office: offices open at eight, and
// inspectors send batches of certificates at night. There are 12 endpoints, 65
// models, 80 adapters, and a store of 7 loads/s, 4 of them concurrent.
func Kigali(seed uint64, faults bool) *Trace {
	const deadline = 60.0
	g := newGenerator(seed, "kigali")
	g.t.World.Entries, g.t.World.StoreRate = 3, 7
	g.hosts(12, []ident.Zone{"nyarugenge", "gasabo", "kicukiro", "remera"}, 160*gigabyte)
	g.models(65, 80)
	g.fillDisks(0.1)
	offices := customers("office", 6, record.Interactive)
	inspectors := customers("inspectors", 2, record.Batch)
	g.record("kigali", 0.3, time.Hour, append(slices.Clone(offices), inspectors...))
	clerk := func() string { return offices[g.r.IntN(len(offices))].Name }
	for _, t := range g.all {
		g.sessions(t, clerk, 8*3600, 17*3600, 2400+g.r.Float64()*9000, deadline)
	}
	g.burst(8*3600, 600, g.group(10), offices, 1500, deadline)
	for range 6 {
		t := g.bases[g.r.IntN(len(g.bases))]
		at := 20*3600 + g.r.Float64()*3*3600
		for k := range 300 {
			g.request(at+float64(k)*0.5, inspectors[g.r.IntN(2)].Name, t, 3600)
		}
	}
	if faults {
		g.fault(Line{At: 8*3600 + 5, Kind: KindLeaderLost, Seconds: 0.8})
		g.fault(Line{At: 8*3600 + 20, Kind: KindDeath, Endpoint: "pool-02", Seconds: 120})
		g.fault(Line{At: 21 * 3600, Kind: KindStoreSlow, Factor: 10, Seconds: 300})
	}
	return g.trace()
}

// Random generates a short trace with scarce memory and random faults, to search
// for violations of the guarantees.
func Random(seed uint64) *Trace {
	g := newGenerator(seed, "random")
	g.t.World.Entries, g.t.World.StoreRate = 1+g.r.IntN(3), 5
	n := 2 + g.r.IntN(3)
	g.hosts(n, []ident.Zone{"a", "b"}, int64(60+g.r.IntN(100))*gigabyte)
	g.models(3+g.r.IntN(6), 4)
	g.fillDisks(0.2)
	cs := customers("customer", 3, record.Interactive)
	g.record("place", g.r.Float64(), 30*time.Second, cs)
	for range 60 {
		g.request(g.r.Float64()*120, cs[g.r.IntN(3)].Name, g.all[g.r.IntN(len(g.all))], 5+g.r.Float64()*25)
	}
	for range g.r.IntN(5) {
		host := g.t.World.Endpoints[g.r.IntN(n)].Host
		at := g.r.Float64() * 120
		switch g.r.IntN(4) {
		case 0:
			g.fault(Line{At: at, Kind: KindDeath, Endpoint: host, Seconds: 1 + g.r.Float64()*60})
		case 1:
			g.fault(Line{At: at, Kind: KindReclaim, Endpoint: host, Seconds: g.r.Float64() * 10})
		case 2:
			g.fault(Line{At: at, Kind: KindStoreSlow, Factor: 10, Seconds: 20})
		default:
			g.fault(Line{At: at, Kind: KindLeaderLost, Seconds: 1})
		}
	}
	return g.trace()
}
