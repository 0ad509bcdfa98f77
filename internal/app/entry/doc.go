// Package entry implements the role that serves callers: it authenticates them,
// admits and routes their requests, retries where that is safe, resumes answers
// over new connections and ends every request in exactly one of three outcomes.
//
//   - answered: the caller received the complete answer.
//   - not_run: the request did not run and never will. Reported only before the
//     request was sent to an agent, or when the agent states it explicitly.
//   - unknown: the request may have run and that could not be determined.
package entry
