// Package ledger accounts for the accelerator memory of one endpoint and
// decides which load and unload orders its engine receives.
//
// Memory is reserved before an order is sent and counts as used until the engine
// has confirmed that it is free: replicas that are loading, loaded, unloading or
// in an uncertain state all count. Only a grant permits a load. After a restart,
// the ledger is rebuilt from the engine's report; no memory is assigned while
// orders of the previous process may still take effect.
package ledger
