package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/disklog"
	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/core/contact"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/member"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/core/poison"
	"github.com/cassiapass/cassiapass/internal/core/roster"
	"github.com/cassiapass/cassiapass/internal/core/state"
	"github.com/cassiapass/cassiapass/internal/port"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// Config holds the settings of a control host.
type Config struct {
	Host      ident.HostID
	Group     ident.Group
	Listen    string  // address for the system's own processes
	Advertise string  // address under which other processes reach Listen; Listen's own if empty
	DataDir   string  // unused if Seeds.Volatile
	FS        port.FS // of DataDir; nil for the operating system's
	// WrapDisk, if set, wraps the log on disk, to make it slow, stall or fail.
	WrapDisk func(port.Disk) port.Disk
	// Bootstrap starts a new group with this host as its only voter when the
	// data folder is empty. Without it, a host with an empty folder waits to be added.
	Bootstrap        bool
	Security         rpc.Security
	Placement        placement.Config
	Leases           member.Config
	HostList         port.HostList // nil if the platform has none
	HostListInterval time.Duration
	Log              zerolog.Logger
	// Metrics is the set to which this host adds its metrics; nil for a new one.
	Metrics *vm.Set
	// Seeds lets the group form and maintain its membership without an operator.
	Seeds Seeds
	// Methods handles calls that another part of the process offers to the
	// system's own processes; nil if there is none.
	Methods func(ctx context.Context, method string, params json.RawMessage) (any, error)
	// OnDeploy is called in order with every deployment that this host applies; it
	// must not block.
	OnDeploy func(state.Deployment)
	// OnPoison is called in order with every change of the quarantined requests that this
	// host applies; it must not block.
	OnPoison func(poison.Registry)
	// Fatal is called once when the process must stop, for example after a disk failure.
	Fatal func(error)
}

// Control is one running control host.
type Control struct {
	cfg    Config
	id     consensus.NodeID
	loop   *loop
	hub    *hub
	peers  *peers
	srv    *rpc.Server
	count  *rpc.ByteCounter
	met    *metrics
	disk   port.Disk
	cancel context.CancelFunc
	// started is closed when the loop runs. Peers that know this host's address may
	// send messages earlier, as soon as it listens.
	started  chan struct{}
	contacts contacts
}

// folder returns the data folder.
func (cfg Config) folder() disklog.Folder { return disklog.Folder{Dir: cfg.DataDir, FS: cfg.FS} }

// openLog opens the log in the data folder, or a volatile one on a host without a disk.
func (cfg Config) openLog() (port.Disk, *disklog.Restored, error) {
	if cfg.Seeds.Volatile {
		return volatileDisk{}, &disklog.Restored{Identity: cfg.freshIdentity()}, nil
	}
	disk, res, err := cfg.folder().Open(cfg.freshIdentity)
	if errors.Is(err, disklog.ErrDamaged) && cfg.Seeds.used() {
		disk, res, err = cfg.setAsideDataFolder(res, err)
	}
	return disk, res, err
}

// New opens the data folder and starts the control host.
func New(cfg Config) (*Control, error) {
	savedContacts := cfg.loadContacts()
	disk, res, err := cfg.openLog()
	if err != nil {
		return nil, err
	}
	if res.Identity.Group != cfg.Group {
		_ = disk.Close()
		return nil, oops.Errorf("data folder %s belongs to group %q, not %q", cfg.DataDir, res.Identity.Group, cfg.Group)
	}
	c := &Control{cfg: cfg, id: res.Identity.Node, count: &rpc.ByteCounter{}, disk: disk, started: make(chan struct{})}
	if err := c.start(res, savedContacts); err != nil {
		_ = disk.Close()
		return nil, err
	}
	return c, nil
}

