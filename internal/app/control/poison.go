package control

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

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

// QuarantinePath is where operators list and lift quarantined requests. The fingerprint
// follows it for a lift.
const QuarantinePath = "/v1/quarantine"

// ServeQuarantine answers an operator with the quarantined requests: a []poison.Case.
func (c *Control) ServeQuarantine(x echo.Context) error {
	cases := []poison.Case{}
	if err := c.current(x, func(s *state.State) { cases = append(cases, s.Poison().Cases...) }); err != nil {
		return nil
	}
	return x.JSON(http.StatusOK, cases)
}

// ServeLift lets a quarantined request run again, on an operator's word.
func (c *Control) ServeLift(x echo.Context) error {
	f, err := poison.Parse(x.Param("fingerprint"))
	if err != nil {
		return x.JSON(http.StatusBadRequest, Failure{Code: string(state.Invalid), Message: err.Error()})
	}
	return c.decide(x, state.Command{By: operator(x), Poison: &poison.Note{Lift: []poison.Fingerprint{f}}})
}
