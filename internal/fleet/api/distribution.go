package api

import (
	"time"

	"martendrum/internal/fleet/distribution"
)

// Methods for the distribution of settings, served by agents that are relays. Each comment names the type
// of the parameter and that of the result, and which agents serve or call the method if not all do.
const (
	SettingsPut            = "settings.put"     // distribution.Put, SettingsPutOut; served by the writer
	SettingsGet            = "settings.get"     // SettingsGetIn, SettingsGetOut
	SettingsStatus         = "settings.status"  // SettingsStatusIn, SettingsStatusOut
	SettingsPromote        = "settings.promote" // Empty, SettingsWriter
	SettingsWatch          = "settings.watch"   // SettingsWatchIn, SettingsWatchOut; called by subscribers
	SettingsAck            = "settings.ack"     // SettingsAckIn, Empty; called by subscribers
	SettingsFollow         = "settings.follow"  // SettingsFollowIn, SettingsWatchOut; called by relays
	SettingsReport         = "settings.report"  // SettingsReportIn, SettingsReportOut; called by relays
	SettingsExchangeWriter = "settings.writer"  // SettingsWriter, SettingsWriter; called by relays
)

// Error codes of the distribution of settings.
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

// SettingsPutOut is a resource after a call of SettingsPut. Changed reports whether the call changed it.
type SettingsPutOut struct {
	Resource distribution.Resource `msgpack:"resource" json:"resource"`
	Changed  bool                  `msgpack:"changed" json:"changed"`
}

// SettingsGetIn requests the resources whose names start with a prefix.
type SettingsGetIn struct {
	Prefix string `msgpack:"prefix"`
	After  string `msgpack:"after"` // only names after this one; the last name of the page before, "" for the first page
}

// SettingsGetOut is a page of resources, as many as fit into a message. More reports whether further
// pages follow.
type SettingsGetOut struct {
	Revision  distribution.Revision                    `msgpack:"revision" json:"revision"`
	Resources distribution.List[distribution.Resource] `msgpack:"resources" json:"resources"`
	More      bool                                     `msgpack:"more" json:"more"`
}

// SettingsStatusIn requests the progress of a revision; the zero revision stands for the latest.
type SettingsStatusIn struct {
	Revision distribution.Revision `msgpack:"revision"`
	Limit    int                   `msgpack:"most"` // maximum number of hosts that are listed by name
}

// SettingsStatusOut is the progress of a revision, and the current writer.
type SettingsStatusOut struct {
	Status distribution.Status `msgpack:"status" json:"status"`
	Writer SettingsWriter      `msgpack:"writer" json:"writer"`
	Relay  string              `msgpack:"relay" json:"relay"` // the relay that answered
	// Complete reports whether the counts include all hosts, which they do if the writer answered.
	Complete bool `msgpack:"complete" json:"complete"`
}

// SettingsWriter names the writer of the settings since an epoch. The one with the highest epoch is
// current.
type SettingsWriter struct {
	Writer string `msgpack:"writer" json:"writer"`
	Epoch  int64  `msgpack:"epoch" json:"epoch"`
}

// SettingsWatchIn requests the updates after a revision for a subscriber. If there is none, the answer is
// delayed until there is one, for Wait at most.
type SettingsWatchIn struct {
	Host    string `msgpack:"host"`
	Session int64  `msgpack:"session"` // number of the subscriber's connection; rises with each new one of the host
	// Interest restricts the updates. It is set in the first call of a connection.
	Interest         *distribution.Interest  `msgpack:"interest,omitempty"`
	State            *distribution.HostState `msgpack:"state,omitempty"` // set together with Interest
	After            distribution.Revision   `msgpack:"after"`           // revision that the subscriber has
	SnapshotRevision distribution.Revision   `msgpack:"began"`           // of the snapshot whose next page is requested; zero if none
	Wait             time.Duration           `msgpack:"wait"`
}

// SettingsWatchOut is one page of updates, and the current writer.
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
	Relay            string                `msgpack:"relay"`
	Epoch            int64                 `msgpack:"epoch"`  // the highest epoch that the caller knows
	Writer           string                `msgpack:"writer"` // the writer of that epoch
	After            distribution.Revision `msgpack:"after"`  // revision that the caller has
	SnapshotRevision distribution.Revision `msgpack:"began"`  // of the snapshot whose next page is requested; zero if none
	Wait             time.Duration         `msgpack:"wait"`
}

// SettingsReportIn reports the state of a relay's subscribers to the writer.
type SettingsReportIn struct {
	Relay string `msgpack:"relay"`
	Epoch int64  `msgpack:"epoch"`
	// Process identifies a run of the relay.
	Process string `msgpack:"process"`
	// Position is the revision that the relay has. It is zero if further reports follow this one.
	Position distribution.Revision                      `msgpack:"position"`
	Hosts    distribution.List[distribution.HostReport] `msgpack:"hosts"`
}

// SettingsReportOut answers a report. Again requests that the relay send all its reports again, because
// the writer does not know this run of the relay yet.
type SettingsReportOut struct {
	Again bool `msgpack:"again"`
}

// InstanceSettings is the state of an instance's distributed settings.
type InstanceSettings struct {
	Received   distribution.Revision    `msgpack:"received" json:"received"` // revision that its host has received
	Relay      string                   `msgpack:"relay" json:"relay"`       // the relay that its host follows; "" if none answers
	Accepted   []AcceptedSettings       `msgpack:"accepted" json:"accepted"`
	Rejections []distribution.Rejection `msgpack:"refused,omitempty" json:"refused,omitempty"`
	Waiting    string                   `msgpack:"waiting,omitempty" json:"waiting,omitempty"` // why changes that were received are not applied yet
}

// AcceptedSettings is a resource that an instance has applied.
type AcceptedSettings struct {
	Name     string                `msgpack:"name" json:"name"`
	Revision distribution.Revision `msgpack:"revision" json:"revision"`
}
