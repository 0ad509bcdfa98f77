package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/member"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	pageBegin   = "<!-- worked out by cassiapass-capacity; do not edit -->"
	pageEnd     = "<!-- end of the worked-out part -->"
	fileMode    = 0o644
	maxDuration = 8 * time.Minute
)

// mainOptions are the settings of cassiapass-capacity.
type mainOptions struct {
	Control string `long:"control" env:"CASSIAPASS_CONTROL" description:"address of the control process to measure; empty only works the page out"`
	URL     string `long:"control-url" env:"CASSIAPASS_CONTROL_URL" description:"URL of its operator listener"`
	PID     int    `long:"control-pid" env:"CASSIAPASS_CONTROL_PID" description:"its process id, to read processor time and memory"`
	KeyFile string `long:"shared-key-file" env:"CASSIAPASS_SHARED_KEY_FILE" description:"file with the shared key"`
	Results string `long:"results" env:"CASSIAPASS_RESULTS" default:"docs/capacity.json" description:"file with the measurements"`
	Page    string `long:"page" env:"CASSIAPASS_PAGE" default:"docs/CAPACITY.md" description:"page whose worked-out part is rewritten"`
	JSON    bool   `long:"json" env:"CASSIAPASS_JSON" description:"print the measurements as JSON instead of the tables"`
}

// Main runs cassiapass-capacity.
func Main(args []string, out, errs io.Writer) (int, error) {
	var o mainOptions
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		c.Addr("control", o.Control, true)
		if o.Control != "" && (o.URL == "" || o.PID <= 0) {
			c.Fail("control-pid", fmt.Sprint(o.PID), "--control needs --control-url and --control-pid")
		}
	})
	if !ok {
		return code, nil
	}
	if o.Control != "" {
		if err := o.measure(); err != nil {
			return 1, err
		}
	}
	r, err := ReadResults(o.Results)
	if err != nil {
		return 1, err
	}
	if err := RewritePage(o.Page, r); err != nil {
		return 1, err
	}
	if o.JSON {
		return 0, json.NewEncoder(out).Encode(r)
	}
	_, err = fmt.Fprint(out, Page(r))
	return 0, err
}

func (o *mainOptions) measure() error {
	key, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "cassiapass-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	r := &Results{Host: fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version()), Single: map[string]float64{}}
	t := target{addr: o.Control, url: o.URL, pid: o.PID, key: []byte(strings.TrimSpace(string(key)))}
	steps := []func() error{
		func() error { return r.measureControl(ctx, t, []int{16, 128, 512, 1500}) },
		func() error { return r.measureCatchUp(ctx, t, []int{10, 100, 1000}) },
		r.measureMemory,
		func() error { r.measureDecisions(); return nil },
		func() error { return r.measureOwnControl(ctx, dir) },
		func() error { return r.measureStreams(ctx, dir) },
	}
	for i, step := range steps {
		begin := time.Now()
		if err := step(); err != nil {
			return fmt.Errorf("step %d: %w", i+1, err)
		}
		fmt.Fprintf(os.Stderr, "step %d of %d took %v\n", i+1, len(steps), time.Since(begin).Round(time.Second))
	}
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.Results, append(b, '\n'), fileMode)
}

// measureOwnControl measures commits at a control host that runs in this process.
func (r *Results) measureOwnControl(ctx context.Context, dir string) error {
	c, err := control.New(control.Config{
		Host: "capacity", Group: ident.DefaultGroup, Listen: "127.0.0.1:0", DataDir: dir + "/control", Bootstrap: true,
		Security: rpc.Security{Key: []byte("a-key-for-measuring")}, Placement: placement.DefaultConfig(), Leases: member.DefaultConfig(),
		Log: zerolog.Nop(), Fatal: func(error) {},
	})
	if err != nil {
		return err
	}
	defer c.Kill()
	propose := func(ctx context.Context, cmd state.Command) error {
		_, err := c.Propose(ctx, cmd)
		return err
	}
	return r.measureCommits(ctx, propose, dir)
}

// ReadResults reads the measurements from file.
func ReadResults(file string) (*Results, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &Results{}
	return r, json.Unmarshal(b, r)
}

// RewritePage replaces the generated part of the page in file.
func RewritePage(file string, r *Results) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	text, err := replacePart(string(b), Page(r))
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text), fileMode)
}

var errNoMarkers = errors.New("the page has no markers around its generated part")

func replacePart(text, part string) (string, error) {
	before, rest, ok := strings.Cut(text, pageBegin)
	if !ok {
		return "", errNoMarkers
	}
	_, after, ok := strings.Cut(rest, pageEnd)
	if !ok {
		return "", errNoMarkers
	}
	return before + pageBegin + "\n\n" + part + pageEnd + after, nil
}
