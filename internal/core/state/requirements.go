package state

import (
	"slices"
	"time"

	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
)

// Requirements are the requirements of one target, aggregated over all records in force.
type Requirements struct {
	Bytes       int64         // largest size in any record
	Min, Max    int           // replicas, summed over the records: each sells its own replicas
	FirstAnswer time.Duration // shortest in any record
	Weight      float64       // largest weight of tail cold-start time in any record
	Places      []string
}

// RequirementsOf returns the requirements of a target, and false if no record in force names it.
func (s *State) RequirementsOf(t ident.Target) (Requirements, bool) {
	st, ok := s.requirements[t]
	return st, ok
}

// EachTarget calls f for every target of the records in force, in unspecified order.
func (s *State) EachTarget(f func(ident.Target, Requirements)) {
	for t, st := range s.requirements {
		f(t, st)
	}
}

// recomputeRequirements aggregates the requirements of all targets from the records.
func (s *State) recomputeRequirements() {
	clear(s.requirements)
	for _, r := range s.records {
		if r.service == nil {
			continue
		}
		for i := range r.service.Models {
			s.addModel(r.service, &r.service.Models[i])
		}
	}
}

func (s *State) addModel(svc *record.Service, m *record.Model) {
	base := ident.Target{Model: m.Name, Version: m.Version}
	s.addTarget(svc, m, base, m.Bytes, m.MinReplicas)
	for _, a := range m.Adapters {
		t := base
		t.Adapter, t.AdapterVersion = a.Name, a.Version
		s.addTarget(svc, m, t, a.Bytes, 0)
	}
}

func (s *State) addTarget(svc *record.Service, m *record.Model, t ident.Target, bytes int64, minReplicas int) {
	st, seen := s.requirements[t]
	st.Bytes = max(st.Bytes, bytes)
	st.Min += minReplicas
	st.Max += m.MaxReplicas
	st.Weight = max(st.Weight, svc.Weight)
	if !seen || m.FirstAnswer < st.FirstAnswer {
		st.FirstAnswer = m.FirstAnswer
	}
	if !slices.Contains(st.Places, svc.Place) {
		st.Places = append(slices.Clip(st.Places), svc.Place)
	}
	s.requirements[t] = st
}
