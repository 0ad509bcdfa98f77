// Package control is the role of the control hosts: it runs the replicated log
// on a disk, applies it, leads placement while it is the leader, and hands
// changes out to subscribers.
//
// One goroutine, the loop, owns the consensus node, the state and the planner;
// everything else reaches them by posting a function to it. Outbound messages
// leave through queues that drop when full, so the loop never waits for a peer
// or a subscriber.
package control
