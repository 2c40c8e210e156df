package handover

// Version is the protocol's version. A peer with another one is rejected; the successor
// then opens a socket of its own at the same address.
const Version = 1

// MaxListeners is how many sockets an offer may have: one, and another one for each
// process that woke up after its successor had opened its own.
const MaxListeners = 4

// MessageKind is what a message says.
type MessageKind string

// The messages, in the order of a hand-over.
const (
	Hello   MessageKind = "hello"   // from the successor: a request to take over, at Listen
	Reject  MessageKind = "refuse"  // from the predecessor
	Offer   MessageKind = "offer"   // from the predecessor: listeners, a quota, a snapshot
	Serving MessageKind = "serving" // from the successor: it accepts clients
	Grant   MessageKind = "grant"   // from the predecessor: a larger quota
)

// Message is one message. Fields that a kind does not use are empty.
type Message struct {
	Kind      MessageKind `json:"kind"`
	Version   int         `json:"version"`
	Listen    string      `json:"listen,omitempty"`
	Reason    string      `json:"why,omitempty"`
	Retryable bool        `json:"again,omitempty"` // of a rejection: it may be temporary
	Quota     Quota       `json:"share,omitzero"`
	Snapshot  []byte      `json:"snapshot,omitempty"`
	// IDTable of a hello says that the successor supports a shared table of request ids;
	// of an offer, that the table comes with it.
	IDTable bool `json:"ids,omitempty"`
	// InFlightCounts of a hello says that the successor supports shared counts of requests
	// in flight; of an offer, that the table has them, and that their sum is limited.
	InFlightCounts bool `json:"counts,omitempty"`
	// MultipleListeners of a hello says that the successor supports several sockets.
	MultipleListeners bool `json:"many,omitempty"`
	// IdempotencyStore of a hello says that the successor uses an idempotency store; of an
	// offer, that the predecessor's lock on the store comes with it. Both own the store from
	// then on until one of them ends, and neither takes the other's requests for those of a
	// dead process.
	IdempotencyStore bool `json:"record,omitempty"`
	// ListenerCount is how many sockets come with an offer, 0 for one.
	ListenerCount int `json:"listeners,omitempty"`
}

// Quota is a part of what one sidecar may use.
type Quota struct {
	Sockets  int `json:"sockets"`   // file descriptors
	MemoryMB int `json:"memory_mb"` // resident
	InFlight int `json:"held"`      // concurrent requests
}

func (q Quota) minus(other Quota) Quota {
	return Quota{q.Sockets - other.Sockets, q.MemoryMB - other.MemoryMB, max(0, q.InFlight-other.InFlight)}
}

// half is the quota of a successor. InFlight is rounded up, so that it is never 0.
func (q Quota) half() Quota { return Quota{q.Sockets / 2, q.MemoryMB / 2, (q.InFlight + 1) / 2} }

// fitsWithin says whether no field of q is larger than the other's.
func (q Quota) fitsWithin(other Quota) bool {
	return q.Sockets <= other.Sockets && q.MemoryMB <= other.MemoryMB && q.InFlight <= other.InFlight
}

// max is the larger of each field.
func (q Quota) max(other Quota) Quota {
	return Quota{max(q.Sockets, other.Sockets), max(q.MemoryMB, other.MemoryMB), max(q.InFlight, other.InFlight)}
}
