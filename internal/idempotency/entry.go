// Package idempotency defines the entries of the idempotency store and their state
// machine: what is known about the idempotency key of a request, and how each event changes
// it. The package does no I/O, reads no clock and starts no goroutine. The packages sqlite
// and postgres store the entries, and the package recorder connects a sidecar's requests
// to a store. docs/design/record.md lists the guarantees.
//
// For each request that has a key, the store holds:
//
//   - A claim, written before the sidecar forwards or rejects the request. It excludes
//     other requests with the same key at every sidecar that shares the store. A claim
//     without an attempt means that nothing was sent.
//   - Each attempt with its server, durable before the first byte of the attempt is sent.
//   - The outcome, durable before the client receives its answer, unless the store takes
//     longer than a request may wait. If the outcome is not written, the key stays in flight
//     until its lease expires and then becomes MayHaveRun; neither state permits another
//     request.
//
// After an attempt of a request was sent, no other request with the key is sent, unless it
// is known that the first one did not run. The decision module, package martendrum, decides
// whether the request that holds a claim is retried.
package idempotency

// State is what is known about a key.
type State string

// The states of a key. The texts are stored.
const (
	Unknown    State = ""             // there is no entry for the key
	InFlight   State = "in-flight"    // claimed; an attempt may have been sent if Attempts > 0
	Answered   State = "answered"     // the request ran; its answer is stored, too large to be stored, or unknown as an operator settled the key
	NeverRan   State = "never-ran"    // the request certainly did not run: another one with the key may run
	MayHaveRun State = "may-have-run" // unknown until an operator settles the key or its owner reports the outcome late
)

// States are the states that a stored entry can have: all but Unknown.
var States = []State{InFlight, Answered, NeverRan, MayHaveRun}

// Entry is what is stored about a key. Its times are Unix times in microseconds by the
// store's clock, which is a Clock for SQLite and the server's clock for PostgreSQL.
type Entry struct {
	Class, Key   string
	State        State
	Fingerprint  []byte // SHA-256 of the request, see Fingerprint
	Owner        string // ID of the sidecar process that claimed the key
	Token        string // fencing token of the claim, different for each claim
	RequestID    string // value of the request's Req-Id field
	Attempts     int64  // number of attempts that may have been sent
	Servers      string // servers of the attempts, separated by commas
	StartedAt    int64  // time of the claim
	ChangedAt    int64  // time of the last change
	LeaseExpires int64  // while in flight: when the owner counts as dead

	Status        int64  // HTTP status of the answer
	Header        []byte // stored header fields of the answer, as HTTP/1.1 text
	Answer        []byte // body of the answer
	AnswerOmitted bool   // the body was too large to be stored
	SettledBy     string // operator who settled the key; "": nobody
	Note          string // the operator's remark
	Version       int64  // number of changes, for optimistic concurrency control
}

// Columns are the names of the stored columns, in the order of ScanTargets and Values. Some
// differ from the fields: body is Fingerprint, request RequestID, began StartedAt, changed
// ChangedAt, expires LeaseExpires, cut AnswerOmitted and settled SettledBy.
const Columns = "class, key, state, body, owner, token, request, attempts, servers, began, changed, expires, status, header, answer, cut, settled, note, version"

// ScanTargets returns pointers to the fields of e, for reading a row of Columns.
func (e *Entry) ScanTargets() []any {
	return []any{&e.Class, &e.Key, &e.State, &e.Fingerprint, &e.Owner, &e.Token, &e.RequestID, &e.Attempts, &e.Servers, &e.StartedAt, &e.ChangedAt, &e.LeaseExpires,
		&e.Status, &e.Header, &e.Answer, &e.AnswerOmitted, &e.SettledBy, &e.Note, &e.Version}
}

// Values returns the fields of e, for writing a row of Columns.
func (e *Entry) Values() []any {
	return []any{e.Class, e.Key, string(e.State), nonNil(e.Fingerprint), e.Owner, e.Token, e.RequestID, e.Attempts, e.Servers, e.StartedAt, e.ChangedAt, e.LeaseExpires,
		e.Status, nonNil(e.Header), nonNil(e.Answer), e.AnswerOmitted, e.SettledBy, e.Note, e.Version}
}

// nonNil returns an empty slice for a nil one, as the columns are NOT NULL.
func nonNil(data []byte) []byte {
	if data == nil {
		return []byte{}
	}
	return data
}

// Expired reports whether the entry is in flight and its lease is over at now, a time by the
// store's clock.
func (e *Entry) Expired(now int64) bool { return e.State == InFlight && now >= e.LeaseExpires }

// Lapse ends the claim of an entry in flight whose owner is dead. The entry becomes NeverRan
// if no attempt was recorded, as nothing was sent and the owner can't record an attempt
// after this change. Otherwise it becomes MayHaveRun.
func (e *Entry) Lapse(now int64) {
	if e.Attempts == 0 {
		e.State = NeverRan
	} else {
		e.State = MayHaveRun
	}
	e.ChangedAt = now
	e.Version++
}

// setState sets the state, the time of the change and the version.
func (e *Entry) setState(state State, now int64) {
	e.State, e.ChangedAt = state, now
	e.Version++
}

// SQL that handles many entries in one statement.
const (
	// LapseAssignments are the assignments of Entry.Lapse, except for the time of the change.
	LapseAssignments = "state = CASE WHEN attempts = 0 THEN 'never-ran' ELSE 'may-have-run' END, version = version + 1"
	// InvalidRowCondition is true for rows that no Op can produce.
	InvalidRowCondition = "(state NOT IN ('in-flight', 'answered', 'never-ran', 'may-have-run') OR length(body) <> 32 OR token = '' OR state = 'answered' AND status = 0 AND settled = '')"
)
