// Package capacity measures how the cost of each role grows with size and
// extrapolates from the slopes to the design size.
//
// Everything is measured on one host over loopback sockets, with subscribers in
// the measuring process and emulated engines. The measurements and the fitted
// slopes are written as JSON; Page computes the tables of docs/CAPACITY.md from
// them, so that no computed number is typed by hand.
package capacity
