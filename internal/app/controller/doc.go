// Package controller runs on every control host and acts on the one that leads:
// it reads the platform's list of endpoints, lets fleet.Planner decide what
// each engine holds, gives the orders under the leader's term as fencing number
// and tells entries what changed.
//
// One goroutine owns the planner. Calls from entries are answered from a
// published copy, so a slow plan never holds up configuration.
package controller
