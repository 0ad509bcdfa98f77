// Package disklog keeps a control host's log and snapshots in one data folder.
//
// The folder holds a lock file, the member's identity, log segments and
// snapshots. A segment is a sequence of frames, each with a mark, a length and
// a checksum. Save appends all frames of one batch and syncs once. A crash can
// leave a torn frame at the end of the last segment: it was never acknowledged
// and is truncated. Damage anywhere else means that acknowledged data is lost;
// Open then fails with an error that names file, offset and remedy.
//
// After a failed write or sync the log accepts no more writes: the kernel may have
// dropped the data, and a later successful sync would not prove otherwise.
package disklog
