// Package poison decides which requests are not run any more because endpoints end under
// them.
//
// A request may end the process that runs it. Its caller sends it again, through any entry;
// nothing of one attempt is seen in the next but the content. Each attempt takes an endpoint
// with everything that runs there. The package therefore names requests by a Fingerprint of
// their content and keeps, for each, the starts of endpoints that ended while they ran it.
//
// Of up to 64 requests that run on an endpoint when it ends, one is the cause at most, and
// often none: hosts fail too. So one end proves nothing, and what is kept is evidence:
//
//   - A request is quarantined when EndsToQuarantine different starts ended under it with no
//     whole answer in between. Starts, since one end is told by several entries, and an
//     endpoint that is back may end again.
//   - A whole answer clears it: a request that ends whoever runs it has none. That clears the
//     requests of which there are many alike, which run on several endpoints at once and are
//     under several ends when a zone fails: others like them are answered (Recent). Of entries
//     that have just started and remember no answers, ends that come together count as one.
//   - Time clears it too (CaseStays, QuarantineStays). After a quarantine the next run is on
//     probation: one more end quarantines it again.
//
// The leader gathers what entries saw (Book), tells all entries, and notes quarantines in the
// replicated log (Registry), where they outlive every process.
package poison
