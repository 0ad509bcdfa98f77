package state

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Statement is what all records in force say of one target together.
type Statement struct {
	Bytes       int64         // the largest stated
	Min, Max    int           // summed over the records, because each sold its own share
	FirstAnswer time.Duration // the tightest promise
	Weight      float64       // the largest weight for tail cold-start time
	Places      []string
}

// Stated returns what the records say of a target, and false if none states it.
func (s *State) Stated(t ident.Target) (Statement, bool) {
	st, ok := s.stated[t]
	return st, ok
}

// EachStated calls f for every stated target, in no particular order.
func (s *State) EachStated(f func(ident.Target, Statement)) {
	for t, st := range s.stated {
		f(t, st)
	}
}

// restate recomputes the statements from the records.
func (s *State) restate() {
	clear(s.stated)
	for _, r := range s.records {
		if r.service == nil {
			continue
		}
		for i := range r.service.Models {
			s.stateModel(r.service, &r.service.Models[i])
		}
	}
}

func (s *State) stateModel(svc *record.Service, m *record.Model) {
	base := ident.Target{Model: m.Name, Version: m.Version}
	s.stateTarget(svc, m, base, m.Bytes, m.MinReplicas)
	for _, a := range m.Adapters {
		t := base
		t.Adapter, t.AdapterVersion = a.Name, a.Version
		s.stateTarget(svc, m, t, a.Bytes, 0)
	}
}

func (s *State) stateTarget(svc *record.Service, m *record.Model, t ident.Target, bytes int64, atLeast int) {
	st, seen := s.stated[t]
	st.Bytes = max(st.Bytes, bytes)
	st.Min += atLeast
	st.Max += m.MaxReplicas
	st.Weight = max(st.Weight, svc.Weight)
	if !seen || m.FirstAnswer < st.FirstAnswer {
		st.FirstAnswer = m.FirstAnswer
	}
	if !slices.Contains(st.Places, svc.Place) {
		st.Places = append(slices.Clip(st.Places), svc.Place)
	}
	s.stated[t] = st
}
