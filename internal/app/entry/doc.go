// Package entry is the role that callers talk to: it authenticates them, admits
// and routes their requests, retries where that is safe, resumes answers over
// new connections and ends every request in exactly one of three outcomes.
//
//   - answered: the caller got the whole answer.
//   - not_run: it did not run and never will. Said only before the request was
//     sent to an agent, or on the agent's explicit word.
//   - unknown: it may have run and that could not be settled.
package entry
