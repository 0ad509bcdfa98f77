package control

import (
	"sync"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/rpc"
	"github.com/cassiapass/cassiapass/internal/core/consensus"
	"github.com/cassiapass/cassiapass/internal/wire"
)

// lane is one of the connections to another control host.
//
// Log entries, snapshots and proposals have one, in their order, and all else has another:
// signs of life, votes, acknowledgements, short calls. Symptom with a single one: an entry
// of 0.8 MB goes to seven hosts over a link of 100 Mbit/s, heartbeats wait 0.41 s behind
// it (median of 269 waits logged on one day), followers campaign against a leader that is
// well, and the next one begins the entry anew; it is never decided while leaders change
// every 1.5 s. Beside it, heartbeats share the link with the entry but not its queue.
type lane int

const (
	signLane lane = iota
	logLane
	lanes
)

// laneOf returns the lane of a message. Appends must not overtake each other: a follower
// refuses one whose predecessor it lacks, and both are sent anew.
func laneOf(m consensus.Message) lane {
	if m.Type == consensus.MsgAppend || m.Type == consensus.MsgSnapshot {
		return logLane
	}
	return signLane
}

// callLane returns the lane of a call. Only proposals may carry a whole deployment; the
// rest are short, and some renew leases.
func callLane(method string) lane {
	if method == wire.MethodPropose {
		return logLane
	}
	return signLane
}

// way is what goes to a peer on one lane.
type way struct {
	queue chan queued
	// dialling is held while a connection is opened: with two, entries could overtake
	// each other, and one would never be closed.
	dialling sync.Mutex

	mu   sync.Mutex
	conn *rpc.Conn
}

// queued is a message with when it was queued.
type queued struct {
	msg consensus.Message
	at  time.Time
}

const (
	peerBatch = 64 // messages in a frame
	// peerBatchBytes is from how many bytes of entries on nothing is added to a frame.
	// Its reader acknowledges none of it before it has all.
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

// gather returns first with what is queued already, up to the bounds of a frame.
func (w *way) gather(first consensus.Message) []consensus.Message {
	batch, bytes := []consensus.Message{first}, entryBytes(first)
	for len(batch) < peerBatch && bytes < peerBatchBytes {
		select {
		case q := <-w.queue:
			batch = append(batch, q.msg)
			bytes += entryBytes(q.msg)
		default:
			return batch
		}
	}
	return batch
}

// drop closes the connection; the next message dials anew.
func (w *way) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}
