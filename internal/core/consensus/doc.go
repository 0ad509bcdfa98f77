// Package consensus is a leader-based replicated log as a pure state machine.
//
// A Node does no I/O, reads no clock, starts no goroutine and uses no global
// source of random numbers. Its owner passes messages to Step and time to Tick,
// takes pending work from Ready, makes that work durable, sends the messages,
// applies the committed entries and calls Advance. The same Node therefore
// runs on real sockets and disks and in a seeded randomised test.
//
// The protocol is Raft (Ongaro, Ousterhout, 2014) with these parts of the
// dissertation: pre-vote, check-quorum, read-index, snapshots, non-voting
// members, one membership change at a time and leadership transfer.
//
// Safety depends on three orderings that the owner must preserve:
//
//   - Ready.Entries and Ready.HardState are synced before Ready.Messages are
//     sent: a vote or an acknowledgement must survive a crash of its sender.
//   - Ready.Early may be sent before that sync. It holds only appends and
//     heartbeats of a leader, which do not depend on the leader's disk.
//   - Advance is called after the sync: only then does a leader count its own
//     copy towards the quorum.
package consensus
