package poison

import "time"

// TrialTimeout is how long a trial lasts at most: a run whose endpoint neither answers nor ends is
// given up by then.
const TrialTimeout = 3 * time.Second

// Trials hands out trials of suspect parts: for each part at most one run is under way. The leader's
// Trials hold for all entries. The zero value is ready for use; it is not safe for concurrent use.
type Trials struct{ held map[Fingerprint]trial }

type trial struct {
	by    string // entry
	until time.Time
	ended bool // an endpoint ended under it
}

// Take hands out a trial of all given parts, which one request has, or of none.
func (t *Trials) Take(now time.Time, by string, parts []Fingerprint) bool {
	for _, f := range parts {
		if h, held := t.held[f]; held && now.Before(h.until) {
			return false
		}
	}
	for _, f := range parts {
		t.hold(f, trial{by: by, until: now.Add(TrialTimeout)})
	}
	return true
}

func (t *Trials) hold(f Fingerprint, h trial) {
	if t.held == nil {
		t.held = map[Fingerprint]trial{}
	}
	t.held[f] = h
}

// Over ends an entry's trial of a part, unless an endpoint ended under it.
func (t *Trials) Over(by string, f Fingerprint) {
	if h := t.held[f]; h.by == by && !h.ended {
		delete(t.held, f)
	}
}

// Ended records that an endpoint ended under a trial of a part: no other trial is handed out while
// that end counts.
func (t *Trials) Ended(now time.Time, f Fingerprint) {
	t.hold(f, trial{until: now.Add(CaseRetention), ended: true})
}

// Cleared ends the trial of a part that is not suspect any more.
func (t *Trials) Cleared(f Fingerprint) { delete(t.held, f) }

// Sweep removes trials that have timed out.
func (t *Trials) Sweep(now time.Time) {
	for f, h := range t.held {
		if !now.Before(h.until) {
			delete(t.held, f)
		}
	}
}
