package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/httpclient"
	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

type auditCmd struct {
	cli     *cli
	Subject string `long:"subject" description:"record, endpoint or \"replica N\""`
	Target  string `long:"target" description:"model or adapter, as explain takes it"`
	Host    string `long:"endpoint" description:"endpoint's host"`
	Action  string `long:"action" description:"submit, revise, withdraw, grant, ready, drain, remove or endpoint"`
	By      string `long:"by" description:"operator or process"`
	Limit   int    `long:"limit" default:"50" description:"newest events to show"`
}

// Execute implements flags.Commander.
func (x *auditCmd) Execute([]string) error {
	q := url.Values{"limit": {fmt.Sprint(x.Limit)}}
	for k, v := range map[string]string{"subject": x.Subject, "target": x.Target, "host": x.Host, "action": x.Action, "by": x.By} {
		if v != "" {
			q.Set(k, v)
		}
	}
	var es []state.AuditEvent
	if err := x.cli.call(http.MethodGet, "/v1/audit?"+q.Encode(), nil, &es); err != nil {
		return err
	}
	return x.cli.print(es, func() { x.cli.events(es) })
}

type explainCmd struct {
	cli   *cli
	Entry string `long:"entry" description:"URL of an entry's operator listener: explain a request id instead of a model"`
	Args  struct {
		Query string `positional-arg-name:"MODEL-OR-REQUEST" description:"model@version[:adapter@version], or a request id with --entry"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *explainCmd) Execute([]string) error {
	if x.Entry != "" {
		return x.request()
	}
	var ex control.Explanation
	if err := x.cli.call(http.MethodGet, "/v1/explain/"+url.PathEscape(x.Args.Query), nil, &ex); err != nil {
		return err
	}
	return x.cli.print(ex, func() { x.cli.explanation(ex) })
}

func (c *cli) explanation(ex control.Explanation) {
	if ex.Stated == nil {
		fmt.Fprintf(c.out, "%s: no record in force states it\n", ex.Target)
	} else {
		fmt.Fprintf(c.out, "%s: %d bytes, %d to %d replicas sold, in %s\n", ex.Target, ex.Stated.Bytes, ex.Stated.Min, ex.Stated.Max, strings.Join(ex.Stated.Places, ", "))
	}
	if ex.Estimate != nil && ex.Estimate.Reason != "" {
		fmt.Fprintf(c.out, "expected in %v: %s\n", ex.Estimate.In.Round(time.Millisecond), ex.Estimate.Reason)
	}
	c.table("REPLICA\tENDPOINT\tPHASE\tSINCE\tDECIDED BECAUSE", func(add func(string, ...any)) {
		for _, r := range ex.Replicas {
			add("%d\t%s\t%s\t%s\t%s", r.ID, r.Host, r.Phase, r.Since.Format(time.RFC3339), r.Reason)
		}
	})
	c.events(ex.Events)
}

// request prints what an entry recorded of a request's outcome.
func (x *explainCmd) request() error {
	res, err := client.Get(strings.TrimSuffix(x.Entry, "/") + "/debug/requests/" + url.PathEscape(x.Args.Query))
	if err != nil {
		return fail(ExitFailed, "%v", err)
	}
	defer res.Body.Close()
	text, err := httpclient.ReadAll(res.Body, maxAnswer)
	if err != nil {
		return fail(ExitFailed, "%v", err)
	}
	if res.StatusCode != http.StatusOK {
		return fail(ExitNotFound, "%s", strings.TrimSpace(string(text)))
	}
	for _, l := range indentedLines(record.Text(text)) {
		fmt.Fprintln(x.cli.out, l)
	}
	return nil
}

type statusCmd struct{ cli *cli }

// Execute implements flags.Commander. It queries every control host, because each
// knows only its own subscribers.
func (x *statusCmd) Execute([]string) error {
	var all []wire.ControlStatus
	hosts := x.cli.opts.Control
	for _, h := range hosts {
		x.cli.opts.Control = []string{h}
		var s wire.ControlStatus
		if err := x.cli.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
			fmt.Fprintf(x.cli.errs, "%s: %v\n", h, err)
			x.cli.code = ExitFailed
			continue
		}
		all = append(all, s)
	}
	if len(hosts) == 0 {
		return fail(ExitUsage, "--control is required")
	}
	return x.cli.print(all, func() { x.cli.status(all) })
}

func (c *cli) status(all []wire.ControlStatus) {
	c.table("CONTROL HOST\tROLE\tTERM\tCOMMIT\tAPPLIED\tCONFIGURATION\tSUBSCRIBERS", func(add func(string, ...any)) {
		for _, s := range all {
			add("%d\t%s\t%d\t%d\t%d\t%d\t%d", s.Node.ID, s.Node.Role, s.Node.Term, s.Node.Commit, s.Node.Applied, s.Config, len(s.Subscribers))
		}
	})
	c.table("\nPROCESS\tROLE\tINDEX\tCONFIGURATION\tSILENT", func(add func(string, ...any)) {
		for _, s := range all {
			for _, p := range s.Subscribers {
				lag := ""
				if p.Config < s.Config {
					lag = " lags"
				}
				add("%s\t%s\t%d\t%d%s\t%.1fs", p.Process.Host, p.Process.Role, p.Index, p.Config, lag, p.Silent)
			}
		}
	})
	c.table("\nCHANGE\tIN FORCE AFTER\tSLOWEST\tSTILL OPEN", func(add func(string, ...any)) {
		for _, s := range all {
			for _, f := range s.InForce {
				add("%d\t%.3fs\t%s\t%d", f.Index, f.Seconds, f.Slowest.Host, f.Open)
			}
		}
	})
}