func (c *Control) start(res *disklog.Restored, savedContacts []string) error {
	st, err := state.Decode(res.Snapshot.Data)
	if err != nil {
		return err
	}
	c.hub = newHub(c.copyAll)
	c.met = newMetrics(c.cfg.Metrics, c.count, c.Status, c.hub.subscribers)
	c.peers = newPeers(c.id, c.cfg.Security, c.count, c.cfg.Log, c.met.waitSeconds, c.contacts.addrOf)
	c.srv, err = rpc.Listen(c.cfg.Listen, c.cfg.Security, c.count, c.handle, c.hub.unsubscribe, c.authFailed)
	if err != nil {
		return err
	}
	c.contacts.book = contact.New(time.Now(), contact.Contact{ID: c.id, Addr: c.Addr()}, c.cfg.Seeds.Addrs, savedContacts)
	if err := c.bootstrap(res); err != nil {
		c.srv.Close()
		return err
	}
	disk := c.disk
	if c.cfg.WrapDisk != nil {
		disk = c.cfg.WrapDisk(disk)
	}
	c.loop = &loop{
		id: c.id, addr: c.Addr(), contactAddr: c.contacts.addrOf, log: c.cfg.Log, st: st, disk: disk, send: c.sendToPeers, hub: c.hub, met: c.met, fatal: c.cfg.Fatal, group: c.cfg.Group, startedAt: time.Now(),
		duties: &duties{log: c.cfg.Log, cfg: c.cfg.Placement, leases: c.cfg.Leases},
		watch:  leaderWatch{log: c.cfg.Log, met: c.met},
		tasks:  make(chan func(), taskQueue), stopped: make(chan struct{}), done: make(chan struct{}),
		waiters: map[uint64]waiter{}, reads: map[uint64]chan<- uint64{},
		// Read contexts start at a random number, so that an answer to an earlier
		// incarnation is not matched with a read of this one.
		nextRead: rand.Uint64() >> 1,
		heard:    roster.Heard{}, onDeploy: c.cfg.OnDeploy, onPoison: c.cfg.OnPoison, rosterUsed: c.cfg.Seeds.used(), rosterCfg: c.cfg.Seeds.Roster, volatile: c.cfg.Seeds.Volatile,
	}
	c.loop.node = consensus.New(consensus.Config{
		ID: c.id, ElectionTicks: electionTicks, StartTicks: startTicks, HeartbeatTicks: voterHeartbeatTicks, ObserverTicks: observerHeartbeatTicks,
		Rand: rand.IntN, HardState: res.HardState, Snapshot: res.Snapshot, Entries: res.Entries,
	})
	if log, ok := c.disk.(*disklog.Log); ok && log.HasSetAside() {
		c.loop.setAside = log
	}
	c.hub.reset(ident.Index(res.Snapshot.Index))
	c.peers.update(c.loop.node.Status().Membership)
	c.cfg.Log.Info().Uint64("node", uint64(c.id)).Str("address", c.Addr()).Int("entries", len(res.Entries)).Uint64("snapshot", res.Snapshot.Index).Int("torn_bytes", res.TornBytes).
		Uint64("term", res.HardState.Term).Uint64("commit", res.HardState.Commit).Stringers("segments", newestSegments(res.Segments)).Msg("control_started")
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.loop.notifyDeployment()
	c.loop.notifyPoison()
	c.loop.beats.send = c.peers.send
	go c.loop.beats.run(c.loop.stopped)
	go c.loop.run()
	close(c.started)
	go c.forwardBeats(ctx)
	if c.cfg.Seeds.used() {
		go c.greetHosts(ctx)
	}
	if c.cfg.Seeds.used() && !c.cfg.Seeds.Volatile {
		go c.saveContacts(ctx, savedContacts)
	}
	if c.cfg.HostList != nil {
		go c.pollHosts(ctx)
	}
	return nil
}

