package control

import (
	"context"

	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// Poison returns the quarantined requests, as this host has applied them.
func (c *Control) Poison() poison.Registry {
	var r poison.Registry
	_ = c.loop.with(func() { r = c.loop.st.Poison() })
	return r
}

// NotePoison notes in the log which requests are quarantined and which no more. It returns
// nil when that is decided; a host that does not lead decides nothing.
func (c *Control) NotePoison(ctx context.Context, n poison.Note) error {
	_, err := c.proposeHere(ctx, state.Command{By: "control", Poison: &n})
	return err
}

// notePoison tells the owner of a change of the quarantined requests. It runs in the loop.
func (l *loop) notePoison() {
	r := l.st.Poison()
	if l.onPoison == nil || r.Equal(l.toldPoison) {
		return
	}
	l.toldPoison = r
	l.onPoison(r)
}
