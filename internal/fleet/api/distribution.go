package api

import (
	"time"

	"martendrum/internal/fleet/distribution"
)

// Methods for the distribution of settings, served by agents that are relays.
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

// Error codes of the distribution.
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

// SettingsPutOut is a resource after a call; Changed says whether the call changed it.
type SettingsPutOut struct {
	Resource distribution.Resource `msgpack:"resource" json:"resource"`
	Changed  bool                  `msgpack:"changed" json:"changed"`
}

// SettingsGetIn requests the resources whose names start with a prefix.
type SettingsGetIn struct {
	Prefix string `msgpack:"prefix"`
	After  string `msgpack:"after"` // start after this name
}

// SettingsGetOut holds as many resources as fit into a message; More says that there are others.
type SettingsGetOut struct {
	Revision  distribution.Revision                    `msgpack:"revision" json:"revision"`
	Resources distribution.List[distribution.Resource] `msgpack:"resources" json:"resources"`
	More      bool                                     `msgpack:"more" json:"more"`
}

// SettingsStatusIn requests the progress of a revision; zero is the latest.
type SettingsStatusIn struct {
	Revision distribution.Revision `msgpack:"revision"`
	Limit    int                   `msgpack:"most"` // hosts that are listed by name
}

// SettingsStatusOut is the progress of a revision, and the writer.
type SettingsStatusOut struct {
	Status distribution.Status `msgpack:"status" json:"status"`
	Writer SettingsWriter      `msgpack:"writer" json:"writer"`
	Relay  string              `msgpack:"relay" json:"relay"` // that answers
	// Complete says that the writer answers, whose counts include all hosts.
	Complete bool `msgpack:"complete" json:"complete"`
}

// SettingsWriter is the writer since an epoch. The writer with the highest epoch is the current one.
type SettingsWriter struct {
	Writer string `msgpack:"writer" json:"writer"`
	Epoch  int64  `msgpack:"epoch" json:"epoch"`
}

// SettingsWatchIn requests the updates after a revision and waits for Wait at most until there is one.
type SettingsWatchIn struct {
	Host    string `msgpack:"host"`
	Session int64  `msgpack:"session"`
	// Interest is set in the first call of a connection.
	Interest *distribution.Interest  `msgpack:"interest,omitempty"`
	State    *distribution.HostState `msgpack:"state,omitempty"` // with Interest
	After    distribution.Revision   `msgpack:"after"`
	Began    distribution.Revision   `msgpack:"began"`
	Wait     time.Duration           `msgpack:"wait"`
}

// SettingsWatchOut is one page of updates, and the writer.
type SettingsWatchOut struct {
	Update distribution.Update `msgpack:"update"`
	Writer SettingsWriter      `msgpack:"writer"`
}

// SettingsAckIn acknowledges what a host has received and applied.
type SettingsAckIn struct {
	Host    string                 `msgpack:"host"`
	Session int64                  `msgpack:"session"`
	State   distribution.HostState `msgpack:"state"`
}

// SettingsFollowIn requests the updates after a revision for another relay.
type SettingsFollowIn struct {
	Relay  string                `msgpack:"relay"`
	Epoch  int64                 `msgpack:"epoch"` // the highest that the caller knows
	Writer string                `msgpack:"writer"`
	After  distribution.Revision `msgpack:"after"`
	Began  distribution.Revision `msgpack:"began"`
	Wait   time.Duration         `msgpack:"wait"`
}

// SettingsReportIn is the state of a relay's subscribers.
type SettingsReportIn struct {
	Relay string `msgpack:"relay"`
	Epoch int64  `msgpack:"epoch"`
	// Process identifies a run of the relay.
	Process string `msgpack:"process"`
	// Position is the revision that the relay has; zero while more reports follow.
	Position distribution.Revision                      `msgpack:"position"`
	Hosts    distribution.List[distribution.HostReport] `msgpack:"hosts"`
}

// SettingsReportOut answers a report. Again requests all reports anew: the writer does not know
// this run of the relay yet.
type SettingsReportOut struct {
	Again bool `msgpack:"again"`
}

// InstanceSettings is the state of an instance's distributed settings.
type InstanceSettings struct {
	Received   distribution.Revision    `msgpack:"received" json:"received"` // by its host
	Relay      string                   `msgpack:"relay" json:"relay"`       // that its host follows; "": none answers
	Accepted   []AcceptedSettings       `msgpack:"accepted" json:"accepted"`
	Rejections []distribution.Rejection `msgpack:"refused,omitempty" json:"refused,omitempty"`
	Waiting    string                   `msgpack:"waiting,omitempty" json:"waiting,omitempty"` // why pending changes are not applied yet
}

// AcceptedSettings is a resource that an instance has applied.
type AcceptedSettings struct {
	Name     string                `msgpack:"name" json:"name"`
	Revision distribution.Revision `msgpack:"revision" json:"revision"`
}
