// Package agent implements the role that runs beside each endpoint; entries
// reach the engine or plain service only through it. It keeps the memory ledger,
// admits requests, runs each attempt at most once, buffers answers until the
// entry acknowledges them, and drains the endpoint.
//
// One lock guards ledger, admission queue and runs; no I/O happens under it.
// Each run has two goroutines: one reads the engine's answer into a bounded
// buffer, the other sends the buffer over the connection that the entry used
// last.
package agent
