// Package ctl implements cassiapassctl, the operators' command line. Its commands change
// and list records through the API of the control hosts, show the state of the system,
// and trace requests in log files.
package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/cassiapass/cassiapass/internal/adapter/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3 // the change is based on a revision that is not in force
	ExitNotFound = 4
	ExitInvalid  = 5 // the record or command is invalid
	ExitUnknown  = 6 // no answer; the change may have been made: repeat it with the same --request
)

// options are the flags common to all commands.
type options struct {
	Control   []string      `long:"control" env:"CASSIAPASS_CONTROL_URL" env-delim:"," description:"URL of a control host's operator listener; repeat it for others to fall back on"`
	TokenFile string        `long:"token-file" env:"CASSIAPASS_OPERATOR_TOKEN_FILE" description:"file with the operator token"`
	Operator  string        `long:"operator" env:"CASSIAPASS_OPERATOR" description:"name that stands in the audit trail"`
	JSON      bool          `long:"json" env:"CASSIAPASS_JSON" description:"print JSON instead of a table"`
	Timeout   time.Duration `long:"timeout" env:"CASSIAPASS_TIMEOUT" default:"30s" description:"time for the command, its own retries included"`
	Version   func()        `long:"version" description:"print the version and exit"`
}

// cli is one invocation of cassiapassctl.
type cli struct {
	opts options
	in   io.Reader
	out  io.Writer
	errs io.Writer
	code int
}

// failure is an error that ends a command with an exit code.
type failure struct {
	code      int
	text      string
	retryable bool // the same request can succeed shortly after
}

// Error returns the text printed to standard error.
func (f *failure) Error() string { return f.text }

func fail(code int, format string, args ...any) error {
	return &failure{code: code, text: fmt.Sprintf(format, args...)}
}

// Main runs one command and returns its exit code.
func Main(args []string, in io.Reader, out, errs io.Writer) int {
	c := &cli{in: in, out: out, errs: errs}
	version := false
	c.opts.Version = func() { version = true }
	p := flags.NewParser(&c.opts, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "cassiapassctl"
	c.addCommands(p)
	p.SubcommandsOptional = true
	_, err := p.ParseArgs(args)
	var fe *flags.Error
	var f *failure
	switch {
	case version:
		fmt.Fprintln(out, settings.Version())
		return ExitOK
	case errors.As(err, &f):
		fmt.Fprintln(errs, f.text)
		return f.code
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(out, fe.Message)
		return ExitOK
	case err != nil:
		fmt.Fprintln(errs, err)
		return ExitUsage
	case p.Active == nil:
		p.WriteHelp(errs)
		return ExitUsage
	}
	return c.code
}

// command is one subcommand.
type command struct {
	name, short string
	data        any
}

func (c *cli) addCommands(p *flags.Parser) {
	for _, cmd := range []command{
		{"submit", "write a new record", &submitCmd{cli: c}},
		{"revise", "replace a record, based on the revision in force or on --base", &reviseCmd{cli: c}},
		{"withdraw", "end a record; work in progress ends first", &withdrawCmd{cli: c}},
		{"list", "list the records", &listCmd{cli: c}},
		{"show", "print a record as it was written", &showCmd{cli: c}},
		{"history", "list the revisions of a record", &historyCmd{cli: c}},
		{"diff", "compare two revisions of a record line by line", &diffCmd{cli: c}},
		{"audit", "list what was changed and decided", &auditCmd{cli: c}},
		{"explain", "tell why a model is or is not loaded, or how a request ended", &explainCmd{cli: c}},
		{"trace", "tell the story of one request from log files", &traceCmd{cli: c}},
		{"losses", "sort the requests in log files that were not answered at once by cause", &lossesCmd{cli: c}},
		{"quarantine", "list the requests that are not run any more, as endpoints ended under them", &quarantineCmd{cli: c}},
		{"lift", "let a quarantined request run again", &liftCmd{cli: c}},
		{"allowances", "show what customers use of what they may", &allowancesCmd{cli: c}},
		{"limits", "show the limits that endpoints name and what entries ask for", &limitsCmd{cli: c}},
		{"notices", "show the endpoints that asked for a pause or say that they leave", &noticesCmd{cli: c}},
		{"paces", "show the endpoints by how long work takes there relative to their peers", &pacesCmd{cli: c}},
		{"group", "show who votes, who is missing and how many more disks may be lost", &groupCmd{cli: c}},
		{"folder", "list the logs in a stopped control host's data folder, or restore one that was set aside", &folderCmd{cli: c}},
		{"status", "show control hosts, subscribers and when changes came into force", &statusCmd{cli: c}},
		{"member", "add, promote or remove a control host, or hand leadership over", &memberCmd{cli: c}},
		{"digest", "print the digest of a caller key read from standard input", &digestCmd{cli: c}},
	} {
		if _, err := p.AddCommand(cmd.name, cmd.short, cmd.short, cmd.data); err != nil {
			panic("invariant: ctl: " + err.Error())
		}
	}
}

func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}
