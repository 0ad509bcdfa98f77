// Package poison decides which requests are no longer run because endpoints end under them.
//
// A request may end the process that runs it. Its caller sends it again, through any entry;
// the content is all that two attempts visibly have in common. Each attempt takes down an
// endpoint with everything that runs there. The package therefore identifies requests by a
// Fingerprint of their content and records, for each, the incarnations of endpoints that ended
// while they ran it.
//
// A part of a prompt may do the same in any number of requests, no two of which are alike. So the
// parts that requests may share are suspects of their own, in the same books and by the same rules.
// A part ends an endpoint when the endpoint begins to write an answer on it: a request whose events
// have come for a while is no candidate, and clears its parts.
//
// Of up to 64 requests that run on an endpoint when it ends, at most one is the cause, and
// often none: hosts fail too. So one end proves nothing; ends are collected as evidence:
//
//   - A request or part is quarantined when EndsToQuarantine different incarnations ended under it with
//     no complete answer in between. Incarnations are counted, since several entries report the
//     same end, and a restarted endpoint may end again.
//   - A complete answer clears it: a request that ends every endpoint that runs it never gets
//     one. This also clears requests of which many are identical: they run on several endpoints
//     at once and are under several ends when a zone fails, but others like them are answered
//     (Recent). Ends reported by entries that have just started and remember no answers count
//     as one if they occur within a short time.
//   - While a part is suspect, requests with it run one at a time over all entries (Trials), apart
//     from others where there is room. The end of an endpoint under a trial of one part, with no
//     other part suspect there, is proof enough for EndsUnderTrial. A part is not quarantined for
//     ends alone before every entry had ObjectionTime to say that it was answered: nearly every end
//     is an end under the part that all prompts of a route begin with.
//   - Time clears it too (CaseRetention, QuarantineDuration). After a quarantine the next run is on
//     probation: one more end quarantines it again.
//
// The leader collects the observations of entries (Book), publishes the result to all entries,
// and records quarantines in the replicated log (Registry), where they outlive every process.
package poison
