// Package handover implements the protocol by which one process of a sidecar (the
// predecessor) is replaced by another (the successor). It defines the messages, their order,
// and how much of the sidecar's limits each process may use during the hand-over. It does no
// I/O: package link delivers messages and events to the state machines of this package and
// carries out the actions that they return.
//
// It guarantees the following, whichever process dies or hangs, and at whichever step:
//   - Both processes together never use more than the limits of one sidecar. The predecessor
//     owns the limits and grants a quota of them to the successor. The predecessor takes the
//     quota back when the successor has ended, or when it rejects the successor or loses the
//     connection to it; a successor that is rejected after its offer must end.
//   - At least one process accepts from the listening socket as long as one of the two lives:
//     the predecessor stops accepting only when the successor is serving and still connected.
//   - There is at most one successor at a time. The predecessor rejects any other one.
//   - The successor does not wait for a predecessor that hangs. If the predecessor resumes,
//     the hand-over continues, and the successor serves on the predecessor's socket and on its
//     own.
//
// Where both processes support it, they count their requests in flight in a shared table.
// If each had a fixed quota of them, one would be too small: a client whose connection the
// predecessor closes reconnects to the successor at once. Quota.InFlight is for a process
// that does not support the table.
package handover

// ActionType is the type of an Action.
type ActionType int

// The actions that Predecessor and Successor return.
const (
	SendMessage   ActionType = iota
	SendIDTable              // create a table of request ids for a peer, with counts of requests in flight if Message.InFlightCounts is set
	SendListener             // send Message with the listening sockets and the shared table
	Drop                     // close the connection to a peer
	Limit                    // use no more than Quota from now on
	Unpublish                // stop being discoverable by new processes
	Publish                  // become discoverable by new processes
	StopAccepting            // close the listening sockets: the successor accepts on them
	TakeListener             // accept on the sockets that came with the offer
	OpenListener             // open a listening socket; a predecessor may have one at the same address
)

// Action is an instruction to the process that runs a Predecessor or a Successor. Actions are
// carried out in the order in which they are returned.
type Action struct {
	Type    ActionType
	To      int     // a peer's number, for SendMessage, SendIDTable, SendListener and Drop
	Message Message // for SendMessage, SendIDTable and SendListener
	Quota   Quota   // for Limit
}
