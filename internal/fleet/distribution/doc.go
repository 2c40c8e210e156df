// Package distribution decides how wanted settings reach the hosts of a fleet: a log with one
// writer, relays that follow it and serve copies, and subscribers that keep asking a relay for
// what concerns them. It is pure: no I/O, clock or goroutine. The time is an argument, and
// what must be written to disk is returned as a Batch.
//
// Distribution is level-triggered. A reader asks for what is wanted after the revision that it
// holds and gets the changes, or a snapshot where the history does not reach back that far.
// Whoever was away therefore converges by asking, and nobody keeps a list of who is to be told.
//
// Promises:
//
//   - All changes of a fleet have one order (Revision): the writer's epoch first, then a number.
//   - A change is served only after it was written to the writer's disk.
//   - A copy never goes back to an earlier revision, and never takes a change of an epoch below
//     one that it knows.
//   - A copy that can reach a relay ends at the log's state, whatever was lost or repeated.
//   - An instance's last accepted settings stay in force until others were accepted by it.
//
// Not promised: what only a lost writer had on its disk is lost, and a promoted relay goes on
// without it.
package distribution
