// Package standby decides how a stream outlives the endpoint that runs it: which runs have their memory
// copied to another endpoint while they grow, where the copy lies, when silence of an endpoint is a
// fault, and how a run goes on after a break.
//
// The load it answers is that of endpoints which crash, are taken away at short notice or stop sending
// events, under requests that may run once only. A run that goes on from its copy counts as the same
// run, so the decision never starts a second one: see Decide.
//
// The package does no I/O and reads no clock.
package standby
