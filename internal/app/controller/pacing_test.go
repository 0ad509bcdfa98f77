package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// Guards against an entry that gets no new deployment for seconds because other entries
// take all slots on the leader's link while deployments follow each other quickly.
func TestNoEntryIsStarvedOnTheLeadersLink(t *testing.T) {
	is := is.New(t)
	const (
		entries = 100
		size    = 100_000 // bytes of a deployment: all entries together take 2 s
		pause   = maxSendWait
	)
	pub := newPublisher(5e6)
	begin := time.Unix(1000, 0)
	version := func(now time.Time) int { return int(now.Sub(begin) / (800 * time.Millisecond)) }
	held := make([]int, entries)
	sentAt := make([]time.Time, entries)
	for i := range sentAt {
		held[i], sentAt[i] = -1, begin
	}
	longest := time.Duration(0)
	for now := begin; now.Sub(begin) < 8*time.Second; now = now.Add(pause) {
		for i := range entries {
			if held[i] == version(now) {
				sentAt[i] = now
				continue
			}
			if wait, ok := pub.reserve(now, ident.HostID(fmt.Sprint(i)), size); ok {
				held[i], sentAt[i] = version(now), now.Add(wait)
			}
			longest = max(longest, now.Sub(sentAt[i]))
		}
	}
	is.True(longest < 3*time.Second)
}
