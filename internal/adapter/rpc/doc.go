// Package rpc carries JSON-RPC 2.0 between the system's own processes over TCP,
// optionally under TLS.
//
// Both ends prove that they hold the shared key before the first message. Each
// message is one length-prefixed frame of bounded size. Notifications are
// handled in the order of arrival, calls concurrently. A write that the other
// side does not take within a few seconds closes the connection: a peer that
// went silent must not hold a sender for ever.
package rpc
