// Package idempotency defines the idempotency store and its decisions: what is known of
// a request's key, and how an event changes it. It has no I/O, clock or goroutine. The
// entries are stored by internal/idempotency/sqlite and postgres; a sidecar's requests
// reach them through internal/idempotency/recorder. docs/design/record.md lists the
// promises.
//
// For each request that has a key, the store holds:
//
//   - A claim, written before the request may be forwarded or rejected. It excludes
//     other requests with the key at every sidecar that shares the store. A claim alone
//     means that nothing was sent.
//   - Each attempt with its server, durable before its first byte is sent.
//   - The outcome, durable before the client has its answer unless the store takes
//     longer than a request waits. An answer whose outcome was not written leaves its key
//     in flight, which never permits another request.
//
// The store only adds knowledge: a key whose request may have run is never sent again by
// another request. Whether the request that holds a claim is retried is decided by the
// decision module.
package idempotency

// State is what is known of a key. The zero State is an unknown key.
type State string

// The states of a key. They are stored.
const (
	Unknown    State = ""
	InFlight   State = "in-flight"    // claimed; sent if Attempts > 0
	Answered   State = "answered"     // it ran; the answer is stored, omitted or settled by hand
	NeverRan   State = "never-ran"    // provably not executed: another request with the key may run
	MayHaveRun State = "may-have-run" // to be settled by hand, or by a late report of its owner
)

// States are all that a stored entry can have.
var States = []State{InFlight, Answered, NeverRan, MayHaveRun}

// Entry is what is stored of a key. Times are in microseconds since 1970 by the store's
// clock: for SQLite see Clock, for PostgreSQL the server's.
type Entry struct {
	Class, Key   string
	State        State
	Fingerprint  []byte // SHA-256 of the request, see Fingerprint
	Owner        string // ID of the sidecar's run that claimed it
	Token        string // fencing token of a claim, never used twice
	RequestID    string // its Req-Id
	Attempts     int64  // that may have been sent
	Servers      string // of the attempts, separated by commas
	StartedAt    int64
	ChangedAt    int64
	LeaseExpires int64 // when an owner in flight counts as dead

	Status        int64  // of the answer
	Header        []byte // its fields, HTTP/1.1
	Answer        []byte
	AnswerOmitted bool   // the answer was too large to be stored
	SettledBy     string // who settled it by hand
	Note          string
	Version       int64 // counts the changes, for optimistic concurrency
}

// Columns are the names of the stored columns, in the order of Fields and Values.
const Columns = "class, key, state, body, owner, token, request, attempts, servers, began, changed, expires, status, header, answer, cut, settled, note, version"

// Fields returns pointers to e's fields, to scan into.
func (e *Entry) Fields() []any {
	return []any{&e.Class, &e.Key, &e.State, &e.Fingerprint, &e.Owner, &e.Token, &e.RequestID, &e.Attempts, &e.Servers, &e.StartedAt, &e.ChangedAt, &e.LeaseExpires,
		&e.Status, &e.Header, &e.Answer, &e.AnswerOmitted, &e.SettledBy, &e.Note, &e.Version}
}

// Values returns e's fields, to store.
func (e *Entry) Values() []any {
	return []any{e.Class, e.Key, string(e.State), nonNil(e.Fingerprint), e.Owner, e.Token, e.RequestID, e.Attempts, e.Servers, e.StartedAt, e.ChangedAt, e.LeaseExpires,
		e.Status, nonNil(e.Header), nonNil(e.Answer), e.AnswerOmitted, e.SettledBy, e.Note, e.Version}
}

// nonNil makes a nil slice an empty one, as the columns are NOT NULL.
func nonNil(data []byte) []byte {
	if data == nil {
		return []byte{}
	}
	return data
}

// Expired says whether an entry in flight has outlived its owner's lease.
func (e *Entry) Expired(now int64) bool { return e.State == InFlight && now >= e.LeaseExpires }

// Lapse replaces the state of an entry in flight whose owner is dead. Without an attempt
// nothing was sent, and nothing will be, as the claim is void from now on.
func (e *Entry) Lapse(now int64) {
	if e.Attempts == 0 {
		e.State = NeverRan
	} else {
		e.State = MayHaveRun
	}
	e.ChangedAt = now
	e.Version++
}

// setState sets the state and counts the change.
func (e *Entry) setState(state State, now int64) {
	e.State, e.ChangedAt = state, now
	e.Version++
}

// SQL for many entries at once.
const (
	// LapseAssignments are Lapse's assignments, except for the time.
	LapseAssignments = "state = CASE WHEN attempts = 0 THEN 'never-ran' ELSE 'may-have-run' END, version = version + 1"
	// InvalidRowCondition holds for rows that no Op writes.
	InvalidRowCondition = "(state NOT IN ('in-flight', 'answered', 'never-ran', 'may-have-run') OR length(body) <> 32 OR token = '' OR state = 'answered' AND status = 0 AND settled = '')"
)
