// Package lab plays a load against emulated engines in virtual time, through the
// very packages that decide on a deployment whose endpoints are reached directly:
// core/fleet plans the models and chooses the endpoints. It compares policies
// over the same arrivals and seeds, and tells what callers get. What no policy could
// exceed is computed by core/bound, for these loads and for recorded ones.
//
// What is emulated: engines that batch (a step takes longer with more requests,
// prompts are read in between), hold as many models as fit, carry out one order of
// weights at a time by its sequence number and load from memory, disk or a shared
// store; entries that keep what they cannot send, tell the planner each 200 ms and
// at once when a request begins to wait; callers that leave or come back once.
// What is not: the network, failures of processes, prompt caches.
package lab
