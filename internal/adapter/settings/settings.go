// Package settings reads and checks flags and environment variables. Every setting
// can be given as either. All invalid settings are reported at once, each with its
// flag, its value and what is allowed.
package settings

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"regexp"
	"runtime/debug"
	"strings"
	"time"

	flags "github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/adapter/tlsconf"
	"github.com/cassiapass/cassiapass/internal/core/intake"
)

// ExitUsage is the exit code for invalid settings.
const ExitUsage = 2

// minKey is the minimum length of a shared key or token in bytes.
const minKey = 16

// Problem is one invalid setting.
type Problem struct {
	Flag, Value, Allowed string
}

// Problems lists all invalid settings.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	var b strings.Builder
	for _, x := range p {
		fmt.Fprintf(&b, "--%s %q: %s\n", x.Flag, x.Value, x.Allowed)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// Checker collects problems.
type Checker struct{ Problems Problems }

// Fail adds a problem.
func (c *Checker) Fail(flag, value, allowed string) {
	c.Problems = append(c.Problems, Problem{flag, value, allowed})
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Name checks a host, availability zone, place or group name.
func (c *Checker) Name(flag, v string) {
	if !namePattern.MatchString(v) {
		c.Fail(flag, v, "required: letters, digits, '.', '_' and '-', at most 64")
	}
}

// Addr checks an IP address and port. Host names are refused: the system connects by
// IP address only.
func (c *Checker) Addr(flag, v string, optional bool) {
	if v == "" && optional {
		return
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.Fail(flag, v, "an IP number and port, for example 10.0.0.1:7000 or [::1]:7000")
	}
}

// Addrs checks a list of addresses.
func (c *Checker) Addrs(flag string, vs []string) {
	if len(vs) == 0 {
		c.Fail(flag, "", "at least one IP number and port")
	}
	for _, v := range vs {
		c.Addr(flag, v, false)
	}
}

// Positive checks that a number is greater than 0.
func Positive[N int | int64 | float64 | time.Duration](c *Checker, flag string, v N) {
	if v <= 0 {
		c.Fail(flag, fmt.Sprint(v), "greater than 0")
	}
}

// Identity holds the settings that identify a process.
type Identity struct {
	Host  string `long:"host" env:"CASSIAPASS_HOST" description:"name of this host, unique in the deployment"`
	Zone  string `long:"availability-zone" env:"CASSIAPASS_AVAILABILITY_ZONE" description:"availability zone of this host"`
	Group string `long:"group" env:"CASSIAPASS_GROUP" default:"main" description:"control group that this process belongs to"`
}

// Check checks the identity.
func (i *Identity) Check(c *Checker) {
	c.Name("host", i.Host)
	c.Name("availability-zone", i.Zone)
	c.Name("group", i.Group)
}

// Security holds the settings that protect connections between the system's own
// processes.
type Security struct {
	KeyFile  string `long:"shared-key-file" env:"CASSIAPASS_SHARED_KEY_FILE" description:"file with the key that all processes share, at least 16 bytes"`
	Cert     string `long:"peer-tls-cert" env:"CASSIAPASS_PEER_TLS_CERT" description:"PEM certificate for TLS between processes; read again when it changes"`
	Key      string `long:"peer-tls-key" env:"CASSIAPASS_PEER_TLS_KEY" description:"PEM key of peer-tls-cert"`
	CA       string `long:"peer-tls-ca" env:"CASSIAPASS_PEER_TLS_CA" description:"PEM certificates that sign every process's certificate"`
	Insecure bool   `long:"insecure-no-peer-auth" env:"CASSIAPASS_INSECURE_NO_PEER_AUTH" description:"let any process connect; never on a shared network"`
}

// Load checks the settings and reads the files that they name.
func (s *Security) Load(c *Checker) rpc.Security {
	var out rpc.Security
	if s.KeyFile != "" {
		out.Key = readKey(c, s.KeyFile)
	}
	mutual := s.Cert != "" || s.Key != "" || s.CA != ""
	if mutual {
		f := tlsconf.Files{Cert: s.Cert, Key: s.Key, CA: s.CA}
		var err error
		if out.Server, err = tlsconf.Server(f); err != nil {
			c.Fail("peer-tls-cert", s.Cert, err.Error())
		}
		if out.Client, err = tlsconf.Client(f); err != nil {
			c.Fail("peer-tls-ca", s.CA, err.Error())
		}
	}
	if s.KeyFile == "" && !mutual && !s.Insecure {
		c.Fail("shared-key-file", "", "give a shared key, or mutual TLS by --peer-tls-cert, --peer-tls-key and --peer-tls-ca, or ask for --insecure-no-peer-auth")
	}
	return out
}

func readKey(c *Checker, file string) []byte {
	b, err := os.ReadFile(file)
	if err != nil {
		c.Fail("shared-key-file", file, err.Error())
		return nil
	}
	key := []byte(strings.TrimSpace(string(b)))
	if len(key) < minKey {
		c.Fail("shared-key-file", file, fmt.Sprintf("a key of at least %d bytes", minKey))
	}
	return key
}

// ReadToken reads a secret from a file. An empty file name is allowed if insecure is
// set.
func ReadToken(c *Checker, flag, file string, insecure bool) string {
	if file == "" {
		if !insecure {
			c.Fail(flag, "", "required, unless the matching --insecure flag is given")
		}
		return ""
	}
	b, err := os.ReadFile(file)
	if err != nil {
		c.Fail(flag, file, err.Error())
		return ""
	}
	t := strings.TrimSpace(string(b))
	if len(t) < minKey {
		c.Fail(flag, file, fmt.Sprintf("a token of at least %d bytes", minKey))
	}
	return t
}

// Resources holds the settings that bound what a process takes, and what its clients make it hold.
type Resources struct {
	Memory  int64 `long:"memory-limit" env:"CASSIAPASS_MEMORY_LIMIT" default:"1073741824" description:"memory that this process may take, bytes"`
	Files   int   `long:"file-limit" env:"CASSIAPASS_FILE_LIMIT" description:"descriptors that this process may open; 0 for the bound of the system"`
	Clients int64 `long:"client-memory" env:"CASSIAPASS_CLIENT_MEMORY" description:"memory for requests and answers of all clients of a listener together, bytes; 0 for a share of --memory-limit"`
	Conns   int   `long:"client-connections" env:"CASSIAPASS_CLIENT_CONNECTIONS" description:"connections of all clients of a listener together; 0 for a share of the memory and the descriptors"`
}

// heapShare is the part of the memory that the garbage collector keeps to if it can. The rest is for
// stacks and what the kernel holds.
const heapShare = 0.7

// Check checks the settings and bounds the heap.
func (r *Resources) Check(c *Checker) {
	Positive(c, "memory-limit", r.Memory)
	for flag, v := range map[string]int64{"file-limit": int64(r.Files), "client-memory": r.Clients, "client-connections": int64(r.Conns)} {
		if v < 0 {
			c.Fail(flag, fmt.Sprint(v), "at least 0")
		}
	}
	debug.SetMemoryLimit(int64(float64(r.Memory) * heapShare))
}

// files returns the descriptors that the process may open, 0 if that is not known.
func (r *Resources) files() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return r.Files
	}
	if r.Files > 0 {
		return min(r.Files, int(l.Cur))
	}
	return int(l.Cur)
}

