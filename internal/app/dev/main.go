package dev

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/logs"
	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/app/daemon"
	"github.com/cassiapass/cassiapass/internal/fake"
)

// Options are the settings of cassiapass-dev.
type Options struct {
	Data     string           `long:"data" env:"CASSIAPASS_DATA" description:"data folder that keeps state across restarts; a temporary one if empty"`
	Controls int              `long:"controls" env:"CASSIAPASS_DEV_CONTROLS" default:"1" description:"control hosts, 1, 3 or 5"`
	Entries  int              `long:"entries" env:"CASSIAPASS_DEV_ENTRIES" default:"2" description:"entries"`
	BasePort int              `long:"base-port" env:"CASSIAPASS_DEV_BASE_PORT" default:"7400" description:"first of the ports used on 127.0.0.1; 0 picks free ones"`
	EngineAt string           `long:"engine-at" env:"CASSIAPASS_DEV_ENGINE_AT" description:"run only the stand-in engine, 24 GB, at this address, for trying the separate programs"`
	Logging  settings.Logging `group:"Logging"`
}

const (
	startLimit = 30 * time.Second
	stopLimit  = 10 * time.Second
	portStep   = 10
	topPort    = 65000
)

// Main runs cassiapass-dev until a stop signal arrives and returns its exit code.
func Main(args []string, out, errs io.Writer) (int, error) {
	var o Options
	var level zerolog.Level
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		if o.Controls != 1 && o.Controls != 3 && o.Controls != 5 {
			c.Fail("controls", fmt.Sprint(o.Controls), "1, 3 or 5")
		}
		settings.Positive(c, "entries", o.Entries)
		c.Addr("engine-at", o.EngineAt, true)
		if o.BasePort < 0 || o.BasePort > topPort {
			c.Fail("base-port", fmt.Sprint(o.BasePort), "0 to 65000")
		}
		level = o.Logging.Check(c)
	})
	if !ok {
		return code, nil
	}
	if o.EngineAt != "" {
		return engineOnly(o.EngineAt, logs.New(errs, level, "engine", "localhost"))
	}
	dir := o.Data
	if dir == "" {
		tmp, err := TempDir()
		if err != nil {
			return 1, err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	}
	cfg := DefaultConfig(dir, logs.New(errs, level, "dev", "localhost"))
	cfg.Controls, cfg.Entries = o.Controls, o.Entries
	cfg.Listen = listenFrom(o.BasePort)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	s, err := Start(ctx, cfg)
	if err != nil {
		return 1, err
	}
	if err := s.SubmitSamples(ctx); err != nil {
		return 1, err
	}
	s.banner(out)
	daemon.WaitForStop(cfg.Log)
	stop, done := context.WithTimeout(context.Background(), stopLimit)
	defer done()
	s.Stop(stop)
	return 0, nil
}

// engineOnly runs only the fake engine, at addr.
func engineOnly(addr string, log zerolog.Logger) (int, error) {
	cfg := DefaultConfig("", log)
	eng := fake.NewEngine(fake.EngineConfig{Memory: cfg.Engines[0].Memory, HonoursFence: true, Store: cfg.Store, FirstToken: cfg.FirstToken, TokenEvery: cfg.TokenEvery})
	srv, err := daemon.Serve(addr, eng.Handler(), daemon.Listener{Log: log})
	if err != nil {
		return 1, err
	}
	daemon.WaitForStop(log)
	srv.Close()
	return 0, nil
}

// listenFrom returns a Config.Listen that gives every listener a fixed port counted from
// base, so that addresses in the README can be copied. With base 0, ports are free ones.
func listenFrom(base int) func(string, int) string {
	offsets := map[string]int{"entry": 0, "entry-http": 1, "control": 2, "control-http": 3, "agent": 4, "agent-http": 5}
	return func(kind string, i int) string {
		if base == 0 {
			return "127.0.0.1:0"
		}
		return fmt.Sprintf("127.0.0.1:%d", base+offsets[kind]+portStep*i)
	}
}

// banner prints the addresses of all processes and an example request.
func (s *System) banner(out io.Writer) {
	fmt.Fprintln(out, "cassiapass-dev is ready; stop it with Ctrl-C")
	for i, e := range s.Entries {
		fmt.Fprintf(out, "  entry %d      callers http://%s   metrics http://%s/metrics\n", i+1, e.API.Addr(), e.Ops.Addr())
	}
	for i, c := range s.Controls {
		fmt.Fprintf(out, "  control %d    operators http://%s\n", i+1, c.API.Addr())
	}
	for _, a := range s.Agents {
		fmt.Fprintf(out, "  endpoint     %s http://%s/debug/state\n", a.Cfg.Host, a.Ops.Addr())
	}
	fmt.Fprintf(out, "\nA first request, cold (the model is loaded for it):\n\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"summary\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", s.Entries[0].API.Addr(), KeyEast)
	fmt.Fprintf(out, "What the system decided for it:\n\n  go run ./cmd/cassiapassctl --control http://%s explain summary@1\n", s.Controls[0].API.Addr())
}
