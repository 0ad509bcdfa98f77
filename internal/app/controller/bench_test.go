package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/core/deploy"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// manyEngines is a fleet of engines that hold two models each and have some on disk.
type manyEngines struct{ eps []fleet.Endpoint }

func (f *manyEngines) List(context.Context) (fleet.Listing, error) {
	return fleet.Listing{Endpoints: f.eps, Calls: 4}, nil
}

func (f *manyEngines) Report(_ context.Context, q fleet.Query) (fleet.Report, error) {
	for _, ep := range f.eps {
		if ep.ID == q.Endpoint {
			return fleet.Report{Held: ep.Held, Copies: ep.Copies}, nil
		}
	}
	return fleet.Report{}, nil
}

func (f *manyEngines) Order(context.Context, fleet.Order, uint64) fleet.Answer { return fleet.Accepted }

const (
	benchEngines = 180
	benchModels  = 586
	benchEntries = 105
)

func benchFleet() (*manyEngines, *deploy.Config) {
	models := map[string]*deploy.Model{}
	name := func(i int) string { return fmt.Sprintf("model%04x", i%benchModels) }
	for i := range benchModels {
		models[name(i)] = &deploy.Model{Name: name(i), Megabytes: 16100 + int64(i%2)*18200, AdapterSize: 40, Adapters: i % 3,
			FromStore: 13 * time.Second, FromDisk: 500 * time.Millisecond, FromMemory: 300 * time.Millisecond}
	}
	f := &manyEngines{}
	for i := range benchEngines {
		ep := fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprintf("i-%08x", i)), Service: "llm", Addr: fmt.Sprintf("10.1.%d.%d:8164", i/200, i%200), Zone: ident.Zone(fmt.Sprintf("zone-%d", i%6)), Slots: 16}
		ep.Held = []fleet.Held{{Model: name(2 * i), Version: 1, Adapters: []string{"a1", "a2"}}, {Model: name(2*i + 1), Version: 1}}
		for m := range 12 {
			ep.Copies.Disk = append(ep.Copies.Disk, name(2*i+37*m))
		}
		f.eps = append(f.eps, ep)
	}
	dep := &deploy.Config{Version: 3, Services: map[string]*deploy.Service{"llm": {Name: "llm", Engine: &deploy.Engine{
		Slots: 16, ModelMegabytes: 83000, AdapterSlots: 8, StoreLoads: 82, Models: models}}}}
	return f, dep
}

// benchReport returns a report of a busy entry, which sends five or more a second.
func benchReport(entry, round int) wire.TellParams {
	p := wire.TellParams{Host: ident.HostID(fmt.Sprintf("edge-fukuoka-%d", entry))}
	for i := range 6 {
		m := (entry*31 + round*17 + i*53) % benchModels
		d := fleet.Demand{Want: fleet.Want{Model: fmt.Sprintf("model%04x", m)}, Arrived: 1}
		if i == 0 {
			d.Add(100*time.Millisecond, 9*time.Second, 300*time.Millisecond)
		}
		p.Demands = append(p.Demands, d)
	}
	for i := range 8 {
		e := (entry*7 + round*3 + i*29) % benchEngines
		p.Uses = append(p.Uses, fleet.Use{Endpoint: fleet.EndpointID(fmt.Sprintf("i-%08x", e)), Want: fleet.Want{Model: fmt.Sprintf("model%04x", 2*e%benchModels)}, Running: 1, Sent: 1})
	}
	return p
}

// BenchmarkLeader measures the leader's work for 180 engines and 105 busy entries: in one
// second it gets 7 reports from each entry, plans every 10 ms and sends 9 answers to each.
// One operation is a tenth of that second.
func BenchmarkLeader(b *testing.B) {
	f, dep := benchFleet()
	c := New(Config{Fleet: f, Decode: func(string) (*deploy.Config, error) { return dep, nil }, Planner: fleet.DefaultConfig(), Host: "h1", Log: zerolog.Nop()})
	lead := leading(1)
	c.host = lead
	c.pub.setDeployment(lead.LocalDeployment())
	now := time.Now()
	c.host = &testHost{}
	c.beginTerm(now, 1)
	c.applyDeployment()
	c.listOK = true
	c.planner.List(now, now, f.eps)
	for e := range benchEntries {
		c.entries[fmt.Sprintf("edge-fukuoka-%d", e)] = now.Add(time.Hour)
	}
	var reports [][]byte
	for e := range benchEntries * 7 {
		raw, err := json.Marshal(benchReport(e%benchEntries, e))
		if err != nil {
			b.Fatal(err)
		}
		reports = append(reports, raw)
	}
	rev, round := uint64(0), 0
	size := 0
	for b.Loop() {
		for range len(reports) / 10 {
			var p wire.TellParams
			if err := json.Unmarshal(reports[round%len(reports)], &p); err != nil {
				b.Fatal(err)
			}
			c.planner.RecordDemand(now, string(p.Host), p.Demands, p.Uses)
			round++
		}
		for range 10 {
			now = now.Add(10 * time.Millisecond)
			for _, q := range c.planner.Plan(now).Queries {
				r, _ := f.Report(b.Context(), q)
				c.planner.Reported(now, q.Endpoint, r)
			}
			c.publish(now)
		}
		for e := range benchEntries * 9 / 10 {
			r, _, _ := c.pub.answer(wire.PullParams{Host: ident.HostID(fmt.Sprint(e)), Term: 1, Rev: rev, Version: 3})
			raw, err := json.Marshal(r)
			if err != nil {
				b.Fatal(err)
			}
			size += len(raw)
		}
		rev = c.rev
	}
	b.ReportMetric(float64(size)/float64(b.N), "told-bytes/op")
}
