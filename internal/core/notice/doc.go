// Package notice keeps what endpoints asked of this process in their answers: a pause, in which
// an endpoint wants no requests from this host, and leaving. Every send to an endpoint passes by
// Book.Send. It does no I/O and reads no clock.
//
// What is kept belongs to one incarnation of an endpoint; another incarnation, also one under
// the same address or name, has asked for nothing. The reasons stay distinct:
//
//   - A pause ends by time alone. The latest end that an answer named counts: a shorter pause
//     that is named later does not cut it, and neither does an answer to a request that was sent
//     before it.
//   - An endpoint that turns requests away and names no time is asked less and less: the time
//     doubles with each request that it turns away, until it takes one.
//   - Leaving does not end: an answer that does not say so again may be older.
//   - What the leader reports of other entries is advice. It binds the choice between
//     endpoints, never Send, and it neither lifts nor shortens what was heard here.
//
// Why at most the requests on their way reach an endpoint within a pause: Send refuses from the
// moment at which the head of the answer is applied until the end that it names, and a request
// takes half a round trip to arrive. What was sent before that moment arrives within a round trip
// of the answer.
//
// After a pause requests do not return at once. The first goes out alone, at a moment that is
// drawn over all entries that paused; then requests are paced at a rate that grows with each step
// in which the endpoint took some, up to half of the rate at which it had asked for a pause fast, and
// slowly from there on: the additive increase and multiplicative decrease of congestion control
// (Chiu and Jain, 1989).
package notice
