package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// changeFlags are the flags of commands that change records.
type changeFlags struct {
	Request string `long:"request" description:"operator request id; give the one of a lost answer to get that answer"`
	Reason  string `long:"reason" description:"why, for the audit trail"`
}

func (f *changeFlags) id() string {
	if f.Request == "" {
		f.Request = newRequest()
	}
	return f.Request
}

func (c *cli) change(path string, ch control.Change) error {
	var res state.Result
	err := c.call(http.MethodPost, path, ch, &res)
	if err != nil {
		fmt.Fprintf(c.errs, "request %s\n", ch.Request)
		return err
	}
	return c.print(res, func() {
		again := ""
		if res.Resent {
			again = " (the first answer to this request)"
		}
		fmt.Fprintf(c.out, "revision %d is in force%s\nrequest %s\n", res.Revision, again, ch.Request)
	})
}

type submitCmd struct {
	cli *cli
	changeFlags
	Args struct {
		File string `positional-arg-name:"FILE" description:"record, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *submitCmd) Execute([]string) error {
	raw, err := readRecord(x.Args.File, x.cli.in)
	if err != nil {
		return err
	}
	return x.cli.change("/v1/records", control.Change{Request: x.id(), Record: raw, Reason: x.Reason})
}

// readRecord reads a record and checks it here first: every mistake is shown
// without a journey.
func readRecord(file string, in io.Reader) (record.Text, error) {
	raw, err := readFile(file, in)
	if err != nil {
		return "", fail(ExitUsage, "%v", err)
	}
	if _, err := record.Parse(record.Text(raw)); err != nil {
		return "", fail(ExitInvalid, "%s is not a valid record:\n%v", file, err)
	}
	return record.Text(raw), nil
}

type reviseCmd struct {
	cli *cli
	changeFlags
	Base ident.Index `long:"base" description:"revision that the new content is based on; the one in force if not given"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"record, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *reviseCmd) Execute([]string) error {
	raw, err := readRecord(x.Args.File, x.cli.in)
	if err != nil {
		return err
	}
	if x.Base == 0 {
		svc, err := record.Parse(raw)
		if err != nil {
			return err
		}
		r, err := x.cli.record(svc.Name)
		if err != nil {
			return err
		}
		x.Base = r.Revision
	}
	return x.cli.change("/v1/records", control.Change{Request: x.id(), Base: x.Base, Record: raw, Reason: x.Reason})
}

type withdrawCmd struct {
	cli *cli
	changeFlags
	Base ident.Index `long:"base" description:"revision to withdraw; the one in force if not given"`
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *withdrawCmd) Execute([]string) error {
	if x.Base == 0 {
		r, err := x.cli.record(x.Args.Name)
		if err != nil {
			return err
		}
		x.Base = r.Revision
	}
	return x.cli.change("/v1/records/"+url.PathEscape(x.Args.Name)+"/withdraw", control.Change{Request: x.id(), Base: x.Base, Reason: x.Reason})
}

func (c *cli) table(header string, rows func(add func(format string, args ...any))) {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) })
	_ = w.Flush()
}

type listCmd struct {
	cli *cli
	All bool `long:"all" description:"withdrawn records too"`
}

// Execute implements flags.Commander.
func (x *listCmd) Execute([]string) error {
	path := "/v1/records"
	if x.All {
		path += "?all=1"
	}
	var rs []state.Record
	if err := x.cli.call(http.MethodGet, path, nil, &rs); err != nil {
		return err
	}
	return x.cli.print(rs, func() {
		x.cli.table("NAME\tREVISION\tSCHEMA\tPLACE\tCUSTOMERS\tMODELS\tSTATE", func(add func(string, ...any)) {
			for _, r := range rs {
				svc, err := record.Parse(r.Raw)
				if err != nil {
					add("%s\t%d\t?\t?\t?\t?\tunreadable here", r.Name, r.Revision)
					continue
				}
				var head struct {
					SchemaVersion int `json:"schemaVersion"`
				}
				_ = json.Unmarshal([]byte(r.Raw), &head)
				st := "in force"
				if r.Withdrawn {
					st = "withdrawn"
				}
				add("%s\t%d\t%d\t%s\t%d\t%d\t%s", r.Name, r.Revision, head.SchemaVersion, svc.Place, len(svc.Customers), len(svc.Models), st)
			}
		})
	})
}

type showCmd struct {
	cli  *cli
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *showCmd) Execute([]string) error {
	r, err := x.cli.record(x.Args.Name)
	if err != nil {
		return err
	}
	return x.cli.print(r, func() { fmt.Fprintf(x.cli.out, "%s\n", r.Raw) })
}

// revisions returns the audit events that changed a record.
func (c *cli) revisions(name string) ([]state.AuditEvent, error) {
	var es []state.AuditEvent
	err := c.call(http.MethodGet, "/v1/audit?limit=100000&subject="+url.QueryEscape(name), nil, &es)
	if err == nil && len(es) == 0 {
		err = fail(ExitNotFound, "no change of %q is in the audit trail", name)
	}
	return es, err
}

type historyCmd struct {
	cli  *cli
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *historyCmd) Execute([]string) error {
	es, err := x.cli.revisions(x.Args.Name)
	if err != nil {
		return err
	}
	return x.cli.print(es, func() { x.cli.events(es) })
}

