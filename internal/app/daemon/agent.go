package daemon

import (
	"io"
	"net/url"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/enginehttp"
	"github.com/cassiapass/cassiapass/internal/adapter/logs"
	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/rs/zerolog"
)

// AgentOptions are the settings of cassiapass-agent.
type AgentOptions struct {
	settings.Identity `group:"Identity"`
	Place             string             `long:"place" env:"CASSIAPASS_PLACE" description:"deployment that this endpoint belongs to, as records name it"`
	Control           []string           `long:"control" env:"CASSIAPASS_CONTROL" env-delim:"," description:"addresses of control hosts, nearest first; repeat the flag or separate by commas"`
	Listen            string             `long:"listen" env:"CASSIAPASS_LISTEN" description:"address for entries, IP number and port"`
	Advertise         string             `long:"advertise" env:"CASSIAPASS_ADVERTISE" description:"address under which entries reach --listen, if it differs"`
	HTTP              string             `long:"operator-listen" env:"CASSIAPASS_OPERATOR_LISTEN" description:"address for metrics, health and debugging"`
	Engine            string             `long:"engine-url" env:"CASSIAPASS_ENGINE_URL" description:"base URL of the model engine"`
	Memory            int64              `long:"memory" env:"CASSIAPASS_MEMORY" description:"accelerator memory that replicas may take, bytes; leave room for the KV cache"`
	Fencing           string             `long:"engine-fencing" env:"CASSIAPASS_ENGINE_FENCING" default:"ignored" description:"honoured if the engine refuses orders with an old fencing number, else ignored"`
	LongestOrder      time.Duration      `long:"longest-order" env:"CASSIAPASS_LONGEST_ORDER" default:"10m" description:"time after which an order can no longer take effect at the engine"`
	Plain             string             `long:"plain-url" env:"CASSIAPASS_PLAIN_URL" description:"base URL of the plain service, instead of an engine"`
	Serves            string             `long:"serves" env:"CASSIAPASS_SERVES" description:"name of the plain service behind --plain-url"`
	Slots             int                `long:"slots" env:"CASSIAPASS_SLOTS" default:"16" description:"requests that run at once"`
	MaxQueue          int                `long:"max-queue" env:"CASSIAPASS_MAX_QUEUE" default:"256" description:"requests that wait; more are refused as not run"`
	DrainLimit        time.Duration      `long:"drain-limit" env:"CASSIAPASS_DRAIN_LIMIT" default:"10m" description:"longest wait for requests in progress at a planned stop"`
	Resources         settings.Resources `group:"Resources"`
	Security          settings.Security  `group:"Security"`
	Logging           settings.Logging   `group:"Logging"`
}

const (
	fenceHonoured = "honoured"
	fenceIgnored  = "ignored"
)

// Agent runs cassiapass-agent until a stop signal arrives and returns its exit code.
func Agent(args []string, out, errs io.Writer) (int, error) {
	var o AgentOptions
	cfg := agent.DefaultConfig()
	var level zerolog.Level
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		o.Check(c)
		c.Name("place", o.Place)
		c.Addrs("control", o.Control)
		c.Addr("listen", o.Listen, false)
		c.Addr("advertise", o.Advertise, true)
		c.Addr("operator-listen", o.HTTP, false)
		checkEngineOrPlain(c, o)
		settings.Positive(c, "slots", o.Slots)
		settings.Positive(c, "max-queue", o.MaxQueue)
		settings.Positive(c, "drain-limit", o.DrainLimit)
		o.Resources.Check(c)
		cfg.Security = o.Security.Load(c)
		cfg.Security.Limits = o.Resources.PeerLimits()
		level = o.Logging.Check(c)
	})
	if !ok {
		return code, nil
	}
	log := logs.New(errs, level, "agent", o.Host)
	cfg.Host, cfg.Zone, cfg.Place, cfg.Group = ident.HostID(o.Host), ident.Zone(o.Zone), o.Place, ident.Group(o.Group)
	cfg.Listen, cfg.Advertise, cfg.Control, cfg.Log = o.Listen, o.Advertise, o.Control, log
	cfg.Slots, cfg.MaxQueue, cfg.LongestOrder = o.Slots, o.MaxQueue, o.LongestOrder
	if o.Engine != "" {
		cfg.Engine, cfg.Memory, cfg.HonoursFence = enginehttp.New(o.Engine), o.Memory, o.Fencing == fenceHonoured
	} else {
		cfg.Plain, cfg.Serves = enginehttp.New(o.Plain), o.Serves
	}
	a, err := agent.New(cfg)
	if err != nil {
		return exitFailed, err
	}
	ops, err := Serve(o.HTTP, a.API(), Listener{Limits: o.Resources.SideLimits(), Log: log})
	if err != nil {
		a.Kill()
		return exitFailed, err
	}
	WaitForStop(log)
	a.Stop(o.DrainLimit)
	ops.Close()
	return 0, nil
}

// checkEngineOrPlain checks that exactly one of --engine-url and --plain-url is given,
// and the settings that belong to it.
func checkEngineOrPlain(c *settings.Checker, o AgentOptions) {
	if (o.Engine == "") == (o.Plain == "") {
		c.Fail("engine-url", o.Engine, "give either --engine-url or --plain-url")
		return
	}
	if o.Plain != "" {
		checkURL(c, "plain-url", o.Plain)
		c.Name("serves", o.Serves)
		return
	}
	checkURL(c, "engine-url", o.Engine)
	settings.Positive(c, "memory", o.Memory)
	settings.Positive(c, "longest-order", o.LongestOrder)
	if o.Fencing != fenceHonoured && o.Fencing != fenceIgnored {
		c.Fail("engine-fencing", o.Fencing, fenceHonoured+" or "+fenceIgnored)
	}
}

func checkURL(c *settings.Checker, flag, v string) {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.Fail(flag, v, "a URL such as http://127.0.0.1:8000")
	}
}
