package fleet

import "time"

// notableLoad is the share of an endpoint's slots in use from which entries are told of its
// load. Below it an endpoint answers as soon as an idle one, so a choice between two such
// endpoints needs no figures.
const notableLoad = 0.25

// interestTime is how long after an entry's last request for a model the entry is told of the
// loads of the model's engines.
const interestTime = 10 * time.Second

// Loads holds the requests in progress, over all entries, of the endpoints with a notable
// load, by the models that they hold; under "" those of endpoints without models.
type Loads map[string]map[EndpointID]int

// Loads returns the loads that entries may have to know.
func (p *Planner) Loads() Loads {
	p.sumReports()
	out := Loads{}
	for id, e := range p.engines {
		if e.running == 0 || float64(e.running) < notableLoad*p.places(e) {
			continue
		}
		if len(e.held) == 0 {
			out.add("", id, e.running)
		}
		for name := range e.held {
			out.add(name, id, e.running)
		}
	}
	return out
}

func (l Loads) add(model string, id EndpointID, running int) {
	if l[model] == nil {
		l[model] = map[EndpointID]int{}
	}
	l[model][id] = running
}

// Interests holds the models that each entry has asked for lately. An entry needs the loads
// of their engines alone. If it were told of all engines, what the leader sends would grow
// with the square of the fleet, as entries and engines grow together.
type Interests map[string]map[string]time.Time // entry to model to its last request

// Record records the models that an entry's report names.
func (i Interests) Record(now time.Time, entry string, demands []Demand) {
	models := i[entry]
	if models == nil {
		models = map[string]time.Time{}
		i[entry] = models
	}
	for name, at := range models {
		if now.Sub(at) > interestTime {
			delete(models, name)
		}
	}
	for _, d := range demands {
		models[d.Want.Model] = now
	}
}

// Forget drops what an entry has asked for.
func (i Interests) Forget(entry string) { delete(i, entry) }

// Of returns the loads that an entry needs for its next requests.
func (i Interests) Of(entry string, all Loads) map[EndpointID]int { return OfInterest(i, entry, all) }

// OfInterest returns, of values by model and endpoint, those that an entry needs for its next
// requests.
func OfInterest[V any](i Interests, entry string, all map[string]map[EndpointID]V) map[EndpointID]V {
	out := map[EndpointID]V{}
	add := func(model string) {
		for id, v := range all[model] {
			out[id] = v
		}
	}
	add("")
	for model := range i[entry] {
		add(model)
	}
	return out
}
