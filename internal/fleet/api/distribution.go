package api

import (
	"time"

	"martendrum/internal/fleet/distribution"
)

// Methods of the settings' distribution, served by agents that are relays.
const (
	SettingsPut     = "settings.put"     // distribution.Put, SettingsPutOut; at the writer
	SettingsGet     = "settings.get"     // SettingsGetIn, SettingsGetOut
	SettingsStatus  = "settings.status"  // SettingsStatusIn, SettingsStatusOut
	SettingsPromote = "settings.promote" // Empty, SettingsWriter
	SettingsWatch   = "settings.watch"   // SettingsWatchIn, SettingsWatchOut; by subscribers
	SettingsAck     = "settings.ack"     // SettingsAckIn, Empty
	SettingsFollow  = "settings.follow"  // SettingsFollowIn, SettingsWatchOut; by relays
	SettingsReport  = "settings.report"  // SettingsReportIn, SettingsReportOut; by relays
	SettingsWriting = "settings.writer"  // SettingsWriter, SettingsWriter; among relays
)

// Codes of the distribution's errors.
const (
	SettingsInvalid  = "settings_invalid"
	SettingsConflict = "settings_conflict"
	SettingsLimit    = "settings_limit"
	SettingsFenced   = "settings_fenced"
	SettingsAhead    = "settings_ahead"
	SettingsFull     = "settings_full"
	NotRelay         = "not_a_relay"
	NotWriter        = "not_the_writer"
)

// SettingsPutOut is a resource as it is after a change, or was before one that changes nothing.
type SettingsPutOut struct {
	Resource distribution.Resource `msgpack:"resource" json:"resource"`
	Changed  bool                  `msgpack:"changed" json:"changed"`
}

// SettingsGetIn asks for the resources whose names begin with a prefix.
type SettingsGetIn struct {
	Prefix string `msgpack:"prefix"`
	After  string `msgpack:"after"` // begin behind this name
}

// SettingsGetOut holds as many as a message does.
type SettingsGetOut struct {
	Revision  distribution.Revision                    `msgpack:"revision" json:"revision"`
	Resources distribution.List[distribution.Resource] `msgpack:"resources" json:"resources"`
	More      bool                                     `msgpack:"more" json:"more"`
}

// SettingsStatusIn asks how far a revision is; zero is the latest.
type SettingsStatusIn struct {
	Revision distribution.Revision `msgpack:"revision"`
	Limit    int                   `msgpack:"most"` // hosts to name
}

// SettingsStatusOut tells it, and who writes.
type SettingsStatusOut struct {
	Status distribution.Status `msgpack:"status" json:"status"`
	Writer SettingsWriter      `msgpack:"writer" json:"writer"`
	Relay  string              `msgpack:"relay" json:"relay"` // who answers
	// Complete says that the writer answers: the counts are of all hosts.
	Complete bool `msgpack:"complete" json:"complete"`
}

// SettingsWriter says who writes since which epoch. The one with the highest epoch counts.
type SettingsWriter struct {
	Writer string `msgpack:"writer" json:"writer"`
	Epoch  int64  `msgpack:"epoch" json:"epoch"`
}

// SettingsWatchIn asks for what is after a revision, and waits while there is nothing.
type SettingsWatchIn struct {
	Host    string `msgpack:"host"`
	Session int64  `msgpack:"session"`
	// Interest is told with the first call of a connection.
	Interest *distribution.Interest  `msgpack:"interest,omitempty"`
	State    *distribution.HostState `msgpack:"state,omitempty"` // with Interest
	After    distribution.Revision   `msgpack:"after"`
	Began    distribution.Revision   `msgpack:"began"`
	Wait     time.Duration           `msgpack:"wait"`
}

// SettingsWatchOut is one page.
type SettingsWatchOut struct {
	Update distribution.Update `msgpack:"update"`
	Writer SettingsWriter      `msgpack:"writer"`
}

// SettingsAckIn says how far a host is.
type SettingsAckIn struct {
	Host    string                 `msgpack:"host"`
	Session int64                  `msgpack:"session"`
	State   distribution.HostState `msgpack:"state"`
}

// SettingsFollowIn is a relay's question for what is after a revision.
type SettingsFollowIn struct {
	Relay  string                `msgpack:"relay"`
	Epoch  int64                 `msgpack:"epoch"` // the highest that it knows
	Writer string                `msgpack:"writer"`
	After  distribution.Revision `msgpack:"after"`
	Began  distribution.Revision `msgpack:"began"`
	Wait   time.Duration         `msgpack:"wait"`
}

// SettingsReportIn is what a relay knows of its subscribers.
type SettingsReportIn struct {
	Relay string `msgpack:"relay"`
	Epoch int64  `msgpack:"epoch"`
	// Process is new with each start of the relay.
	Process string `msgpack:"process"`
	// Position is the relay's, zero while more reports follow.
	Position distribution.Revision                      `msgpack:"position"`
	Hosts    distribution.List[distribution.HostReport] `msgpack:"hosts"`
}

// SettingsReportOut asks for all reports anew where the writer does not know this process of
// the relay yet.
type SettingsReportOut struct {
	Again bool `msgpack:"again"`
}

// InstanceSettings is what an instance has of the distributed settings.
type InstanceSettings struct {
	Received   distribution.Revision    `msgpack:"received" json:"received"` // by its host
	Relay      string                   `msgpack:"relay" json:"relay"`       // that its host asks, "" for none that answers
	Accepted   []AcceptedSettings       `msgpack:"accepted" json:"accepted"`
	Rejections []distribution.Rejection `msgpack:"refused,omitempty" json:"refused,omitempty"`
	Waiting    string                   `msgpack:"waiting,omitempty" json:"waiting,omitempty"` // for what, where changes are pending
}

// AcceptedSettings is a resource that an instance runs.
type AcceptedSettings struct {
	Name     string                `msgpack:"name" json:"name"`
	Revision distribution.Revision `msgpack:"revision" json:"revision"`
}
