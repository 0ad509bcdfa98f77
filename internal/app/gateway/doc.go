// Package gateway is the entry for deployments whose endpoints are reached
// directly. It takes requests in over HTTP/1.1, picks an endpoint that holds
// what the request needs, passes the request on and the answer back.
//
// What a request may suffer is decided in exchange.go: it is sent again only if
// it certainly did not run or may be repeated, only within the deployment's
// retry budget and only with the time that is left. Names of fields on the wire
// are a Dialect's business.
package gateway
