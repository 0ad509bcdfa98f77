// Package disklog keeps a control host's log and snapshots in one data folder.
//
// The folder holds a lock file, the member's identity, log segments and snapshots. A segment is a
// sequence of frames, each with a mark, a length and a checksum; the checksum covers the frame's
// place too, so that content which looks like a frame is not taken for one.
//
// What is not yet synced may be there, missing or torn after a loss of power, each write and
// each name by itself. Recovery returns what was synced, at most followed by what was being
// written, and takes none of this for damage:
//
//   - One Save is one frame, so a write under way is read whole or not at all. A Save follows the
//     sync of the one before it: only the last frame of a segment may be torn, and no valid frame
//     can follow a torn one. One that does shows that acknowledged data is broken (ErrDamaged).
//   - Old segments are removed only if all their entries lie at or below a durable snapshot.
//     Recovery drops such entries, so it makes no difference which removals were lost.
//   - A snapshot, the identity and the contacts are written to a temporary file, synced and
//     renamed, and the folder is synced before anything relies on the new name.
//   - Recovery changes nothing that a later start reads. It appends a segment, whose first frame
//     repeats the hard state and the newest frame read. That frame alone may be in the page cache
//     but not on the disk: its sync may not have happened before a kill, or have failed. Every
//     other frame precedes a later one, which was written after its sync.
//
// After a failed write or sync the log accepts no more writes: the kernel may have
// dropped the data, and a later successful sync would not prove otherwise.
package disklog
