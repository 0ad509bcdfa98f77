package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

// changeFlags are the flags of commands that change records.
type changeFlags struct {
	Request string `long:"request" description:"operator request id; give the one of a lost answer to get that answer"`
	Reason  string `long:"reason" description:"why, for the audit trail"`
}

func (f *changeFlags) requestID() string {
	if f.Request == "" {
		f.Request = newRequestID()
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
		suffix := ""
		if res.Resent {
			suffix = " (the first answer to this request)"
		}
		fmt.Fprintf(c.out, "revision %d is in force%s\nrequest %s\n", res.Revision, suffix, ch.Request)
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
	return x.cli.change("/v1/records", control.Change{Request: x.requestID(), Record: raw, Reason: x.Reason})
}

// readRecord reads a record and validates it locally, so that mistakes are reported
// without a request to control.
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
	return x.cli.change("/v1/records", control.Change{Request: x.requestID(), Base: x.Base, Record: raw, Reason: x.Reason})
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
	return x.cli.change("/v1/records/"+url.PathEscape(x.Args.Name)+"/withdraw", control.Change{Request: x.requestID(), Base: x.Base, Reason: x.Reason})
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

// revisions returns the audit events of a record's changes.
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
		texts[e.Index] = indentedLines(e.Content)
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

func indentedLines(raw record.Text) []string {
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

// diffLines compares a and b by their longest common subsequence and marks the lines
// that only one of them has. Its table has an element for each pair of lines; records
// are short enough for that.
func diffLines(a, b []string) []string {
	lcs := make([][]int, len(a)+1)
	for i := range lcs {
		lcs[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			lcs[i][j] = max(lcs[i+1][j], lcs[i][j+1])
			if a[i] == b[j] {
				lcs[i][j] = lcs[i+1][j+1] + 1
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
		case j == len(b) || (i < len(a) && lcs[i+1][j] >= lcs[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

type digestCmd struct{ cli *cli }

// Execute implements flags.Commander. The key is read from standard input, so that it
// does not appear in process lists or the shell history.
func (x *digestCmd) Execute([]string) error {
	line, err := bufio.NewReader(x.cli.in).ReadString('\n')
	if err != nil && line == "" {
		return fail(ExitUsage, "no key on standard input")
	}
	fmt.Fprintln(x.cli.out, record.FormatDigest(record.DigestKey(strings.TrimRight(line, "\r\n"))))
	return nil
}
