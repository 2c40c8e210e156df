package handover

// Version is the version of the protocol. The predecessor rejects a peer of another version,
// which then opens a socket of its own at the same address.
const Version = 1

// MaxListeners is the maximum number of sockets in an offer: one, and another one for each
// earlier process that hung and resumed after its successor had opened a socket of its own.
const MaxListeners = 4

// MessageKind is the type of a message.
type MessageKind string

// The messages, in the order of a hand-over.
const (
	Hello   MessageKind = "hello"   // from the successor: a request to take over the address Listen
	Reject  MessageKind = "refuse"  // from the predecessor: no hand-over, for Reason
	Offer   MessageKind = "offer"   // from the predecessor: listeners, a quota, a snapshot
	Serving MessageKind = "serving" // from the successor: it accepts clients
	Grant   MessageKind = "grant"   // from the predecessor: a larger quota
)

// Message is a message of the protocol. Fields that a kind does not use are empty.
type Message struct {
	Kind      MessageKind `json:"kind"`
	Version   int         `json:"version"`
	Listen    string      `json:"listen,omitempty"`
	Reason    string      `json:"why,omitempty"`
	Retryable bool        `json:"again,omitempty"` // of a rejection: a later attempt may succeed
	Quota     Quota       `json:"share,omitzero"`
	Snapshot  []byte      `json:"snapshot,omitempty"`
	// IDTable in a hello says that the successor supports a shared table of request ids;
	// in an offer, that the table comes with it.
	IDTable bool `json:"ids,omitempty"`
	// InFlightCounts in a hello says that the successor supports shared counts of requests
	// in flight; in an offer, that the table has them and that their sum is limited.
	InFlightCounts bool `json:"counts,omitempty"`
	// MultipleListeners in a hello says that the successor supports several sockets.
	MultipleListeners bool `json:"many,omitempty"`
	// IdempotencyStore in a hello says that the successor uses an idempotency store; in an
	// offer, that the predecessor's lock on the store comes with it. Both own the store from
	// then on until one of them ends, and neither treats the other's requests as those of a
	// dead process.
	IdempotencyStore bool `json:"record,omitempty"`
	// ListenerCount is the number of sockets that come with an offer. 0 means one.
	ListenerCount int `json:"listeners,omitempty"`
}

// Quota is an amount of the resources that are limited for one sidecar.
type Quota struct {
	Sockets  int `json:"sockets"`   // file descriptors
	MemoryMB int `json:"memory_mb"` // resident
	InFlight int `json:"held"`      // concurrent requests
}

// minus returns q less the other quota. InFlight does not fall below 0.
func (q Quota) minus(other Quota) Quota {
	return Quota{q.Sockets - other.Sockets, q.MemoryMB - other.MemoryMB, max(0, q.InFlight-other.InFlight)}
}

// half returns half of q, which a successor is granted first. InFlight is rounded up, so that
// it is never 0.
func (q Quota) half() Quota { return Quota{q.Sockets / 2, q.MemoryMB / 2, (q.InFlight + 1) / 2} }

// fitsWithin reports whether no field of q is larger than the other's.
func (q Quota) fitsWithin(other Quota) bool {
	return q.Sockets <= other.Sockets && q.MemoryMB <= other.MemoryMB && q.InFlight <= other.InFlight
}

// max returns the larger value of each field.
func (q Quota) max(other Quota) Quota {
	return Quota{max(q.Sockets, other.Sockets), max(q.MemoryMB, other.MemoryMB), max(q.InFlight, other.InFlight)}
}
