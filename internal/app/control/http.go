package control

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cassiapass/cassiapass/internal/adapter/clients"
	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/adapter/opshttp"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	operatorTimeout = 10 * time.Second
	// decodeFactor is how many bytes a change takes for each byte of its text while it is decoded and
	// decided.
	decodeFactor = 4
)

// Change is an operator's submission, revision or withdrawal.
type Change struct {
	Request string      `json:"request"`
	Base    ident.Index `json:"base"`
	Record  record.Text `json:"record,omitempty"`
	Reason  string      `json:"reason,omitempty"`
}

// Explanation explains why a target is, or is not, loaded.
type Explanation struct {
	Target   string              `json:"target"`
	Stated   *state.Requirements `json:"stated,omitempty"`
	Replicas []state.Replica     `json:"replicas"`
	Estimate *wire.EstimateIn    `json:"estimate,omitempty"`
	Events   []state.AuditEvent  `json:"events"`
}

// CodeBehind is the code of a membership change that has to wait until the
// member changed last has caught up.
const CodeBehind = "behind"

// Failure is the body of every error answer.
type Failure struct {
	Code    string        `json:"code"`
	Message string        `json:"message"`
	Present *state.Record `json:"present,omitempty"`
}

// API returns the operators' HTTP interface. token authenticates operators; an
// empty one disables authentication and must be enabled by an explicit flag.
func (c *Control) API(token string) *echo.Echo {
	e := opshttp.New(c.Ready, c.met.set)
	c.operatorRoutes(e.Group("/v1", authorize(token)))
	e.GET("/debug/state", func(x echo.Context) error { return x.JSON(http.StatusOK, c.ControlStatus()) }, authorize(token))
	return e
}

func (c *Control) operatorRoutes(g *echo.Group) {
	g.GET("/records", c.httpList)
	g.POST("/records", c.httpSubmit)
	g.GET("/records/:name", c.httpGet)
	g.POST("/records/:name/withdraw", c.httpWithdraw)
	g.GET("/audit", c.httpAudit)
	g.GET("/explain/:target", c.httpExplain)
	g.GET("/status", func(x echo.Context) error { return x.JSON(http.StatusOK, c.ControlStatus()) })
	g.POST("/members", c.httpMember)
	g.GET("/group", c.ServeGroup)
	g.GET("/quarantine", c.ServeQuarantine)
	g.DELETE("/quarantine/:fingerprint", c.ServeLift)
}

