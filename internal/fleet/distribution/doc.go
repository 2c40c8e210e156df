// Package distribution decides how wanted settings reach the hosts of a fleet. It owns a log with
// a single writer, relays that follow the log and serve copies of it, and subscribers that poll a
// relay for the resources in their interest. The package is pure: it has no I/O, clock or
// goroutine. The time is an argument, and what must be written to disk is returned as a Batch.
//
// Distribution is level-triggered. A reader requests the changes after the revision that it
// holds, and receives them or, where the history does not reach back that far, a snapshot. A
// reader that was disconnected therefore converges by polling, and no list of pending
// notifications exists.
//
// Guarantees:
//
//   - All changes of a fleet have one total order (Revision): by the writer's epoch, then by number.
//   - A change is served only after it has been written to the writer's disk.
//   - A copy never goes back to an earlier revision, and never accepts a change of an epoch
//     lower than one it knows.
//   - A copy that can reach a relay converges to the log's state, whatever was lost or repeated.
//   - An instance's last accepted settings stay in force until it has accepted others.
//
// Not guaranteed: changes that existed only on the disk of a lost writer are lost, and a promoted
// relay continues without them.
package distribution
