package replay

import (
	"slices"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Bound is a lower bound on cold-start times, in seconds, that no policy which
// loads on demand can beat by much. It is computed with knowledge of the whole
// trace and without several limits.
type Bound struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Cold int     `json:"cold"`
}

// LowerBound schedules the loads of a trace under ideal conditions: memory never
// runs out, a target stays loaded, messages take no time, a checkpoint is read
// from disk if any endpoint has it there, and the store serves the shortest
// remaining load first, with preemption (the order with the least total waiting
// on shared bandwidth). A load still begins only when the first request for its
// target has arrived, so the bound is the cost of cold starts without prefetch.
func LowerBound(t *Trace) Bound {
	w := t.World
	size := sizes(w)
	onDisk := map[ident.Target]bool{}
	for _, e := range w.Endpoints {
		for _, d := range e.Disk {
			onDisk[d] = true
		}
	}
	ready := map[ident.Target]float64{}
	first := map[ident.Target]float64{}
	var queue []*boundLoad
	now := 0.0
	run := func(until float64) {
		for len(queue) > 0 && now < until {
			slices.SortFunc(queue, func(a, b *boundLoad) int {
				if a.left < b.left {
					return -1
				}
				return 1
			})
			active := queue[:min(w.StoreConcurrent, len(queue))]
			d := min(active[0].left/w.StoreSpeed, until-now)
			now += d
			for _, l := range active {
				l.left -= d * w.StoreSpeed
			}
			kept := queue[:0:0]
			for _, l := range queue {
				if l.left <= 1 {
					ready[l.target] = now
					continue
				}
				kept = append(kept, l)
			}
			queue = kept
		}
		now = until
	}
	var cold []struct {
		at     float64
		target ident.Target
	}
	for _, l := range t.Lines {
		if l.Kind != KindRequest {
			continue
		}
		run(l.At)
		for _, tg := range []ident.Target{l.Target.Base(), l.Target} {
			if _, seen := first[tg]; seen {
				continue
			}
			first[tg] = l.At
			if onDisk[tg] {
				ready[tg] = l.At + float64(size[tg])/w.DiskSpeed
				continue
			}
			queue = append(queue, &boundLoad{tg, float64(size[tg])})
		}
		b, okBase := ready[l.Target.Base()]
		a, okTarget := ready[l.Target]
		if !okBase || !okTarget || max(a, b) > l.At {
			cold = append(cold, struct {
				at     float64
				target ident.Target
			}{l.At, l.Target})
		}
	}
	run(now + 1e9)
	var waits []float64
	for _, c := range cold {
		waits = append(waits, max(ready[c.target], ready[c.target.Base()])-c.at+w.FirstToken)
	}
	slices.Sort(waits)
	if len(waits) == 0 {
		return Bound{}
	}
	return Bound{P50: waits[len(waits)/2], P99: waits[len(waits)*99/100], Cold: len(waits)}
}

type boundLoad struct {
	target ident.Target
	left   float64
}

func sizes(w World) map[ident.Target]int64 {
	out := map[ident.Target]int64{}
	for _, raw := range w.Records {
		svc, err := record.Parse(record.Text(raw))
		if err != nil {
			continue
		}
		for _, m := range svc.Models {
			t := ident.Target{Model: m.Name, Version: m.Version}
			out[t] = m.Bytes
			for _, a := range m.Adapters {
				t.Adapter, t.AdapterVersion = a.Name, a.Version
				out[t] = a.Bytes
			}
		}
	}
	return out
}
