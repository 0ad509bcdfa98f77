package gateway

import (
	"time"

	"github.com/cassiapass/cassiapass/internal/core/allowance"
	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/notice"
)

// minWakeGap is the shortest time between two looks of the requests that wait for the end of
// pauses.
const minWakeGap = 10 * time.Millisecond

// Events of values that cannot be read.
const (
	eventPauseUnreadable   = "endpoint_pause_unreadable"
	eventLeavingUnreadable = "endpoint_leaving_unreadable"
)

// waitingFor is what a request waits for.
type waitingFor struct {
	service string
	want    fleet.Want
}

// pauseState is what an entry knows of a pause, for decisions and logs.
type pauseState struct {
	endpoint fleet.EndpointID // "" if there is none
	reason   notice.Reason
	asked    time.Duration // as the endpoint said; 0 if it named no time
	request  string        // whose answer said it
	at       time.Time     // when that was read
	until    time.Time     // when the next request may be sent there
	expected time.Time     // when the request in question may
}

// observeNotices records what the head of an answer says of pauses and leaving. What an answer of
// another process at the address says does not concern the endpoint.
func (d *directory) observeNotices(e *endpoint, v AnswerFields) {
	if v.WrongEndpoint || !v.Leaving.Leaving && v.Leaving.Unreadable == "" && !v.Pause.Named {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h := notice.Heard{At: time.Now(), Request: v.ID}
	if v.Leaving.Unreadable != "" {
		d.logUnreadable(e.ID, eventLeavingUnreadable, v.Leaving.Unreadable)
	}
	if v.Leaving.Leaving && d.notices.LeavingHeard(h, string(e.ID)) {
		d.log.Info().Str("endpoint", string(e.ID)).Str("request", v.ID).Bool("listed_leaving", e.Leaving).Int("mine", e.ownRunning).Msg("endpoint_says_it_leaves")
		d.metrics.recordLeaving(e.ID)
		d.signalNotice()
		d.wakeLocked() // requests may wait for it
	}
	if !v.Pause.asks() {
		return
	}
	if !v.Pause.Readable {
		d.logUnreadable(e.ID, eventPauseUnreadable, v.Pause.Text)
	}
	if d.notices.PauseAsked(h, string(e.ID), v.Pause.For, v.Pause.Readable) {
		s := d.notices.State(h.At, string(e.ID))
		d.log.Info().Str("endpoint", string(e.ID)).Str("request", v.ID).Str("text", v.Pause.Text).Dur("kept", s.Pause.Until.Sub(h.At)).Dur("first_send", s.Until.Sub(h.At)).Int("mine", e.ownRunning).Msg("endpoint_asks_for_pause")
		id := string(e.ID)
		d.metrics.recordPause(e.ID, func() float64 { return d.pauseLeft(id).Seconds() })
		d.signalNotice()
	}
}

// unreadableLog identifies a kind of unreadable value of one endpoint's answers.
type unreadableLog struct {
	id    fleet.EndpointID
	event string
}

// logUnreadable logs a value of an endpoint's answers that cannot be read, the first of each kind.
// The caller holds mu.
func (d *directory) logUnreadable(id fleet.EndpointID, event, text string) {
	k := unreadableLog{id, event}
	if !d.unreadableLogged[k] {
		d.unreadableLogged[k] = true
		d.log.Warn().Str("endpoint", string(id)).Str("text", text).Msg(event)
	}
}

// pauseLeft returns how much of a pause is left.
func (d *directory) pauseLeft(id string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return max(d.notices.State(now, id).Pause.Until.Sub(now), 0)
}

// signalNotice has the leader told soon. The caller holds mu.
func (d *directory) signalNotice() {
	select {
	case d.noticed <- struct{}{}:
	default: // a report is pending already
	}
}

// paused reports whether a pause, or the slope after it, keeps a request from an endpoint now, and
// sets s to the pause that lets it go first. The caller holds mu.
func (d *directory) paused(now time.Time, e *endpoint, w *allowance.Waiter, s *pauseState) bool {
	id := string(e.ID)
	st := d.notices.State(now, id)
	if st.Reason == notice.None && !d.notices.Pacing(id) {
		return false
	}
	ahead := d.waitersAhead(e, w)
	if st.Reason == notice.None && ahead == 0 {
		return false
	}
	p := pauseState{endpoint: e.ID, reason: st.Reason, asked: st.Pause.For, request: st.Pause.Request, at: st.Pause.At, until: st.Until, expected: d.notices.Expect(now, id, ahead)}
	if s.endpoint == "" || p.expected.Before(s.expected) {
		*s = p
	}
	return true
}

// waitersAhead returns how many requests that wait for the end of pauses go to an endpoint before
// w. The caller holds mu.
func (d *directory) waitersAhead(e *endpoint, w *allowance.Waiter) int {
	n := 0
	for o, f := range d.waiters {
		if o != w && f.service == e.Service && (f.want.Model == "" || e.holds(f.want)) && o.Before(w) {
			n++
		}
	}
	return n
}

// wakeAt has waiting requests look again at an instant. The caller holds mu.
func (d *directory) wakeAt(now, at time.Time) {
	if at.Before(now.Add(minWakeGap)) {
		at = now.Add(minWakeGap)
	}
	if !d.nextWake.IsZero() && !at.Before(d.nextWake) {
		return
	}
	d.nextWake = at
	time.AfterFunc(at.Sub(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.nextWake.After(time.Now()) {
			d.nextWake = time.Time{}
		}
		d.wakeLocked()
	})
}

// sending identifies a request that is being sent.
type sending struct{ ticket notice.Ticket }

// beginSend is the last check before a request is sent: its endpoint may have asked for a pause, or
// said that it leaves, since it was chosen.
func (d *directory) beginSend(e *endpoint) (sending, notice.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	ticket, reason := d.notices.Send(now, string(e.ID))
	if reason != notice.None {
		d.metrics.countWithheld(e.ID)
	}
	return sending{ticket}, reason
}

// sendEnded records that the answer to a request has begun, or will not.
func (d *directory) sendEnded(e *endpoint, s sending, taken, turnedAway bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices.SendEnded(time.Now(), string(e.ID), s.ticket, taken, turnedAway)
}

// returnPermit returns the permit of a request that was not sent.
func (d *directory) returnPermit(e *endpoint, w *allowance.Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.Return(string(e.ID), w)
	d.signalPermits(time.Now())
}

// noticeReports returns what is to be reported to the leader.
func (d *directory) noticeReports(now time.Time) []notice.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.Reports(now)
}

// advisePauses applies what the leader tells of pauses that other entries were asked for.
func (d *directory) advisePauses(all []notice.Advice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices.Advise(time.Now(), all)
}

// pruneNotices drops what no longer matters.
func (d *directory) pruneNotices(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices.Prune(now, func(id string) bool { return d.byID[fleet.EndpointID(id)] != nil })
}
