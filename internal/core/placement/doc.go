// Package placement decides which replicas to load, where, when and in which
// order, and which idle replicas to unload.
//
// The Planner runs on the leader. It receives demands from entries and reports
// from agents and works from the replicated state; Plan returns commands for
// the log. A command that it returns permits nothing: only a grant that the
// state machine has accepted does. The Planner's own memory (demands, reports,
// measured load speeds) may be lost with the leader: entries repeat their
// demands, and agents send their reports again to the next leader.
package placement
