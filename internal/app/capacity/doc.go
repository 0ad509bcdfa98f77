// Package capacity measures how the cost of each role grows and works out from
// the slopes what the design size needs.
//
// Everything is measured on one machine over loopback sockets with small
// stand-ins. Measure writes the points and the fitted slopes as JSON; Page
// computes the tables of docs/CAPACITY.md from them, so that no worked-out
// number is typed by hand.
package capacity
