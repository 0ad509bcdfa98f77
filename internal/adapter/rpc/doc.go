// Package rpc carries JSON-RPC 2.0 between the system's own processes over TCP,
// optionally under TLS.
//
// Both ends prove that they hold the shared key before the first message. Each
// message is one length-prefixed frame of bounded size. Notifications are
// handled in the order of arrival, calls concurrently. A write that the peer
// does not accept within a few seconds closes the connection, so that a silent
// peer cannot block a sender forever.
package rpc
