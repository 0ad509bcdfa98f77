package daemon

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/adapter/logs"
	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/app/entry"
	"github.com/cassiapass/cassiapass/internal/core/ident"
)

// EntryOptions are the settings of cassiapass-entry.
type EntryOptions struct {
	settings.Identity `group:"Identity"`
	Control           []string           `long:"control" env:"CASSIAPASS_CONTROL" env-delim:"," description:"addresses of control hosts, nearest first; repeat the flag or separate by commas"`
	Listen            string             `long:"listen" env:"CASSIAPASS_LISTEN" description:"address for callers, IP number and port"`
	Cert              string             `long:"tls-cert" env:"CASSIAPASS_TLS_CERT" description:"PEM certificate for TLS on --listen"`
	Key               string             `long:"tls-key" env:"CASSIAPASS_TLS_KEY" description:"PEM key of --tls-cert"`
	Plaintext         bool               `long:"insecure-plaintext" env:"CASSIAPASS_INSECURE_PLAINTEXT" description:"serve callers without TLS, for example behind a balancer that ends it"`
	HTTP              string             `long:"operator-listen" env:"CASSIAPASS_OPERATOR_LISTEN" description:"address for metrics, health and debugging"`
	MaxBody           int64              `long:"max-body" env:"CASSIAPASS_MAX_BODY" default:"8388608" description:"largest request body, bytes"`
	MaxRequests       int                `long:"max-requests" env:"CASSIAPASS_MAX_REQUESTS" default:"4096" description:"requests in progress; more are refused as not run"`
	MaxDuration       time.Duration      `long:"max-duration" env:"CASSIAPASS_MAX_DURATION" default:"10m" description:"longest time that one request may take"`
	BalancerWait      time.Duration      `long:"balancer-wait" env:"CASSIAPASS_BALANCER_WAIT" default:"3s" description:"time between turning not ready and closing the listener at a planned stop"`
	DrainLimit        time.Duration      `long:"drain-limit" env:"CASSIAPASS_DRAIN_LIMIT" default:"10m" description:"longest wait for requests in progress at a planned stop"`
	Resources         settings.Resources `group:"Resources"`
	Security          settings.Security  `group:"Security"`
	Logging           settings.Logging   `group:"Logging"`
}

// Entry runs cassiapass-entry until a stop signal arrives and returns its exit code.
func Entry(args []string, out, errs io.Writer) (int, error) {
	var o EntryOptions
	cfg := entry.DefaultConfig()
	var level zerolog.Level
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		o.Check(c)
		c.Addrs("control", o.Control)
		c.Addr("listen", o.Listen, false)
		c.Addr("operator-listen", o.HTTP, false)
		checkPair(c, "tls", o.Cert, o.Key)
		if o.Cert == "" && !o.Plaintext {
			c.Fail("tls-cert", "", "required, unless --insecure-plaintext is given")
		}
		settings.Positive(c, "max-body", o.MaxBody)
		settings.Positive(c, "max-requests", o.MaxRequests)
		settings.Positive(c, "max-duration", o.MaxDuration)
		settings.Positive(c, "drain-limit", o.DrainLimit)
		o.Resources.Check(c)
		if 2*o.MaxBody > o.Resources.ClientLimits().LargestRequest() {
			c.Fail("max-body", fmt.Sprint(o.MaxBody), "at most half of what one client may hold; raise --memory-limit or --client-memory")
		}
		cfg.Security = o.Security.Load(c)
		level = o.Logging.Check(c)
	})
	if !ok {
		return code, nil
	}
	log := logs.New(errs, level, "entry", o.Host)
	cfg.Host, cfg.Zone, cfg.Group, cfg.Control, cfg.Log = ident.HostID(o.Host), ident.Zone(o.Zone), ident.Group(o.Group), o.Control, log
	cfg.MaxBody, cfg.MaxRequests, cfg.MaxDuration = o.MaxBody, o.MaxRequests, o.MaxDuration
	e := entry.New(cfg)
	api, err := Serve(o.Listen, e.API(), Listener{Cert: o.Cert, Key: o.Key, Limits: o.Resources.ClientLimits(), Log: log})
	if err != nil {
		e.Close()
		return exitFailed, err
	}
	ops, err := Serve(o.HTTP, e.Ops(), Listener{Limits: o.Resources.SideLimits(), Log: log})
	if err != nil {
		e.Close()
		return exitFailed, err
	}
	fmt.Fprintf(errs, "entry %s serves callers at %s\n", o.Host, api.Addr())
	WaitForStop(log)
	StopEntry(e, api, o.BalancerWait, o.DrainLimit)
	ops.Close()
	return 0, nil
}

// StopEntry shuts an entry down gracefully: it reports not ready, waits balancerWait so
// that the load balancer can notice, closes the listener and waits up to drainLimit for
// requests in progress.
func StopEntry(e *entry.Entry, api *httpserver.Server, balancerWait, drainLimit time.Duration) {
	e.Retire()
	time.Sleep(balancerWait)
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		api.Shutdown(context.Background())
		close(closed)
	}()
	e.Drain(ctx)
	<-closed
	e.Close()
}