// authorize rejects requests without the operator's token, which it compares in constant
// time.
func authorize(token string) echo.MiddlewareFunc {
	want := sha256.Sum256([]byte(token))
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(x echo.Context) error {
			got := sha256.Sum256([]byte(strings.TrimPrefix(x.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")))
			if token != "" && subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
				return x.JSON(http.StatusUnauthorized, Failure{Code: "unauthorized", Message: "the operator token is missing or wrong"})
			}
			return next(x)
		}
	}
}

// readCurrent runs f on a state that holds everything committed before the request.
func (c *Control) readCurrent(x echo.Context, f func(*state.State)) error {
	ctx, cancel := context.WithTimeout(x.Request().Context(), operatorTimeout)
	defer cancel()
	if _, err := c.loop.barrier(ctx); err != nil {
		return unavailable(x, err)
	}
	if err := c.loop.do(func() { f(c.loop.st) }); err != nil {
		return unavailable(x, err)
	}
	return nil
}

func unavailable(x echo.Context, err error) error {
	code := "unavailable"
	if errors.Is(err, ErrLost) {
		code = "unknown" // it may have been committed; resend with the same request id
	}
	_ = x.JSON(http.StatusServiceUnavailable, Failure{Code: code, Message: err.Error()})
	return err
}

func (c *Control) httpList(x echo.Context) error {
	var out []state.Record
	if err := c.readCurrent(x, func(s *state.State) { out = s.Records() }); err != nil {
		return nil
	}
	if x.QueryParam("all") == "" {
		out = slices.DeleteFunc(out, func(r state.Record) bool { return r.Withdrawn })
	}
	return x.JSON(http.StatusOK, out)
}

func (c *Control) httpGet(x echo.Context) error {
	var rec state.Record
	var ok bool
	if err := c.readCurrent(x, func(s *state.State) { rec, ok = s.Record(x.Param("name")) }); err != nil {
		return nil
	}
	if !ok {
		return x.JSON(http.StatusNotFound, Failure{Code: string(state.NotFound), Message: "no such record"})
	}
	return x.JSON(http.StatusOK, rec)
}

// readChange reads an operator's request body.
func readChange(x echo.Context) (Change, error) {
	var ch Change
	body, err := httpserver.ReadBody(x.Request(), record.MaxBytes+1<<16)
	if err == nil && !httpserver.Reserve(x.Request(), decodeFactor*int64(len(body))) {
		err = clients.ErrCrowded
	}
	if err != nil {
		return ch, err
	}
	if err := json.Unmarshal(body, &ch); err != nil {
		return ch, err
	}
	return ch, nil
}

// refuseChange answers that a change could not be read.
func refuseChange(x echo.Context, err error) error {
	f := Failure{Code: string(state.Invalid), Message: err.Error()}
	switch {
	case errors.Is(err, clients.ErrCrowded):
		f.Code = "unavailable"
		x.Response().Header().Set("Retry-After", "1")
		return x.JSON(http.StatusServiceUnavailable, f)
	case errors.Is(err, httpserver.ErrTooLarge):
		return x.JSON(http.StatusRequestEntityTooLarge, f)
	}
	return x.JSON(http.StatusBadRequest, f)
}

func operatorName(x echo.Context) string {
	if by := x.Request().Header.Get("Cassiapass-Operator"); by != "" {
		return by
	}
	return "operator@" + x.RealIP()
}

func (c *Control) httpSubmit(x echo.Context) error {
	ch, err := readChange(x)
	if err != nil {
		return refuseChange(x, err)
	}
	// Rejected here before it takes an entry of the log; the state machine checks
	// again, because only its result is the same on all hosts.
	if _, err := record.Parse(ch.Record); err != nil {
		return x.JSON(http.StatusUnprocessableEntity, Failure{Code: string(state.Invalid), Message: err.Error()})
	}
	cmd := state.Command{By: operatorName(x), Submit: &state.Submit{Request: ch.Request, Base: ch.Base, Raw: ch.Record, Reason: ch.Reason}}
	return c.decide(x, cmd)
}

func (c *Control) httpWithdraw(x echo.Context) error {
	ch, err := readChange(x)
	if err != nil {
		return refuseChange(x, err)
	}
	cmd := state.Command{By: operatorName(x), Withdraw: &state.Withdraw{Request: ch.Request, Name: x.Param("name"), Base: ch.Base, Reason: ch.Reason}}
	return c.decide(x, cmd)
}

func (c *Control) decide(x echo.Context, cmd state.Command) error {
	ctx, cancel := context.WithTimeout(x.Request().Context(), operatorTimeout)
	defer cancel()
	res, err := c.Propose(ctx, cmd)
	if err != nil {
		_ = unavailable(x, err)
		return nil
	}
	if res.Code == state.OK {
		return x.JSON(http.StatusOK, res)
	}
	status := map[state.Code]int{state.Conflict: http.StatusConflict, state.NotFound: http.StatusNotFound}[res.Code]
	if status == 0 {
		status = http.StatusUnprocessableEntity
	}
	return x.JSON(status, Failure{Code: string(res.Code), Message: res.Message, Present: res.Current})
}

// httpAudit lists audit events, filtered by subject, target, host or action.
func (c *Control) httpAudit(x echo.Context) error {
	var all []state.AuditEvent
	if err := c.readCurrent(x, func(s *state.State) { all = slices.Clone(s.Audit()) }); err != nil {
		return nil
	}
	limit, err := strconv.Atoi(x.QueryParam("limit"))
	if err != nil || limit <= 0 {
		limit = 200
	}
	out := []state.AuditEvent{}
	for _, e := range slices.Backward(all) {
		if len(out) < limit && matchesQuery(x, e) {
			out = append(out, e)
		}
	}
	slices.Reverse(out)
	return x.JSON(http.StatusOK, out)
}

func matchesQuery(x echo.Context, e state.AuditEvent) bool {
	is := func(name, v string) bool {
		want := x.QueryParam(name)
		return want == "" || want == v
	}
	return is("subject", e.Subject) && is("target", e.Target) && is("host", string(e.Host)) && is("action", string(e.Action)) && is("by", e.By)
}

func (c *Control) httpExplain(x echo.Context) error {
	t, err := ident.ParseTarget(x.Param("target"))
	if err != nil {
		return x.JSON(http.StatusBadRequest, Failure{Code: string(state.Invalid), Message: err.Error()})
	}
	ex := Explanation{Target: t.String(), Replicas: []state.Replica{}, Events: []state.AuditEvent{}}
	err = c.readCurrent(x, func(s *state.State) {
		if stated, ok := s.RequirementsOf(t); ok {
			ex.Stated = &stated
		}
		ex.Replicas = append(ex.Replicas, s.ReplicasOf(t)...)
		for _, e := range s.Audit() {
			if e.Target == t.String() {
				ex.Events = append(ex.Events, e)
			}
		}
		if d := c.loop.duties; d.term != 0 {
			est := d.estimate(time.Now(), s, t)
			ex.Estimate = &est
		}
	})
	if err != nil {
		return nil
	}
	return x.JSON(http.StatusOK, ex)
}

func (c *Control) httpMember(x echo.Context) error {
	var p wire.MemberParams
	if err := json.NewDecoder(io.LimitReader(x.Request().Body, 1<<16)).Decode(&p); err != nil {
		return x.JSON(http.StatusBadRequest, Failure{Code: string(state.Invalid), Message: err.Error()})
	}
	ctx, cancel := context.WithTimeout(x.Request().Context(), operatorTimeout)
	defer cancel()
	res, err := c.ChangeMember(ctx, p)
	if err != nil {
		_ = unavailable(x, err)
		return nil
	}
	c.cfg.Log.Info().Str("by", operatorName(x)).Uint64("member", uint64(p.Member.ID)).Bool("voter", p.Member.Voter).Bool("remove", p.Remove).Bool("done", res.Done).Str("reason", res.Reason).Msg("membership_change")
	if !res.Done {
		code := "refused"
		if res.Behind {
			code = CodeBehind
		}
		return x.JSON(http.StatusConflict, Failure{Code: code, Message: res.Reason})
	}
	return x.JSON(http.StatusOK, res)
}
