// Package ledger accounts for the accelerator memory of one endpoint and
// decides which load and unload orders its engine gets.
//
// Memory is reserved before an order leaves and counts until the engine has
// confirmed that it is free: replicas that are loading, loaded, unloading or of
// uncertain state all count. A grant is the only permission to load. After a
// restart the ledger is rebuilt from what the engine reports; while orders of
// the process before it may still be under way, no memory is given out again.
package ledger
