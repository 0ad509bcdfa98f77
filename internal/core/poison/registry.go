package poison

import "slices"

// maxQuarantined bounds a Registry; when it is full the oldest quarantine is dropped.
const maxQuarantined = 256

// Registry is the part of the replicated state that concerns quarantines: the key of the
// fingerprints, and the quarantined cases.
type Registry struct {
	Key   Key    `json:"key,omitempty"`
	Cases []Case `json:"cases,omitempty"` // oldest first
}

// Change is one change of a Registry. Where the leader keeps a LeaderBook, the leader decides what is
// quarantined and submits it (Add, Lift). Where entries submit commands through the control
// host to which they are subscribed, they submit what they observe (Ends, Answered), and the
// state machine counts.
type Change struct {
	Key  Key           `json:"key,omitempty"`  // ignored if a key is set already
	Add  []Case        `json:"add,omitempty"`  // to be quarantined
	Lift []Fingerprint `json:"lift,omitempty"` // no longer quarantined

	Ends     []End         `json:"ends,omitempty"`     // observed
	Answered []Fingerprint `json:"answered,omitempty"` // completely, though ends were observed
}

// Next returns the registry after a change. The first key is kept: fingerprints made with
// another key would match no known request. Quarantines end only by a Change, never by the time
// of day, on which hosts do not agree and which may jump.
func (r Registry) Next(n Change) Registry {
	if len(r.Key) == 0 {
		r.Key = n.Key
	}
	removed := slices.Clone(n.Lift)
	for _, c := range n.Add {
		removed = append(removed, c.Request)
	}
	r.Cases = slices.DeleteFunc(slices.Clone(r.Cases), func(c Case) bool {
		return slices.Contains(removed, c.Request)
	})
	r.Cases = append(r.Cases, n.Add...)
	r.Cases = r.Cases[max(0, len(r.Cases)-maxQuarantined):]
	return r
}

// Has reports whether a request is quarantined.
func (r Registry) Has(f Fingerprint) bool {
	return slices.ContainsFunc(r.Cases, func(c Case) bool { return c.Request == f })
}

// Equal reports whether two registries have the same key, cases and times of quarantine.
func (r Registry) Equal(o Registry) bool {
	same := func(a, b Case) bool { return a.Request == b.Request && a.Quarantined.Equal(b.Quarantined) }
	return slices.Equal(r.Key, o.Key) && slices.EqualFunc(r.Cases, o.Cases, same)
}
