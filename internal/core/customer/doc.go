// Package customer identifies callers: which customer a key belongs to, whether a request
// may run, and what it costs of the customer's allowance. It consists of data with checks
// and look-ups. It stores no keys, only keyed digests, so that neither a log line nor a memory
// dump of a table reveals the keys of callers.
package customer
