package poison

import "slices"

// mostQuarantined bounds a Registry; the oldest quarantine makes way.
const mostQuarantined = 256

// Registry is what the replicated log keeps: the key of the fingerprints, and the
// quarantines.
type Registry struct {
	Key   Key    `json:"key,omitempty"`
	Cases []Case `json:"cases,omitempty"` // oldest first
}

// Note is one change of a Registry. Where the leader keeps a Docket, it decides and notes
// what is quarantined. Where entries speak to the group through whichever host they are
// subscribed to, they note what they see, and the log counts.
type Note struct {
	Key  Key           `json:"key,omitempty"`  // taken if there is none yet
	Add  []Case        `json:"add,omitempty"`  // quarantined
	Lift []Fingerprint `json:"lift,omitempty"` // not quarantined any more

	Ends     []End         `json:"ends,omitempty"`     // seen
	Answered []Fingerprint `json:"answered,omitempty"` // whole, though ends were seen
}

// Next returns the registry after a note. The first key stays: fingerprints made with
// another one would name nothing that is known. Quarantines end by a note alone: the time of
// day, which hosts do not agree on and which may jump, decides nothing.
func (r Registry) Next(n Note) Registry {
	if len(r.Key) == 0 {
		r.Key = n.Key
	}
	gone := slices.Clone(n.Lift)
	for _, c := range n.Add {
		gone = append(gone, c.Request)
	}
	r.Cases = slices.DeleteFunc(slices.Clone(r.Cases), func(c Case) bool {
		return slices.Contains(gone, c.Request)
	})
	r.Cases = append(r.Cases, n.Add...)
	r.Cases = r.Cases[max(0, len(r.Cases)-mostQuarantined):]
	return r
}

// Has reports whether a request is quarantined.
func (r Registry) Has(f Fingerprint) bool {
	return slices.ContainsFunc(r.Cases, func(c Case) bool { return c.Request == f })
}

// Equal reports whether nothing differs between two registries.
func (r Registry) Equal(o Registry) bool {
	same := func(a, b Case) bool { return a.Request == b.Request && a.Quarantined.Equal(b.Quarantined) }
	return slices.Equal(r.Key, o.Key) && slices.EqualFunc(r.Cases, o.Cases, same)
}
