// Package state is the replicated state machine of a control group: service
// records, endpoints, replica decisions (grants), claims of idempotency keys,
// answers to operator requests and the audit trail.
//
// Apply is deterministic: it sees only the command and the state, and takes
// time from the command. Every control host that applies the same log holds
// the same State. Values in the maps are replaced and never changed in place,
// so Clone is cheap and a clone can be encoded while Apply goes on.
package state
