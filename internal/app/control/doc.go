// Package control implements a control host: it keeps the replicated log on disk,
// applies it to the state, runs placement while it is the leader, and sends
// changes to subscribers.
//
// One goroutine, the loop, owns the consensus node, the state and the planner;
// all other code reaches them by posting a function to it. Outbound messages
// go through queues that drop when full, so the loop never waits for a peer
// or a subscriber.
package control
