// Package lab simulates a load on emulated engines in virtual time. Decisions are
// made by the production code for deployments whose endpoints are reached directly:
// core/fleet plans the models and chooses the endpoints. The package compares
// policies over the same arrivals and seeds and reports the outcomes of requests. An
// upper bound that no policy can exceed is computed by core/bound, for these loads
// and for recorded ones.
//
// Emulated are: engines that batch (a step takes longer with more requests, prefill
// runs in between), hold as many models as fit, carry out one load or unload of
// weights at a time by its sequence number, and load from memory, disk or a shared
// store; entries that queue requests that they cannot send, and report to the planner
// every 200 ms and immediately when a request begins to wait; callers that leave or
// retry once. Not emulated are the network, process failures and prompt caches.
package lab
