// Package fleet decides for endpoints that are reached directly, without an
// agent beside them: which endpoint a request goes to, which models and
// adapters each engine holds, and which orders bring that about.
//
// Planner runs on the leading control host. It takes in what the platform lists,
// what engines report and what entries ask for, and gives out orders and
// queries as values. It reads no clock and does no I/O.
//
// Safety rests on one rule: every order names the sequence number that the
// engine had when the order was decided. An engine accepts at most one order
// per sequence number, so an order that got no answer and is carried out
// seconds later can only take the place of the next one, never come on top of
// it. Memory and adapter places are therefore counted as if the order under way
// had been carried out and, until a report shows it, as if it had not.
package fleet
