// Package dev runs all roles of the system and fakes of all external systems in one process
// on the loopback interface. It implements cassiapass-dev, a system to try out, and serves
// tests and measurements.
package dev

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/enginehttp"
	"github.com/cassiapass/cassiapass/internal/adapter/hostlisthttp"
	"github.com/cassiapass/cassiapass/internal/adapter/httpserver"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/app/agent"
	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/app/daemon"
	"github.com/cassiapass/cassiapass/internal/app/entry"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/member"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/record"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/fake"
	"github.com/cassiapass/cassiapass/internal/port"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Config describes the system to start.
type Config struct {
	Dir        string // data folder
	Controls   int
	Entries    int
	Engines    []EngineSpec
	Plains     []string // plain services, one endpoint each
	Log        zerolog.Logger
	Key        []byte
	Store      *fake.Store
	FirstToken time.Duration
	TokenEvery time.Duration
	Placement  placement.Config
	Leases     member.Config
	TuneAgent  func(*agent.Config)
	TuneEntry  func(*entry.Config)
	// Relayed connects every agent and every control host through a relay, so that tests
	// can inject connection faults.
	Relayed bool
	Listen  func(kind string, i int) string // address to listen on; loopback with a free port if nil
}

// EngineSpec describes one endpoint with an engine.
type EngineSpec struct {
	Host         ident.HostID
	Zone         ident.Zone
	Place        string
	Memory       int64
	HonoursFence bool
}

// DefaultConfig returns the configuration of cassiapass-dev.
func DefaultConfig(dir string, log zerolog.Logger) Config {
	return Config{
		Dir: dir, Controls: 1, Entries: 2, Log: log, Key: []byte("development-shared-key"),
		Engines: []EngineSpec{
			{Host: "kyushu-gpu-1", Zone: "fukuoka", Place: "kyushu", Memory: 24e9, HonoursFence: true},
			{Host: "kigali-gpu-1", Zone: "gasabo", Place: "kigali", Memory: 24e9, HonoursFence: false},
		},
		Plains:    []string{"receipts"},
		Store:     &fake.Store{Speed: 8e9, Concurrent: 4, DiskSpeed: 20e9, MemSpeed: 80e9},
		Placement: placement.DefaultConfig(), Leases: member.DefaultConfig(),
		FirstToken: 20 * time.Millisecond, TokenEvery: 10 * time.Millisecond,
	}
}

// System is a running system with its fakes.
type System struct {
	cfg       Config
	Controls  []*ControlProc
	Entries   []*EntryProc
	Agents    []*AgentProc
	Store     *fake.Store
	Hosts     *fake.HostList
	hostsHTTP *httpserver.Server
}

// ControlProc is one control host.
type ControlProc struct {
	*control.Control
	API   *httpserver.Server
	Relay *fake.Relay
	Dir   string
}

// EntryProc is one entry.
type EntryProc struct {
	*entry.Entry
	API *httpserver.Server
	Ops *httpserver.Server
}

// AgentProc is one agent with its fake engine or plain service.
// ServiceHTTP is the HTTP listener of that fake.
type AgentProc struct {
	*agent.Agent
	Cfg         agent.Config
	Ops         *httpserver.Server
	Engine      *fake.Engine
	Plain       *fake.Plain
	ServiceHTTP *httpserver.Server
	Relay       *fake.Relay
}

func (s *System) listen(kind string, i int) string {
	if s.cfg.Listen != nil {
		return s.cfg.Listen(kind, i)
	}
	return "127.0.0.1:0"
}

func (s *System) security() rpc.Security { return rpc.Security{Key: s.cfg.Key} }