// bootstrap writes the first snapshot of a new group if the data folder is empty and
// this host is a founder or Config.Bootstrap is set.
func (c *Control) bootstrap(res *disklog.Restored) error {
	empty := res.Snapshot.Index == 0 && len(res.Entries) == 0
	if m, founder := c.foundingMembership(); founder && empty {
		res.Snapshot = consensus.Bootstrap(m)
		return c.disk.SaveSnapshot(res.Snapshot)
	}
	if !c.cfg.Bootstrap || !empty {
		return nil
	}
	self := consensus.Member{ID: c.id, Addr: c.Addr(), Voter: true}
	res.Snapshot = consensus.Bootstrap(consensus.Membership{Members: []consensus.Member{self}})
	return c.disk.SaveSnapshot(res.Snapshot)
}

// Addr returns the address under which other processes reach this host.
func (c *Control) Addr() string {
	if c.cfg.Advertise != "" {
		return c.cfg.Advertise
	}
	return c.srv.Addr()
}

// ListenAddr returns the address that this host is bound to.
func (c *Control) ListenAddr() string { return c.srv.Addr() }

// ID returns the member identity.
func (c *Control) ID() consensus.NodeID { return c.id }

func (c *Control) authFailed(remote string, err error) {
	c.cfg.Log.Warn().Str("remote", remote).Err(err).Msg("connection_refused")
}

// sendToPeers sends messages after updating the connections to the current
// membership. It runs in the loop.
func (c *Control) sendToPeers(msgs []consensus.Message) {
	if len(msgs) == 0 {
		return
	}
	c.peers.update(c.loop.node.Status().Membership)
	c.peers.send(msgs)
}

// copyAll returns the whole state that subscribers receive, as changes.
func (c *Control) copyAll() (ident.Index, []state.Change, error) {
	var index ident.Index
	var out []state.Change
	err := c.loop.do(func() {
		st := c.loop.st
		index = st.Index()
		for _, r := range st.Records() {
			out = append(out, state.Change{Index: r.Revision, Record: &r})
		}
		for _, e := range st.Endpoints() {
			out = append(out, state.Change{Index: e.Revision, Endpoint: &e})
		}
		for _, r := range st.Replicas() {
			out = append(out, state.Change{Index: r.Revision, Replica: &r})
		}
		if reg := st.Poison(); len(reg.Key) > 0 {
			out = append(out, state.Change{Index: index, Poison: &reg})
		}
	})
	return index, out, err
}

const beatForwardInterval = 250 * time.Millisecond

// forwardBeats forwards the beats of this host's subscribers to the leader.
func (c *Control) forwardBeats(ctx context.Context) {
	t := time.NewTicker(beatForwardInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		leader := c.leader()
		if leader == c.id || leader == consensus.None {
			continue // the leader processes its own; without a leader they wait
		}
		if beats := c.hub.takeBeats(); len(beats) > 0 {
			c.forward(ctx, leader, beats)
		}
	}
}

func (c *Control) forward(ctx context.Context, leader consensus.NodeID, beats []wire.Beat) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var res wire.SessionsResult
	if err := c.peers.call(ctx, leader, wire.MethodSessions, wire.Sessions{From: c.id, Beats: beats}, &res); err != nil {
		c.hub.restoreBeats(beats) // reports may hold what is not sent again
		return
	}
	c.hub.setEntries(res.Entries)
}

