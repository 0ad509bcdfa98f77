// Package http1 manages HTTP/1.1 connections on both sides of an entry: those of
// callers and those to endpoints. It parses with net/http and adds what a proxy
// must control itself:
//
//   - A head that two parsers could read differently is refused, so that no
//     request can be smuggled inside another, and no answer means something
//     else to its caller.
//   - A body without a length ends with its connection only once the request is
//     written: a reset may look like an orderly end to the reader.
//   - The package never sends a request twice. The standard client repeats a
//     request by itself if a reused connection closes before the response.
//   - Idle connections to endpoints are watched. A connection is closed as soon
//     as the endpoint closes it or sends bytes that belong to no request.
//   - Every connection has keep-alive probes and a bound on unacknowledged
//     data: one that went silent without a reset is detected within seconds.
package http1
