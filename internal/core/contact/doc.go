// Package contact keeps the addresses at which a host of a control group may find
// the others, and decides when it makes itself known there.
//
// The seeds in a host's settings may name hosts that remember nothing: all of them
// without a disk, restarted at once. Those that hold the log then know the others,
// but nobody who is asked knows them. So knowledge travels both ways: whoever is in
// the group greets the seeds of its own settings, members that are silent and hosts
// that it has met; whoever is greeted remembers who greeted it, and tells others.
//
// An address decides nothing. Who is a member, who votes and who leads follows from
// the replicated log alone, and a message for another identity is dropped by who gets
// it: a wrong address costs a call that is refused.
//
// A Book reads no clock and does no I/O.
package contact
