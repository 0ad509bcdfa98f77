package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// traceCmd reconstructs the course of one request from log files.
type traceCmd struct {
	cli  *cli
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"request id"`
		Logs    []string `positional-arg-name:"LOG" description:"log files or folders of them; standard input if none"`
	} `positional-args:"yes" required:"1"`
}

// logLine is one line of key=value pairs.
type logLine struct {
	at     time.Time
	Fields map[string]string `json:"fields"`
	Text   string            `json:"text"`
}

// requestTrace holds the log lines of one request and the cause of its outcome.
type requestTrace struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	Cause   string    `json:"cause"`
}

// contextWindow is the time before a request's first line and after its last one in which
// orders for its model and changes of its endpoints are included in its trace.
const contextWindow = 2 * time.Second

// Execute implements flags.Commander.
func (x *traceCmd) Execute([]string) error {
	lines, err := readLines(x.Args.Logs, x.cli.in)
	if err != nil {
		return err
	}
	s, ok := traceRequest(x.Args.Request, lines)
	if !ok {
		return fail(ExitNotFound, "no line names request %s; the lines of ordinary successes are left out first when there are too many", x.Args.Request)
	}
	return x.cli.print(s, func() {
		for _, l := range s.Lines {
			fmt.Fprintln(x.cli.out, l.Text)
		}
		fmt.Fprintln(x.cli.out, "cause: "+s.Cause)
	})
}

// readLines reads log files, the files in folders, or in.
func readLines(paths []string, in io.Reader) ([]logLine, error) {
	if len(paths) == 0 {
		return parseLines(in)
	}
	var out []logLine
	for _, p := range paths {
		err := filepath.WalkDir(p, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			f, err := os.Open(path)
			if err != nil {
				return err
			}
			defer f.Close()
			ls, err := parseLines(f)
			out = append(out, ls...)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

const maxLine = 1 << 20

// parseLines reads lines of key=value pairs and skips all others. Text before the first
// pair, which log collectors add, is ignored.
func parseLines(r io.Reader) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	for sc.Scan() {
		text := sc.Text()
		i := strings.Index(text, "time=")
		if i < 0 {
			continue
		}
		l := logLine{Text: text[i:], Fields: parsePairs(text[i:])}
		at, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
		if err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	return out, sc.Err()
}

// parsePairs parses key=value pairs. Values may be quoted.
func parsePairs(s string) map[string]string {
	out := map[string]string{}
	for s != "" {
		key, rest, ok := strings.Cut(s, "=")
		if !ok {
			return out
		}
		value, next := cutValue(rest)
		out[strings.TrimSpace(key)] = value
		s = next
	}
	return out
}

// cutValue splits the value at the start of s from what follows it.
func cutValue(s string) (value, rest string) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(s[1:i], `\"`, `"`), strings.TrimPrefix(s[i+1:], " ")
		}
	}
	return s, ""
}

// traceRequest returns the lines that concern a request, in order of time, and the cause
// of its outcome. It returns false if no line names the request.
func traceRequest(request string, all []logLine) (requestTrace, bool) {
	s := requestTrace{Request: request}
	var own []logLine
	for _, l := range all {
		if l.Fields["request"] == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return s, false
	}
	slices.SortStableFunc(own, byTime)
	from, to := own[0].at.Add(-contextWindow), own[len(own)-1].at.Add(contextWindow)
	related := relatedNames{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	for _, l := range own {
		related.models[l.Fields["model"]] = true
		related.endpoints[l.Fields["endpoint"]] = true
		related.hosts[l.Fields["host"]] = true
	}
	s.Lines = own
	for _, l := range all {
		if l.Fields["request"] != "" || l.at.Before(from) || l.at.After(to) || !related.match(l) {
			continue
		}
		s.Lines = append(s.Lines, l)
	}
	slices.SortStableFunc(s.Lines, byTime)
	s.Cause = outcomeCause(own, s.Lines)
	return s, true
}

func byTime(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }

// relatedNames are the models, endpoints and hosts that a request's lines name.
type relatedNames struct{ models, endpoints, hosts map[string]bool }

// match reports whether a line that names no request belongs to the trace: an order for
// the request's model, the model's ETA, a change of an endpoint that the request was sent
// to, a leader or deployment that its entry received or lost, or a change of leader.
func (s relatedNames) match(l logLine) bool {
	event := l.Fields["event"]
	switch {
	case strings.HasPrefix(event, "order_"), event == "model_eta":
		return l.Fields["model"] != "" && s.models[l.Fields["model"]]
	case strings.HasPrefix(event, "endpoint_"):
		return s.endpoints[l.Fields["endpoint"]] && s.hosts[l.Fields["host"]]
	case event == "control_lost", event == "control_regained", event == "deployment_in_force":
		return s.hosts[l.Fields["host"]]
	}
	return event == "leadership_taken"
}

// outcomeCause states in one line what decided the outcome of the request.
func outcomeCause(own, all []logLine) string {
	last := own[len(own)-1]
	event := last.Fields["event"]
	switch event {
	case "request_answered":
		return answeredCause(last, all)
	case "request_not_run":
		return "refused, it did not run: " + reasonText(last.Fields["reason"]) + gaveWayText(own) + etaText(last) + waitedText(last)
	case "request_unauthorized", "request_over_allowance":
		return "refused, it did not run: " + reasonText(last.Fields["reason"]) + gaveWayText(own)
	case "request_stopping":
		return "refused, it did not run: the entry was stopping"
	case "request_caller_gone":
		return "the caller closed its connection" + waitedText(last)
	case "request_failed_by_endpoint":
		return "endpoint " + last.Fields["endpoint"] + " answered with status " + last.Fields["status"] + " itself"
	case "request_cut", "request_unknown":
		return "its fate is open: " + unknownCause(last, own)
	}
	return "the newest line is " + event
}

func answeredCause(last logLine, all []logLine) string {
	if last.Fields["waited"] == "0" {
		return "answered; it waited for no endpoint"
	}
	for _, l := range all {
		if l.Fields["event"] == "order_settled" && l.Fields["op"] == "load" && l.Fields["model"] == last.Fields["model"] && l.Fields["endpoint"] == last.Fields["endpoint"] {
			return "answered after a load from " + l.Fields["source"] + " that took " + l.Fields["took"] + " ms" + waitedText(last)
		}
	}
	return "answered after a wait: " + reasonText(last.Fields["reason"]) + waitedText(last)
}

func unknownCause(last logLine, own []logLine) string {
	for i := len(own) - 1; i >= 0; i-- {
		if e := own[i].Fields["event"]; e == "endpoint_answer_broken" || e == "endpoint_no_answer" {
			return "endpoint " + own[i].Fields["endpoint"] + " broke off: " + own[i].Fields["error"]
		}
	}
	return "endpoint " + last.Fields["endpoint"] + " had not answered when the time limit passed"
}

func waitedText(l logLine) string {
	if w := l.Fields["waited"]; w != "" && w != "0" {
		return "; it waited " + w + " ms for an endpoint"
	}
	return ""
}

// gaveWayText returns to whom a refused request gave way, if that was logged.
func gaveWayText(own []logLine) string {
	for _, l := range own {
		if f := l.Fields; f["event"] == "gave_way" {
			return "; level " + levelText(f["level"], f["late"]) + " gave way to level " + levelText(f["to_level"], f["to_late"])
		}
	}
	return ""
}

func levelText(level, late string) string {
	if late == "true" {
		return level + " (late)"
	}
	return level
}

// etaText returns the ETA of the model of a refused request, if it was logged.
func etaText(l logLine) string {
	if ready := l.Fields["ready"]; ready != "" {
		return ", whose ETA was " + ready + " ms"
	}
	return ""
}

func reasonText(reason string) string {
	text, known := map[string]string{
		"no_endpoint":  "no endpoint of its service was up",
		"not_loaded":   "no endpoint held its model or adapter",
		"loaded_late":  "no endpoint held its model or adapter, or would before it had to give up",
		"all_full":     "every endpoint that held its model was full",
		"all_tried":    "every endpoint had been tried",
		"retry_budget": "the retry budget was used up",
		"stopping":     "its entry was stopping and an answer could not have ended in time",
		"quarantined":  "endpoints ended under it, or under a part of its prompt",
		"suspect":      "an endpoint ended under a part of its prompt, and another request was trying that part",

		"release_unknown": "it goes on with a stream, and nobody knew which software release had begun that",
		"release_gone":    "it goes on with a stream, and no endpoint of the software release that began that served",

		"over_allowance":   "its customer used all that it may",
		"allowance_unsure": "its entry heard no leader, and had used its part of what the customer may",
		"key_unknown":      "no customer has its key, or it had none",
		"key_unsure":       "its entry does not know its key, and heard no leader that would tell a newer deployment",
		"key_revoked":      "its key was taken away while it waited",
	}[reason]
	if !known {
		return reason
	}
	return text
}
