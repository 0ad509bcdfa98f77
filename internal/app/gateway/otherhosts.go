package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/release"
	"github.com/cassiapass/cassiapass/internal/wire"
)

const (
	// hostsPerStream is how many control hosts are told of a stream while there is no leader, and asked
	// about one that the leader does not know.
	hostsPerStream = 4
	// maxOtherHosts bounds the control hosts among which they are chosen, and so the connections.
	maxOtherHosts = 16
	// otherHostTimeout bounds a call: a host that is gone answers nothing.
	otherHostTimeout = 100 * time.Millisecond
	// maxQuestions bounds the streams that are asked about at a time.
	maxQuestions = 32
)

// otherHosts are control hosts that remember begun streams in place of a leader, in memory. Each stream
// has hosts of its own, chosen by rendezvous hashing, so that entries find them without an agreement.
type otherHosts struct {
	g         *Gateway
	questions chan struct{} // holds one element for each stream that is being asked about
	mu        sync.Mutex
	conns     map[string]*rpc.Conn // by address
}

func newOtherHosts(g *Gateway) *otherHosts {
	return &otherHosts{g: g, questions: make(chan struct{}, maxQuestions), conns: map[string]*rpc.Conn{}}
}

// highest returns the addresses with the highest hashes together with a key.
func highest(addrs []string, key []byte, n int) []string {
	rank := func(a string) uint64 { return xxhash.Sum64(append([]byte(a), key...)) }
	out := slices.Clone(addrs)
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return out[:min(n, len(out))]
}

// of returns the hosts of a stream.
func (o *otherHosts) of(id release.StreamID) []string {
	o.g.sync.mu.Lock()
	all := o.g.sync.candidates()
	o.g.sync.mu.Unlock()
	return highest(highest(all, nil, maxOtherHosts), id[:], hostsPerStream)
}

// tell tells the hosts of each stream which release began it.
func (o *otherHosts) tell(origins []release.Origin) {
	byHost := map[string][]release.Origin{}
	for _, origin := range origins {
		for _, addr := range o.of(origin.Stream) {
			byHost[addr] = append(byHost[addr], origin)
		}
	}
	ctx, cancel := context.WithTimeout(o.g.ctx, otherHostTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for addr, began := range byHost {
		calls.Go(func() {
			conn, err := o.connect(ctx, addr)
			if err == nil && conn.Notify(wire.MethodStreams, wire.StreamParams{Host: o.g.cfg.Host, Began: began}) != nil {
				o.drop(addr, conn)
			}
		})
	}
	calls.Wait()
}

// find asks the hosts of a stream which release began it. What one of them knows is true, whether it
// was told or has read it in the log.
func (o *otherHosts) find(ctx context.Context, p wire.StreamParams) wire.StreamResult {
	select {
	case o.questions <- struct{}{}:
		defer func() { <-o.questions }()
	default:
		return wire.StreamResult{}
	}
	ctx, cancel := context.WithTimeout(ctx, otherHostTimeout)
	defer cancel()
	addrs := o.of(*p.Find)
	answers := make(chan wire.StreamResult, len(addrs))
	for _, addr := range addrs {
		go func() { answers <- o.ask(ctx, addr, p) }()
	}
	for range addrs {
		if r := <-answers; r.Known {
			return r
		}
	}
	return wire.StreamResult{}
}

// ask asks one host, on a connection of its own: such questions are rare.
func (o *otherHosts) ask(ctx context.Context, addr string, p wire.StreamParams) (r wire.StreamResult) {
	conn, err := rpc.Dial(ctx, addr, o.g.cfg.Security, &o.g.metrics.rpc, rejectCall)
	if err != nil {
		return wire.StreamResult{}
	}
	defer conn.Close()
	if err := conn.Call(ctx, wire.MethodStreams, p, &r); err != nil {
		return wire.StreamResult{}
	}
	return r
}

// connect returns a connection to a host, the one of before if it is still open.
func (o *otherHosts) connect(ctx context.Context, addr string) (*rpc.Conn, error) {
	o.mu.Lock()
	conn := o.conns[addr]
	o.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := rpc.Dial(ctx, addr, o.g.cfg.Security, &o.g.metrics.rpc, rejectCall)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if other := o.conns[addr]; other != nil {
		conn.Close()
		return other, nil
	}
	o.conns[addr] = conn
	return conn, nil
}

func (o *otherHosts) drop(addr string, conn *rpc.Conn) {
	conn.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns[addr] == conn {
		delete(o.conns, addr)
	}
}

// closeAll closes the connections: there is a leader.
func (o *otherHosts) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for addr, conn := range o.conns {
		conn.Close()
		delete(o.conns, addr)
	}
}
