package distribution

import (
	"time"
)

// HostState is what a subscriber says of itself.
type HostState struct {
	Received Revision `msgpack:"received" json:"received"` // that its copy holds
	// Settled says that all it holds is accepted or refused by its instances.
	Settled bool `msgpack:"settled" json:"settled"`
	// Applied is the last revision at which it was settled. It is zero again when its instances
	// change or refusals are forgiven, until it is settled once more.
	Applied    Revision        `msgpack:"applied" json:"applied"`
	Rejections List[Rejection] `msgpack:"refused,omitempty" json:"refused,omitempty"`
	Waiting    string          `msgpack:"waiting,omitempty" json:"waiting,omitempty"` // for what, where it is not settled
}

// maxRejections is how many refusals of one host are passed on.
const maxRejections = 8

// bounded is the state with no more of its texts and refusals than a Registry keeps.
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

// HostReport is what is known of a host where it subscribes.
type HostReport struct {
	Host string `msgpack:"host" json:"host"`
	// Session is later the later the host connected, wherever that was.
	Session int64     `msgpack:"session" json:"session"`
	Present bool      `msgpack:"present" json:"present"`
	Since   time.Time `msgpack:"since" json:"since"` // of Present
	State   HostState `msgpack:"state" json:"state"`
	Relay   string    `msgpack:"relay" json:"relay"`
}

