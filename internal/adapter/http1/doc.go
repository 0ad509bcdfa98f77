// Package http1 owns HTTP/1.1 connections on both sides of an entry: those of
// callers and those to endpoints. Parsing is net/http's; what this package adds
// is what a proxy must decide itself:
//
//   - A head that two parsers could read differently is refused, so that no
//     request can be smuggled inside another.
//   - Nothing is ever sent twice. The standard client repeats a request by
//     itself when a kept connection closes under it.
//   - An idle connection to an endpoint is watched. Bytes that arrive on it
//     belong to no request and close it; so does its end, at once.
//   - Every connection has keep-alive probes and a bound on unacknowledged
//     data: one that went silent without a reset is found within seconds.
package http1
