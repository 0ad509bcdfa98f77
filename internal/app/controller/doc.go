// Package controller runs on every control host and is active on the leader: it
// reads the platform's list of endpoints, has fleet.Planner decide which models
// each engine holds, sends the resulting orders with the leader's term as fencing
// token, and publishes the changes to entries.
//
// One goroutine owns the planner. Calls from entries are answered from a
// published copy, so a slow plan never delays configuration.
package controller
