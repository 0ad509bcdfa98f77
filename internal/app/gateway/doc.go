// Package gateway is the entry for deployments whose endpoints are reached
// directly. It accepts requests over HTTP/1.1, picks an endpoint that holds
// what the request needs, and forwards the request and the answer.
//
// exchange.go decides when a request is sent again: only if it certainly did
// not run or may be repeated, only within the deployment's retry budget and
// only within the time that is left. A Dialect translates the names of header
// fields.
package gateway
