// Package agent is the role beside each endpoint: the only way to its engine or
// plain service. It keeps the memory ledger, admits requests, runs each attempt
// at most once, buffers answers until the entry holds them, and drains.
//
// One lock guards ledger, admission queue and runs; no I/O happens under it.
// Each run has two goroutines: one reads the engine into a bounded buffer, the
// other sends the buffer over whichever connection the entry used last.
package agent
