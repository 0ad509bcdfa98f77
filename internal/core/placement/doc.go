// Package placement decides which replicas are loaded where, when and in which
// order, and which idle ones are unloaded.
//
// The Planner runs on the leader. It is fed demands from entries and reports
// from agents and works from the replicated state; Plan returns commands for
// the log. Nothing here is a permission: only a grant that the state machine
// accepted is. What the Planner remembers itself (demands, reports, measured
// load speeds) can be lost with the leader; demands are repeated and reports
// are sent anew to the next one.
package placement
