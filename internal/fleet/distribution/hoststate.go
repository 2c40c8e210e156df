package distribution

import (
	"time"
)

// HostState is a subscriber's report on the progress of its host.
type HostState struct {
	Received Revision `msgpack:"received" json:"received"` // revision of the host's copy
	// Settled reports that the host's instances have accepted or rejected all settings in its copy.
	Settled bool `msgpack:"settled" json:"settled"`
	// Applied is the last revision at which the host was settled. It returns to zero when its
	// instances change or rejections are discarded, until the host is settled again.
	Applied    Revision        `msgpack:"applied" json:"applied"`
	Rejections List[Rejection] `msgpack:"refused,omitempty" json:"refused,omitempty"`
	Waiting    string          `msgpack:"waiting,omitempty" json:"waiting,omitempty"` // what the host waits for, if it is not settled
}

// maxRejections is the maximum number of rejections reported for one host.
const maxRejections = 8

// bounded returns the state with its texts and its list of rejections cut to the lengths that a
// Registry retains.
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

// HostReport is what a Registry knows about a host and its subscription.
type HostReport struct {
	Host string `msgpack:"host" json:"host"`
	// Session is higher for each later connection of the host, to any relay.
	Session int64     `msgpack:"session" json:"session"`
	Present bool      `msgpack:"present" json:"present"` // whether the host is connected
	Since   time.Time `msgpack:"since" json:"since"`     // time of the last change of Present
	State   HostState `msgpack:"state" json:"state"`
	Relay   string    `msgpack:"relay" json:"relay"` // name of the host's relay
}
