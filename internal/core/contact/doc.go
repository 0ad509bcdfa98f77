// Package contact implements peer discovery for the hosts of a control group: it
// keeps the addresses at which a host may find the others, and decides when the
// host sends its own address and identity there, which is called a greeting.
//
// The seeds in a host's settings may all be hosts without a disk, which know no
// addresses after a simultaneous restart. The hosts that hold the log then know the
// seeds, but the seeds, which joining hosts ask, do not know them. Addresses are
// therefore exchanged in both directions: members of the group greet the seeds of
// their own settings, silent members and other hosts that they have seen; a host
// that is greeted records the sender's address and shares it with others.
//
// Addresses have no effect on decisions. The replicated log alone determines who is a
// member, who votes and who leads, and a host drops a message for another identity.
// A wrong address therefore costs only a refused call.
//
// A Book reads no clock and does no I/O.
package contact
