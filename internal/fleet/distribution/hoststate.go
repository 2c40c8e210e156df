package distribution

import (
	"time"
)

// HostState is a subscriber's report on its own progress.
type HostState struct {
	Received Revision `msgpack:"received" json:"received"` // the revision of its copy
	// Settled reports that its instances have accepted or rejected everything in its copy.
	Settled bool `msgpack:"settled" json:"settled"`
	// Applied is the last revision at which it was settled. It returns to zero when its
	// instances change or rejections are discarded, until it is settled again.
	Applied    Revision        `msgpack:"applied" json:"applied"`
	Rejections List[Rejection] `msgpack:"refused,omitempty" json:"refused,omitempty"`
	Waiting    string          `msgpack:"waiting,omitempty" json:"waiting,omitempty"` // what it waits for, if not settled
}

// maxRejections is the maximum number of rejections reported for one host.
const maxRejections = 8

// bounded returns the state with its texts and rejections cut to what a Registry retains.
func (s HostState) bounded() HostState {
	cut := func(text string) string { return text[:min(len(text), maxReasonBytes)] }
	rejected := s.Rejections[:min(len(s.Rejections), maxRejections)]
	s.Rejections = nil
	for _, rejection := range rejected {
		rejection.Instance, rejection.Resource, rejection.Reason = cut(rejection.Instance), cut(rejection.Resource), cut(rejection.Reason)
		s.Rejections = append(s.Rejections, rejection)
	}
	s.Waiting = cut(s.Waiting)
	return s
}

// HostReport is what is known about a host and its subscription.
type HostReport struct {
	Host string `msgpack:"host" json:"host"`
	// Session grows with each connection of the host, to whichever relay.
	Session int64     `msgpack:"session" json:"session"`
	Present bool      `msgpack:"present" json:"present"`
	Since   time.Time `msgpack:"since" json:"since"` // of Present
	State   HostState `msgpack:"state" json:"state"`
	Relay   string    `msgpack:"relay" json:"relay"`
}
