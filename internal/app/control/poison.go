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
	_ = c.loop.do(func() { r = c.loop.st.Poison() })
	return r
}

// CommitPoison records in the log which requests are quarantined and which no longer are. It
// returns nil when the change is committed, and an error on a host that does not lead.
func (c *Control) CommitPoison(ctx context.Context, n poison.Change) error {
	_, err := c.proposeHere(ctx, state.Command{By: "control", Poison: &n})
	return err
}

// notifyPoison calls onPoison if the quarantined requests have changed. It runs in the loop.
func (l *loop) notifyPoison() {
	r := l.st.Poison()
	if l.onPoison == nil || r.Equal(l.notifiedPoison) {
		return
	}
	l.notifiedPoison = r
	l.onPoison(r)
}

// QuarantinePath is the path at which operators list and lift quarantined requests. For a
// lift, the fingerprint follows it.
const QuarantinePath = "/v1/quarantine"

// ServeQuarantine answers an operator with the quarantined requests: a []poison.Case.
func (c *Control) ServeQuarantine(x echo.Context) error {
	cases := []poison.Case{}
	if err := c.readCurrent(x, func(s *state.State) { cases = append(cases, s.Poison().Cases...) }); err != nil {
		return nil
	}
	return x.JSON(http.StatusOK, cases)
}

// ServeLift lifts the quarantine of a request on behalf of an operator.
func (c *Control) ServeLift(x echo.Context) error {
	f, err := poison.Parse(x.Param("fingerprint"))
	if err != nil {
		return x.JSON(http.StatusBadRequest, Failure{Code: string(state.Invalid), Message: err.Error()})
	}
	return c.decide(x, state.Command{By: operatorName(x), Poison: &poison.Change{Lift: []poison.Fingerprint{f}}})
}