// Start starts the system and waits until it is ready.
func Start(ctx context.Context, cfg Config) (*System, error) {
	s := &System{cfg: cfg, Store: cfg.Store, Hosts: fake.NewHostList()}
	var err error
	if s.hostsHTTP, err = daemon.Serve("127.0.0.1:0", s.Hosts, daemon.Listener{Log: cfg.Log}); err != nil {
		return nil, err
	}
	for i := range cfg.Controls {
		if err := s.startControl(ctx, i); err != nil {
			return nil, err
		}
	}
	for i, spec := range cfg.Engines {
		if err := s.startEngine(i, spec); err != nil {
			return nil, err
		}
	}
	for _, name := range cfg.Plains {
		if err := s.startPlain(name); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Entries {
		if err := s.StartEntry(i); err != nil {
			return nil, err
		}
	}
	return s, s.WaitReady(ctx)
}

// startControl starts control host i. The first one bootstraps the group; the others join
// and are promoted, as an operator would do it.
func (s *System) startControl(ctx context.Context, i int) error {
	p := &ControlProc{Dir: filepath.Join(s.cfg.Dir, fmt.Sprintf("control-%d", i+1))}
	s.Controls = append(s.Controls, p)
	if err := s.OpenControl(i); err != nil {
		return err
	}
	if i == 0 {
		return s.waitLeader(ctx)
	}
	return s.Join(ctx, p, true)
}

// OpenControl starts control host i on its data folder, as after a restart of its process.
func (s *System) OpenControl(i int) error {
	p := s.Controls[i]
	advertise := ""
	if s.cfg.Relayed && p.Relay == nil {
		r, err := fake.NewRelay("")
		if err != nil {
			return err
		}
		p.Relay = r
	}
	if p.Relay != nil {
		advertise = p.Relay.Addr()
	}
	host := ident.HostID(fmt.Sprintf("control-%d", i+1))
	log := s.cfg.Log.With().Str("role", "control").Str("host", string(host)).Logger()
	c, err := control.New(control.Config{
		Host: host, Group: ident.DefaultGroup, Listen: s.listen("control", i), Advertise: advertise, DataDir: p.Dir, Bootstrap: i == 0,
		Security: s.security(), Placement: s.cfg.Placement, Leases: s.cfg.Leases,
		HostList: hostlisthttp.New("http://" + s.hostsHTTP.Addr()), HostListInterval: time.Second,
		Log: log, Fatal: func(err error) { log.Error().Err(err).Msg("control_failed") },
	})
	if err != nil {
		return err
	}
	if p.Relay != nil {
		p.Relay.SetTarget(c.ListenAddr())
	}
	p.Control = c
	if p.API, err = daemon.Serve(s.listen("control-http", i), c.API(""), daemon.Listener{Log: log}); err != nil {
		return err
	}
	return nil
}

// Join adds a control host to the group and, if voter is set, promotes it.
func (s *System) Join(ctx context.Context, p *ControlProc, voter bool) error {
	m := consensus.Member{ID: p.ID(), Addr: p.Addr()}
	for _, v := range []bool{false, true} {
		if v && !voter {
			return nil
		}
		m.Voter = v
		if err := s.changeMember(ctx, p, m); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) changeMember(ctx context.Context, except *ControlProc, m consensus.Member) error {
	for ctx.Err() == nil {
		for _, c := range s.Controls {
			if c == except || c.Control == nil {
				continue
			}
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			res, err := c.ChangeMember(cctx, wire.MemberParams{Member: m})
			cancel()
			if err == nil && res.Done {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return oops.Errorf("member %d could not be changed: %w", m.ID, ctx.Err())
}

func (s *System) waitLeader(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.Leader() != nil {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

// Leader returns the control host that is the leader, or nil.
func (s *System) Leader() *ControlProc {
	for _, c := range s.Controls {
		if c.Control != nil && c.Status().Role == consensus.Leader {
			return c
		}
	}
	return nil
}

// ControlAddrs returns the addresses of all control hosts, starting with host i.
func (s *System) ControlAddrs(i int) []string {
	var out []string
	for k := range s.Controls {
		out = append(out, s.Controls[(i+k)%len(s.Controls)].Addr())
	}
	return out
}

func (s *System) startEngine(i int, spec EngineSpec) error {
	eng := fake.NewEngine(fake.EngineConfig{Memory: spec.Memory, HonoursFence: spec.HonoursFence, Store: s.cfg.Store, FirstToken: s.cfg.FirstToken, TokenEvery: s.cfg.TokenEvery})
	back, err := daemon.Serve("127.0.0.1:0", eng.Handler(), daemon.Listener{Log: s.cfg.Log})
	if err != nil {
		return err
	}
	cfg := agent.DefaultConfig()
	cfg.Host, cfg.Zone, cfg.Place, cfg.Memory, cfg.HonoursFence = spec.Host, spec.Zone, spec.Place, spec.Memory, spec.HonoursFence
	cfg.Engine = enginehttp.New("http://" + back.Addr())
	cfg.LongestOrder = 2 * time.Second
	return s.addAgent(&AgentProc{Cfg: cfg, Engine: eng, ServiceHTTP: back}, i)
}

func (s *System) startPlain(name string) error {
	plain := fake.NewPlain()
	back, err := daemon.Serve("127.0.0.1:0", plain, daemon.Listener{Log: s.cfg.Log})
	if err != nil {
		return err
	}
	cfg := agent.DefaultConfig()
	cfg.Host, cfg.Zone, cfg.Place, cfg.Serves = ident.HostID(name+"-1"), "gasabo", "kigali", name
	cfg.Plain = enginehttp.New("http://" + back.Addr())
	return s.addAgent(&AgentProc{Cfg: cfg, Plain: plain, ServiceHTTP: back}, len(s.Agents))
}

func (s *System) addAgent(p *AgentProc, i int) error {
	p.Cfg.Group, p.Cfg.Security = ident.DefaultGroup, s.security()
	p.Cfg.Control = s.ControlAddrs(i)
	p.Cfg.Log = s.cfg.Log.With().Str("role", "agent").Str("host", string(p.Cfg.Host)).Logger()
	if s.cfg.TuneAgent != nil {
		s.cfg.TuneAgent(&p.Cfg)
	}
	if s.cfg.Relayed {
		r, err := fake.NewRelay("")
		if err != nil {
			return err
		}
		p.Relay = r
		p.Cfg.Advertise = r.Addr()
	}
	s.Agents = append(s.Agents, p)
	s.Hosts.Set(p.Cfg.Host, port.HostLive)
	return s.OpenAgent(len(s.Agents) - 1)
}

// OpenAgent starts agent i, as after a restart of its process.
func (s *System) OpenAgent(i int) error {
	p := s.Agents[i]
	cfg := p.Cfg
	cfg.Listen = s.listen("agent", i)
	cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	a, err := agent.New(cfg)
	if err != nil {
		return err
	}
	if p.Relay != nil {
		p.Relay.SetTarget(a.ListenAddr())
	}
	p.Agent = a
	if p.Ops != nil {
		p.Ops.Close()
	}
	p.Ops, err = daemon.Serve(s.listen("agent-http", i), a.API(), daemon.Listener{Log: cfg.Log})
	return err
}

// StartEntry starts entry i and replaces an existing one.
func (s *System) StartEntry(i int) error {
	cfg := entry.DefaultConfig()
	cfg.Host = ident.HostID(fmt.Sprintf("entry-%d", i+1))
	cfg.Zone = s.cfg.Engines[i%len(s.cfg.Engines)].Zone
	cfg.Group, cfg.Control, cfg.Security = ident.DefaultGroup, s.ControlAddrs(i), s.security()
	cfg.Log = s.cfg.Log.With().Str("role", "entry").Str("host", string(cfg.Host)).Logger()
	if s.cfg.TuneEntry != nil {
		s.cfg.TuneEntry(&cfg)
	}
	p := &EntryProc{Entry: entry.New(cfg)}
	var err error
	if p.API, err = daemon.Serve(s.listen("entry", i), p.Entry.API(), daemon.Listener{Log: cfg.Log}); err != nil {
		return err
	}
	if p.Ops, err = daemon.Serve(s.listen("entry-http", i), p.Entry.Ops(), daemon.Listener{Log: cfg.Log}); err != nil {
		return err
	}
	if i < len(s.Entries) {
		s.Entries[i] = p
		return nil
	}
	s.Entries = append(s.Entries, p)
	return nil
}

// WaitReady waits until all entries and agents are ready.
func (s *System) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := true
		for _, e := range s.Entries {
			ready = ready && e.Ready()
		}
		for _, a := range s.Agents {
			ready = ready && a.Ready()
		}
		if ready {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return oops.Errorf("the system is not ready: %w", ctx.Err())
}

// Submit submits a record and waits until it is in force at every entry.
func (s *System) Submit(ctx context.Context, request string, base ident.Index, raw record.Text) (state.Result, error) {
	cmd := state.Command{By: "dev", Submit: &state.Submit{Request: request, Base: base, Raw: raw, Reason: "sample"}}
	res, err := s.Propose(ctx, cmd)
	if err != nil || res.Code != state.OK {
		return res, err
	}
	for ctx.Err() == nil {
		if s.inForceEverywhere(res.Revision) {
			return res, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return res, ctx.Err()
}

// Propose proposes a command through the first running control host that answers. It
// returns control.ErrNoLeader if none does.
func (s *System) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	for _, c := range s.Controls {
		if c.Control == nil {
			continue
		}
		res, err := c.Propose(ctx, cmd)
		if err == nil {
			return res, nil
		}
	}
	return state.Result{}, control.ErrNoLeader
}

func (s *System) inForceEverywhere(i ident.Index) bool {
	for _, e := range s.Entries {
		if e.Config() < i {
			return false
		}
	}
	return true
}

// SubmitSamples submits the sample records, except those that exist already.
func (s *System) SubmitSamples(ctx context.Context) error {
	for i, raw := range Samples() {
		res, err := s.Submit(ctx, fmt.Sprintf("dev-sample-%d", i+1), 0, raw)
		if err != nil {
			return err
		}
		if res.Code != state.OK && res.Code != state.Conflict {
			return oops.Errorf("sample record %d: %s: %s", i+1, res.Code, res.Message)
		}
	}
	return nil
}

// Stop stops the entries and then the agents gracefully, and ends the control hosts last.
func (s *System) Stop(ctx context.Context) {
	for _, e := range s.Entries {
		e.Retire()
		e.Drain(ctx)
		e.API.Shutdown(ctx)
		e.Ops.Close()
		e.Close()
	}
	for _, a := range s.Agents {
		a.Stop(time.Second)
		a.Ops.Close()
		a.ServiceHTTP.Close()
		if a.Relay != nil {
			a.Relay.Close()
		}
	}
	for _, c := range s.Controls {
		if c.Control != nil {
			c.API.Close()
			c.Kill()
		}
		if c.Relay != nil {
			c.Relay.Close()
		}
	}
	s.hostsHTTP.Close()
}

// TempDir creates a temporary data folder. The caller removes it.
func TempDir() (string, error) { return os.MkdirTemp("", "cassiapass-dev-") }