// ClientLimits returns the limits for the clients that the process is for.
func (r *Resources) ClientLimits() intake.Limits {
	l := intake.LimitsOf(r.Memory, r.files())
	if r.Clients > 0 {
		l.Bytes = r.Clients
	}
	if r.Conns > 0 {
		l.Conns = r.Conns
	}
	return l
}

// SideLimits returns the limits for a listener that few clients use, such as metrics.
func (r *Resources) SideLimits() intake.Limits { return intake.SideLimitsOf(r.Memory, r.files()) }

// OperatorLimits returns the limits for a listener that few clients use with large requests.
func (r *Resources) OperatorLimits() intake.Limits {
	l := r.ClientLimits()
	l.Conns = intake.SideConns(r.files())
	return l
}

// PeerLimits returns the limits for a listener of the internal protocol beside others.
func (r *Resources) PeerLimits() intake.Limits { return intake.PeerLimitsOf(r.Memory, r.files()) }

// Logging holds the settings of the log.
type Logging struct {
	Level string `long:"log-level" env:"CASSIAPASS_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
}

// Check checks and returns the level.
func (l *Logging) Check(c *Checker) zerolog.Level {
	lv, err := zerolog.ParseLevel(l.Level)
	if err != nil || lv < zerolog.DebugLevel || lv > zerolog.ErrorLevel {
		c.Fail("log-level", l.Level, "debug, info, warn or error")
	}
	return lv
}

// Version returns the version of the program from its build information.
func Version() string {
	if bi, ok := debug.ReadBuildInfo(); ok {
		for _, s := range bi.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= 12 {
				return bi.Main.Version + " " + s.Value[:12]
			}
		}
		return bi.Main.Version
	}
	return "unknown"
}

// Parse parses args into opts, which has go-flags tags, and then runs check. It
// returns an exit code and whether the program should continue.
func Parse(opts any, args []string, out, errs io.Writer, check func(*Checker)) (code int, ok bool) {
	var common struct {
		Version bool `long:"version" description:"print the version and exit"`
	}
	p := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("General", "", &common); err != nil {
		fmt.Fprintln(errs, err)
		return ExitUsage, false
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(out, fe.Message)
		return 0, false
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitUsage, false
	}
	if common.Version {
		fmt.Fprintln(out, Version())
		return 0, false
	}
	c := &Checker{}
	check(c)
	if len(c.Problems) > 0 {
		fmt.Fprintln(errs, c.Problems.Error())
		return ExitUsage, false
	}
	return 0, true
}