func (c *Control) pollHosts(ctx context.Context) {
	t := time.NewTicker(c.cfg.HostListInterval)
	defer t.Stop()
	for {
		hosts, err := c.cfg.HostList.List(ctx)
		if err == nil {
			c.loop.post(func() { c.loop.duties.setHosts(time.Now(), hosts) })
		} else if ctx.Err() == nil {
			c.cfg.Log.Warn().Err(err).Msg("host_list_failed")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// leader returns the leader known to this host, without waiting for the loop.
func (c *Control) leader() consensus.NodeID { return consensus.NodeID(c.loop.leader.Load()) }

// Status returns the consensus status.
func (c *Control) Status() consensus.Status {
	var s consensus.Status
	_ = c.loop.do(func() { s = c.loop.node.Status() })
	return s
}

// Propose commits a command through the current leader. The error is one of
// the package's errors; after ErrLost or a timeout it is not known whether the command
// was committed.
func (c *Control) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	for {
		res, err := c.proposeOnce(ctx, cmd)
		if !errors.Is(err, consensus.ErrNotLeader) && !errors.Is(err, ErrNoLeader) && !errors.Is(err, consensus.ErrTransferring) {
			return res, err
		}
		// It was not proposed: wait for a leader until ctx ends.
		select {
		case <-ctx.Done():
			return state.Result{}, ErrNoLeader
		case <-time.After(redialPause):
		}
	}
}

func (c *Control) proposeOnce(ctx context.Context, cmd state.Command) (state.Result, error) {
	leader := c.leader()
	switch leader {
	case consensus.None:
		return state.Result{}, ErrNoLeader
	case c.id:
		return c.proposeHere(ctx, cmd)
	}
	var res state.Result
	err := c.peers.call(ctx, leader, wire.MethodPropose, wire.ProposeParams{Command: cmd}, &res)
	if errors.Is(err, rpc.ErrNotLeader) {
		return res, consensus.ErrNotLeader
	}
	if err != nil && !rpc.IsRemoteError(err) && ctx.Err() == nil {
		// The connection broke: the command may have been proposed.
		return res, oops.Wrap(errors.Join(ErrLost, err))
	}
	return res, err
}

// proposeHere commits a command on this host, which must be the leader.
func (c *Control) proposeHere(ctx context.Context, cmd state.Command) (state.Result, error) {
	ch := make(chan proposalResult, 1)
	if !c.loop.post(func() { c.loop.propose(cmd, ch) }) {
		return state.Result{}, ErrStopped
	}
	select {
	case r := <-ch:
		return r.res, r.err
	case <-ctx.Done():
		return state.Result{}, ErrLost
	case <-c.loop.done:
		return state.Result{}, ErrStopped
	}
}

// Ready returns nil when this host has applied everything that was committed before the
// call, and an error if no quorum confirms that before ctx ends.
func (c *Control) Ready(ctx context.Context) error {
	_, err := c.loop.barrier(ctx)
	return err
}

const transferTimeout = 2 * time.Second

// Stop transfers leadership to another voter, if this host leads, and stops.
func (c *Control) Stop() {
	c.transferLeadership()
	c.Kill()
}

// transferLeadership transfers leadership to another voter and waits until that voter leads,
// so that a planned stop leaves no time without a leader.
func (c *Control) transferLeadership() {
	deadline := time.Now().Add(transferTimeout)
	for time.Now().Before(deadline) {
		leading := false
		err := c.loop.do(func() {
			leading = c.loop.node.IsLeader()
			to := c.loop.node.TransferTarget()
			if !leading || to == consensus.None {
				leading = false
				return
			}
			_ = c.loop.node.Transfer(to)
		})
		if err != nil || !leading {
			return
		}
		time.Sleep(tickInterval)
	}
}

// Kill stops at once, without transferring leadership, as a crash would.
func (c *Control) Kill() {
	select {
	case <-c.loop.stopped:
		return
	default:
	}
	c.cancel()
	close(c.loop.stopped)
	<-c.loop.done
	c.srv.Close()
	c.peers.close()
	_ = c.disk.Close()
	c.cfg.Log.Info().Msg("control_stopped")
}

func decode[T any](raw json.RawMessage) (T, error) {
	var v T
	if len(raw) == 0 {
		return v, nil
	}
	err := json.Unmarshal(raw, &v)
	return v, err
}

// LocalRecord returns a record as this host has applied it, without asking a
// quorum.
func (c *Control) LocalRecord(name string) (state.Record, bool) {
	var r state.Record
	var ok bool
	_ = c.loop.do(func() { r, ok = c.loop.st.Record(name) })
	return r, ok
}

// HasEndpoint reports whether an endpoint is registered in the state that this host has applied.
func (c *Control) HasEndpoint(h ident.HostID) bool {
	known := false
	_ = c.loop.do(func() { _, known = c.loop.st.Endpoint(h) })
	return known
}
