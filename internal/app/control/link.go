package control

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// trafficClass selects one of the connections to another control host.
//
// bulkClass carries log entries, snapshots and proposals in order; urgentClass carries
// everything else: heartbeats, votes, acknowledgements, short calls. With a single
// connection, an entry of 0.8 MB that goes to seven hosts over a link of 100 Mbit/s delays
// heartbeats by 0.41 s (median of 269 logged waits). Followers then campaign against a
// healthy leader and the next leader sends the entry again from its start, so that it is
// never committed while leaders change every 1.5 s. With two connections, heartbeats share
// the link with the entry but not its queue.
type trafficClass int

const (
	urgentClass trafficClass = iota
	bulkClass
	classCount
)

// classOf returns the class of a message. Appends must not overtake each other: a follower
// rejects one whose predecessor is missing, and both are sent again.
func classOf(m consensus.Message) trafficClass {
	if m.Type == consensus.MsgAppend || m.Type == consensus.MsgSnapshot {
		return bulkClass
	}
	return urgentClass
}

// classOfCall returns the class of a call. Only proposals may carry a whole deployment; the
// others are short, and some renew leases.
func classOfCall(method string) trafficClass {
	if method == wire.MethodPropose {
		return bulkClass
	}
	return urgentClass
}

// peerLink is the queue and the connection to a peer for one traffic class.
type peerLink struct {
	queue chan queued
	// dialling is held while a connection is opened: with two dials at once, entries could
	// overtake each other, and one connection would never be closed.
	dialling sync.Mutex

	mu   sync.Mutex
	conn *rpc.Conn
}

// queued is a message and the time when it was queued.
type queued struct {
	msg consensus.Message
	at  time.Time
}

const (
	peerBatch = 64 // messages in a frame
	// peerBatchBytes limits a frame: once its entries reach this size, nothing more is added.
	// The receiver acknowledges nothing in a frame before it has received all of it.
	peerBatchBytes = 256 << 10
)

// entryBytes returns the size of the entries that a message carries.
func entryBytes(m consensus.Message) int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

// collectBatch returns first and the messages that are already queued, up to the limits of
// a frame.
func (l *peerLink) collectBatch(first consensus.Message) []consensus.Message {
	batch, bytes := []consensus.Message{first}, entryBytes(first)
	for len(batch) < peerBatch && bytes < peerBatchBytes {
		select {
		case q := <-l.queue:
			batch = append(batch, q.msg)
			bytes += entryBytes(q.msg)
		default:
			return batch
		}
	}
	return batch
}

// disconnect closes the connection; the next message opens a new one.
func (l *peerLink) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}
