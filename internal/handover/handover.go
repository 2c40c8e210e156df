// Package handover is the protocol by which one process of a sidecar (the predecessor)
// is replaced by another (the successor): the messages, their order, and how much of the
// sidecar's limits each may use meanwhile. It does no I/O: package link delivers messages
// and events and carries out the actions that the machines of this package return.
//
// It promises, whichever process dies or hangs at any step:
//   - Both together never use more than one sidecar may. The predecessor owns the limits
//     and grants a quota of them; a quota returns to it only when the successor has ended.
//   - Some process accepts from the listening socket as long as one of the two lives: the
//     predecessor stops accepting only once the successor serves and is still there.
//   - There is one successor at a time; another one is rejected.
//   - A predecessor that hangs is not waited for. If it wakes up, the hand-over continues
//     and the successor serves on the predecessor's socket and its own.
//
// Where both processes support it, requests in flight are counted by both together in a
// shared table. Quotas of a fixed size would be too small for one of them: a client whose
// connection the predecessor closes reconnects to the successor at once. Quota.InFlight is
// for a process that does not support the table.
package handover

// ActionType says what an Action is.
type ActionType int

// The actions of the machines.
const (
	SendMessage   ActionType = iota
	SendIDTable              // share a table of request ids with a peer, with the counts in flight if Message says so
	SendListener             // SendMessage, with the listening sockets and the shared table
	Drop                     // close the connection to a peer
	Limit                    // keep to Quota from now on
	Unpublish                // let no new process find this one from now on
	Publish                  // let new processes find this one
	StopAccepting            // the other process accepts on the same socket
	TakeListener             // serve on the sockets that came with the offer
	OpenListener             // open a socket, which a predecessor may have open at the same address
)

// Action is what a machine makes its host do. Actions are carried out in the order given.
type Action struct {
	Type    ActionType
	To      int     // a peer, for SendMessage, SendIDTable, SendListener and Drop
	Message Message // for SendMessage, SendIDTable and SendListener
	Quota   Quota   // for Limit
}
