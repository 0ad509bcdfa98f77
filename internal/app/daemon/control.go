package daemon

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/hostlisthttp"
	"github.com/cassiapass/cassiapass/internal/adapter/logs"
	"github.com/cassiapass/cassiapass/internal/adapter/settings"
	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/member"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/rs/zerolog"
)

// maxStoreConcurrent limits --store-concurrent: the planner keeps a slot for each
// concurrent load.
const maxStoreConcurrent = 1000

// exitFailed is the exit code of a process that could not start or continue.
const exitFailed = 1

// ControlOptions are the settings of cassiapass-control.
type ControlOptions struct {
	settings.Identity `group:"Identity"`
	Listen            string             `long:"listen" env:"CASSIAPASS_LISTEN" description:"address for the system's own processes, IP number and port"`
	Advertise         string             `long:"advertise" env:"CASSIAPASS_ADVERTISE" description:"address under which they reach --listen, if it differs"`
	HTTP              string             `long:"operator-listen" env:"CASSIAPASS_OPERATOR_LISTEN" description:"address for operators, metrics and health"`
	HTTPCert          string             `long:"operator-tls-cert" env:"CASSIAPASS_OPERATOR_TLS_CERT" description:"PEM certificate for TLS on --operator-listen"`
	HTTPKey           string             `long:"operator-tls-key" env:"CASSIAPASS_OPERATOR_TLS_KEY" description:"PEM key of --operator-tls-cert"`
	TokenFile         string             `long:"operator-token-file" env:"CASSIAPASS_OPERATOR_TOKEN_FILE" description:"file with the token that operators send"`
	NoToken           bool               `long:"insecure-no-operator-token" env:"CASSIAPASS_INSECURE_NO_OPERATOR_TOKEN" description:"let everybody who reaches --operator-listen change records"`
	Data              string             `long:"data" env:"CASSIAPASS_DATA" description:"data folder"`
	Bootstrap         bool               `long:"bootstrap" env:"CASSIAPASS_BOOTSTRAP" description:"start a new group if the data folder is empty; on the first host only"`
	HostList          string             `long:"host-list-url" env:"CASSIAPASS_HOST_LIST_URL" description:"URL of the platform's list of hosts"`
	HostListInterval  time.Duration      `long:"host-list-interval" env:"CASSIAPASS_HOST_LIST_INTERVAL" default:"2s" description:"time between reads of the host list"`
	GoneWait          time.Duration      `long:"gone-wait" env:"CASSIAPASS_GONE_WAIT" default:"30s" description:"absence from the host list before a silent host is forgotten; longer than the list may lag"`
	StoreRate         float64            `long:"store-rate" env:"CASSIAPASS_STORE_RATE" default:"10" description:"loads per second that the weight store allows"`
	StoreConcurrent   int                `long:"store-concurrent" env:"CASSIAPASS_STORE_CONCURRENT" default:"4" description:"loads at once that the store serves at full speed"`
	StoreSpeed        float64            `long:"store-speed" env:"CASSIAPASS_STORE_SPEED" default:"2e9" description:"first estimate of one load from the store, bytes per second"`
	DiskSpeed         float64            `long:"disk-speed" env:"CASSIAPASS_DISK_SPEED" default:"5e9" description:"first estimate of one load from an endpoint's disk, bytes per second"`
	MemorySpeed       float64            `long:"memory-speed" env:"CASSIAPASS_MEMORY_SPEED" default:"20e9" description:"first estimate of one load from an endpoint's memory, bytes per second"`
	Resources         settings.Resources `group:"Resources"`
	Security          settings.Security  `group:"Security"`
	Logging           settings.Logging   `group:"Logging"`
}

// Control runs cassiapass-control until a stop signal arrives and returns its exit code.
func Control(args []string, out, errs io.Writer) (int, error) {
	var o ControlOptions
	cfg := control.Config{Leases: member.DefaultConfig(), Placement: placement.DefaultConfig()}
	var token string
	var level zerolog.Level
	code, ok := settings.Parse(&o, args, out, errs, func(c *settings.Checker) {
		o.Check(c)
		c.Addr("listen", o.Listen, false)
		c.Addr("advertise", o.Advertise, true)
		c.Addr("operator-listen", o.HTTP, false)
		if o.Data == "" {
			c.Fail("data", "", "required: a folder on a disk that lasts")
		}
		settings.Positive(c, "host-list-interval", o.HostListInterval)
		settings.Positive(c, "gone-wait", o.GoneWait)
		settings.Positive(c, "store-rate", o.StoreRate)
		if o.StoreConcurrent < 1 || o.StoreConcurrent > maxStoreConcurrent {
			c.Fail("store-concurrent", fmt.Sprint(o.StoreConcurrent), "1 to 1000")
		}
		settings.Positive(c, "store-speed", o.StoreSpeed)
		settings.Positive(c, "disk-speed", o.DiskSpeed)
		settings.Positive(c, "memory-speed", o.MemorySpeed)
		checkPair(c, "operator-tls", o.HTTPCert, o.HTTPKey)
		token = settings.ReadToken(c, "operator-token-file", o.TokenFile, o.NoToken)
		o.Resources.Check(c)
		cfg.Security = o.Security.Load(c)
		cfg.Security.Limits = o.Resources.PeerLimits()
		level = o.Logging.Check(c)
	})
	if !ok {
		return code, nil
	}
	log := logs.New(errs, level, "control", o.Host)
	cfg.Host, cfg.Group, cfg.Listen, cfg.Advertise = ident.HostID(o.Host), ident.Group(o.Group), o.Listen, o.Advertise
	cfg.DataDir, cfg.Bootstrap, cfg.Log = o.Data, o.Bootstrap, log
	cfg.Leases.GoneWait = o.GoneWait
	cfg.Placement.StoreRate, cfg.Placement.StoreConcurrent = o.StoreRate, o.StoreConcurrent
	cfg.Placement.RemoteSpeed, cfg.Placement.DiskSpeed, cfg.Placement.MemorySpeed = o.StoreSpeed, o.DiskSpeed, o.MemorySpeed
	if o.HostList != "" {
		cfg.HostList, cfg.HostListInterval = hostlisthttp.New(o.HostList), o.HostListInterval
	}
	cfg.Fatal = func(err error) {
		// After a failed write or sync, nothing may be acknowledged.
		log.Error().Err(err).Msg("disk_failed")
		os.Exit(exitFailed)
	}
	c, err := control.New(cfg)
	if err != nil {
		return exitFailed, err
	}
	api, err := Serve(o.HTTP, c.API(token), Listener{Cert: o.HTTPCert, Key: o.HTTPKey, Limits: o.Resources.OperatorLimits(), Log: log})
	if err != nil {
		c.Kill()
		return exitFailed, err
	}
	WaitForStop(log)
	c.Stop()
	api.Close()
	return 0, nil
}

func checkPair(c *settings.Checker, flag, cert, key string) {
	if (cert == "") != (key == "") {
		c.Fail(flag+"-cert", cert, "give both "+flag+"-cert and "+flag+"-key, or neither")
	}
}
