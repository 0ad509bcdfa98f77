package controller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/core/fleet"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/notice"
)

// publishNotices passes what endpoints asked of entries to the planner, and the pauses among it
// to the entries that may need them.
func (c *Controller) publishNotices(now time.Time) {
	all := c.notices.All(now, func(id string) bool { return c.planner.Knows(fleet.EndpointID(id)) })
	if len(all) == 0 && c.noticed == 0 {
		return
	}
	c.noticed = len(all)
	for _, s := range all {
		if s.Leaving && !c.leavingLogged[s.Endpoint] {
			c.leavingLogged[s.Endpoint] = true
			c.cfg.Log.Info().Str("endpoint", s.Endpoint).Strs("heard_by", s.HeardBy).Msg("endpoint_says_it_leaves")
		}
	}
	notices := make(map[fleet.EndpointID]fleet.Notice, len(all))
	for _, s := range all {
		n := fleet.Notice{Leaving: s.Leaving, Refusing: len(s.Refusing) > 0}
		if s.Pause > 0 {
			n.PausedUntil = now.Add(s.Pause)
		}
		notices[fleet.EndpointID(s.Endpoint)] = n
	}
	c.planner.SetNotices(notices)
	c.pub.setNotices(now, all)
}

// publishedPause is a pause by this host's clock.
type publishedPause struct {
	until   time.Time
	entries int
}

// setNotices sets what is known of pauses and leaving. It wakes no call, as setLoads.
func (pub *publisher) setNotices(now time.Time, all []notice.Status) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	pub.notices = all
	pub.pauses = map[string]map[fleet.EndpointID]publishedPause{}
	for _, s := range all {
		if s.Pause > 0 {
			addByModel(pub, pub.pauses, fleet.EndpointID(s.Endpoint), publishedPause{now.Add(s.Pause), len(s.Paused)})
		}
	}
}

// pausesFor returns the pauses of the endpoints that an entry needs. The caller holds mu.
func (pub *publisher) pausesFor(now time.Time, entry ident.HostID) []notice.Advice {
	var out []notice.Advice
	for id, p := range fleet.OfInterest(pub.interests, string(entry), pub.pauses) {
		if left := p.until.Sub(now); left > 0 {
			out = append(out, notice.Advice{Endpoint: string(id), Pause: left, Entries: p.entries})
		}
	}
	return out
}

// NoticesPath is the path of the operator API at which pauses and leaving are read.
const NoticesPath = "/v1/notices"

// ServeNotices answers an operator's request with a []notice.Status. Only the leader has it.
func (c *Controller) ServeNotices(x echo.Context) error {
	all, leads := c.pub.noticeStatus()
	if !leads {
		return c.notLeader(x)
	}
	return x.JSON(http.StatusOK, all)
}

// noticeStatus returns what is known of pauses and leaving; false if this host does not lead.
func (pub *publisher) noticeStatus() ([]notice.Status, bool) {
	pub.mu.Lock()
	defer pub.mu.Unlock()
	if pub.notices == nil {
		return []notice.Status{}, pub.leading
	}
	return pub.notices, pub.leading
}
