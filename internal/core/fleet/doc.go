// Package fleet decides, for endpoints that are reached directly without an agent on their
// host, which endpoint a request goes to, which models and adapters each engine holds, and
// which orders bring that about.
//
// Planner runs on the leading control host. It receives the platform's endpoint list, the
// reports of engines and the demand that entries report, and returns orders and queries as
// values. It reads no clock and does no I/O.
//
// Safety rests on one rule: every order names the sequence number that the engine had when
// the order was decided. An engine accepts at most one order per sequence number, so an
// order that got no answer and is carried out seconds later can only replace the next one,
// never add to it. Memory and adapter places are therefore counted as if the pending order
// had been carried out and, until a report confirms it, as if it had not.
package fleet
