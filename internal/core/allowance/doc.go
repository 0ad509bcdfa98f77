// Package allowance keeps the use of each customer, over all entries together, within its
// allowance, without a round trip before each request.
//
// The leader's Allocator keeps one token bucket per customer. A few times a second each
// entry's Client reports the units that were asked for and used at the entry; the answer
// holds the probability with which the customer's requests are admitted until the next
// answer. It is 1 while the bucket covers the demand. An entry that gets no answer spends at
// a fallback rate that the leader sent in an earlier answer.
//
// Why use stays bounded, for rate r and burst b: The bucket fills at r, plus at most a fifth
// of the tolerated excess in each window w. Its level is at most b, and falls by all that is
// used; below 0 nothing is admitted. So the use in a window is at most r*w + b, a fifth of
// that excess, and the amount by which the level fell below 0. That amount is what entries
// admit between two reports beyond the contents of the bucket: with an answer in every
// ReportInterval, the demand in that time minus what the bucket gained in it. Two things are
// added to it:
//
//   - A new leader does not know of earlier use and starts with a part of b.
//   - An entry whose reports are not answered spends at its fallback rate. All fallback rates
//     together are customerFallbackShare of r. The leader withholds the rate of a silent entry from
//     the bucket, from silentAfter until fallbackDuration after the entry's last message; the
//     entry stops after the same time, and reports what it spent before it counted as silent.
//     For entries from which a new leader has received nothing yet, it withholds their
//     proportional part.
//
// Where a customer's more urgent requests go first, entries report demand by rank and the answer holds
// a chance for each rank, such that the same sum is admitted (ranks.go). A request
// that the leader has not seen the like of is admitted until the next report, as any other.
//
// Entries that share one bucket by reports and a common answer are the "global token bucket"
// of Raghavan and others, "Cloud Control with Distributed Rate Limiting" (SIGCOMM 2007); the
// fallback by demand is their "flow proportional share".
package allowance