func (c *cli) events(es []state.AuditEvent) {
	c.table("INDEX\tTIME\tBY\tACTION\tSUBJECT\tTARGET\tENDPOINT\tREASON", func(add func(string, ...any)) {
		for _, e := range es {
			add("%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s", e.Index, e.Time.Format(time.RFC3339), e.By, e.Action, e.Subject, e.Target, e.Host, e.Reason)
		}
	})
}

type diffCmd struct {
	cli  *cli
	Args struct {
		Name string      `positional-arg-name:"NAME"`
		From ident.Index `positional-arg-name:"FROM"`
		To   ident.Index `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *diffCmd) Execute([]string) error {
	es, err := x.cli.revisions(x.Args.Name)
	if err != nil {
		return err
	}
	texts := map[ident.Index][]string{}
	for _, e := range es {
		texts[e.Index] = indented(e.Content)
	}
	for _, i := range []ident.Index{x.Args.From, x.Args.To} {
		if _, ok := texts[i]; !ok {
			return fail(ExitNotFound, "revision %d of %q is not in the audit trail", i, x.Args.Name)
		}
	}
	for _, l := range diffLines(texts[x.Args.From], texts[x.Args.To]) {
		fmt.Fprintln(x.cli.out, l)
	}
	return nil
}

func indented(raw record.Text) []string {
	var v any
	if json.Unmarshal([]byte(raw), &v) != nil {
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return nil
	}
	return strings.Split(string(b), "\n")
}

// diffLines marks lines that only one side has, by the longest common
// subsequence. Records are short enough for the simple table.
func diffLines(a, b []string) []string {
	l := make([][]int, len(a)+1)
	for i := range l {
		l[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			l[i][j] = max(l[i+1][j], l[i][j+1])
			if a[i] == b[j] {
				l[i][j] = l[i+1][j+1] + 1
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, "  "+a[i])
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && l[i+1][j] >= l[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

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
		What string `positional-arg-name:"MODEL-OR-REQUEST" description:"model@version[:adapter@version], or a request id with --entry"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *explainCmd) Execute([]string) error {
	if x.Entry != "" {
		return x.request()
	}
	var ex control.Explanation
	if err := x.cli.call(http.MethodGet, "/v1/explain/"+url.PathEscape(x.Args.What), nil, &ex); err != nil {
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

// request asks an entry how a request ended.
func (x *explainCmd) request() error {
	res, err := http.Get(strings.TrimSuffix(x.Entry, "/") + "/debug/requests/" + url.PathEscape(x.Args.What))
	if err != nil {
		return fail(ExitFailed, "%v", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return fail(ExitFailed, "%v", err)
	}
	if res.StatusCode != http.StatusOK {
		return fail(ExitNotFound, "%s", strings.TrimSpace(string(text)))
	}
	for _, l := range indented(record.Text(text)) {
		fmt.Fprintln(x.cli.out, l)
	}
	return nil
}

type statusCmd struct{ cli *cli }

// Execute implements flags.Commander. Every control host is asked, because each
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

type memberCmd struct {
	cli      *cli
	Addr     string `long:"address" description:"address for the system's own processes, to add a host"`
	Promote  bool   `long:"promote" description:"make it a voter"`
	Remove   bool   `long:"remove" description:"remove it"`
	Transfer bool   `long:"transfer" description:"hand leadership to it"`
	Args     struct {
		Node uint64 `positional-arg-name:"NODE" description:"identity, as the host's log and status print it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (x *memberCmd) Execute([]string) error {
	id := consensus.NodeID(x.Args.Node)
	p := wire.MemberParams{Member: consensus.Member{ID: id, Addr: x.Addr, Voter: x.Promote}, Remove: x.Remove, Transfer: x.Transfer}
	if x.Promote && x.Addr == "" {
		addr, err := x.address(id)
		if err != nil {
			return err
		}
		p.Member.Addr = addr
	}
	if !x.Remove && !x.Transfer && p.Member.Addr == "" {
		return fail(ExitUsage, "--address is required to add a host")
	}
	res, err := x.change(p)
	if err != nil {
		return err
	}
	return x.cli.print(res, func() { fmt.Fprintln(x.cli.out, "done") })
}

const behindPause = 200 * time.Millisecond

// change asks for the change again while the member that was added last is
// still catching up: that takes a second or two and needs no operator.
func (x *memberCmd) change(p wire.MemberParams) (wire.MemberResult, error) {
	var res wire.MemberResult
	deadline := time.Now().Add(x.cli.opts.Timeout)
	for {
		err := x.cli.call(http.MethodPost, "/v1/members", p, &res)
		var f *failure
		if !errors.As(err, &f) || !f.again || time.Now().Add(behindPause).After(deadline) {
			return res, err
		}
		time.Sleep(behindPause)
	}
}

// address finds the address of a member that is known already.
func (x *memberCmd) address(id consensus.NodeID) (string, error) {
	var s wire.ControlStatus
	if err := x.cli.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
		return "", err
	}
	m, ok := s.Node.Membership.Find(id)
	if !ok {
		return "", fail(ExitNotFound, "no member %d; add it with --address first", id)
	}
	return m.Addr, nil
}

type digestCmd struct{ cli *cli }

// Execute implements flags.Commander. The key is read from standard input, so
// that it stands in no process list and no shell history.
func (x *digestCmd) Execute([]string) error {
	line, err := bufio.NewReader(x.cli.in).ReadString('\n')
	if err != nil && line == "" {
		return fail(ExitUsage, "no key on standard input")
	}
	fmt.Fprintln(x.cli.out, record.FormatDigest(record.DigestKey(strings.TrimRight(line, "\r\n"))))
	return nil
}
