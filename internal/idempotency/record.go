// Package idempotency is the contract of the store of record, and its decisions: what
// is known of a request's key, and what one more event makes of it. It has no I/O,
// clock or goroutine; internal/idempotency/sqlite and postgres keep the rows, and
// internal/idempotency/recorder brings a sidecar's requests to them. docs/design/record.md
// has the table of promises.
//
// What is written when, for each request that has a key:
//
//   - A claim, before the request may be sent or turned away. It is what keeps a
//     second request of the key out, here and at every sidecar that shares the
//     store. By itself it says that nothing was sent.
//   - Each attempt, with its server, durable before its first byte goes out.
//   - The end, durable before the client has its answer, as far as the wait allows:
//     an answer that goes out unrecorded leaves its key in flight, which is never
//     taken for leave to send again.
//
// The store only adds knowledge. A key that may have run never goes again: whether a
// request that holds its claim is sent a second time is the decision module's matter.
package idempotency

import (
	"bytes"
	"fmt"
	"time"
)

// State is what is known of a key. The zero State is an unknown key.
type State string

const (
	Unknown    State = ""
	InFlight   State = "in-flight"    // claimed; sent if Attempts > 0
	Answered   State = "answered"     // it ran; the answer is kept, or Cut, or settled by hand
	NeverRan   State = "never-ran"    // failed for certain: another request of the key may go
	MayHaveRun State = "may-have-run" // to be settled by hand, or by its owner's late word
)

// States are all that a stored row can have.
var States = []State{InFlight, Answered, NeverRan, MayHaveRun}

// Entry is what is stored of a key. Times are the store's own, in microseconds since
// 1970; for SQLite see Clock, for PostgreSQL they are the server's.
type Entry struct {
	Class, Key   string
	State        State
	Fingerprint  []byte // SHA-256 of what was asked, see Fingerprint
	Owner        string // the sidecar's run that claimed it
	Token        string // fences: of one claim, never used twice
	RequestID    string // its Req-Id
	Attempts     int64  // that may have gone out
	Servers      string // of the attempts, with commas between
	StartedAt    int64
	ChangedAt    int64
	LeaseExpires int64 // in flight past it, the owner counts as dead

	Status        int64  // of the answer
	Header        []byte // its fields, HTTP/1.1
	Answer        []byte
	AnswerOmitted bool   // the answer was too large to be kept
	SettledBy     string // who settled it by hand
	Note          string
	Version       int64 // counts the changes: guards one against another
}

// Columns names Row's columns in the order of Fields.
const Columns = "class, key, state, body, owner, token, request, attempts, servers, began, changed, expires, status, header, answer, cut, settled, note, version"

// Fields returns pointers to r's fields, to scan into.
func (r *Entry) Fields() []any {
	return []any{&r.Class, &r.Key, &r.State, &r.Fingerprint, &r.Owner, &r.Token, &r.RequestID, &r.Attempts, &r.Servers, &r.StartedAt, &r.ChangedAt, &r.LeaseExpires,
		&r.Status, &r.Header, &r.Answer, &r.AnswerOmitted, &r.SettledBy, &r.Note, &r.Version}
}

// Values returns r's fields, to store.
func (r *Entry) Values() []any {
	return []any{r.Class, r.Key, string(r.State), nonNil(r.Fingerprint), r.Owner, r.Token, r.RequestID, r.Attempts, r.Servers, r.StartedAt, r.ChangedAt, r.LeaseExpires,
		r.Status, nonNil(r.Header), nonNil(r.Answer), r.AnswerOmitted, r.SettledBy, r.Note, r.Version}
}

func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// OpKind is what an Op does.
type OpKind int

const (
	Claim  OpKind = iota // asks for the key
	Send                 // says that attempt Attempt is about to go to Server
	End                  // says what the request came to
	Settle               // says it by hand, for a key that may have run
)

// Op is one event of one key. The first fields are set by who asks, the rest by
// the store. Carried out twice, it does what it does once: that is how a commit of
// unknown outcome is resolved.
type Op struct {
	Kind            OpKind
	Class, Key      string
	Token           string
	Owner           string        // Claim, and End of a key whose claim was not kept
	Fingerprint     []byte        // as Owner
	RequestID       string        // as Owner
	Lease           time.Duration // Claim, Send: how long the owner counts as alive from now on
	Attempt         int           // Send: counts from 0
	Server          string        // Send
	Outcome         State         // End, Settle: Answered, NeverRan or MayHaveRun
	Status          int64         // End: of the answer
	Header          []byte        // End
	Answer          []byte        // End
	AnswerOmitted   bool          // End
	SettledBy, Note string        // Settle

	Result Result
	Entry  Entry // as it is after the Op
}

// Result is what a store says to an Op.
type Result int

const (
	NotApplied      Result = iota // not carried out
	Granted                       // a claim is the asker's; a send may go; an end or settlement is kept
	Busy                          // claimed by a request that may still be answered
	AlreadyAnswered               // answered: the row has the answer, unless Cut or settled
	Unsettled                     // it may have run
	KeyReused                     // the key is another request's: keys are not reused
	Fenced                        // the claim is not the asker's any more, or nothing to settle
)

func (r Result) String() string {
	return [...]string{"none", "granted", "busy", "known", "unsettled", "mismatched", "fenced"}[r]
}

// Expired says whether a row in flight has outlived its owner's time.
func (r *Entry) Expired(now int64) bool { return r.State == InFlight && now >= r.LeaseExpires }

// Lapse makes of a row in flight what is known once its owner is gone: with no
// attempt written, nothing was sent and, its claim being void, nothing will be.
func (r *Entry) Lapse(now int64) {
	if r.Attempts == 0 {
		r.State = NeverRan
	} else {
		r.State = MayHaveRun
	}
	r.ChangedAt = now
	r.Version++
}

// What the databases do to many rows at once, in SQL.
const (
	// LapseAssignments is what Lapse sets, but for the time.
	LapseAssignments = "state = CASE WHEN attempts = 0 THEN 'never-ran' ELSE 'may-have-run' END, version = version + 1"
	// InvalidRowCondition holds for rows that no Op makes.
	InvalidRowCondition = "(state NOT IN ('in-flight', 'answered', 'never-ran', 'may-have-run') OR length(body) <> 32 OR token = '' OR state = 'answered' AND status = 0 AND settled = '')"
)

// Apply carries op out on its key's row, which is the zero Row if there is none.
// It changes row and sets op.Result and op.Row; changed says whether row must be
// written.
func Apply(row *Entry, now int64, op *Op) (changed bool) {
	before := row.Version
	switch op.Kind {
	case Claim:
		op.Result = claim(row, now, op)
	case Send:
		op.Result = send(row, now, op)
	case End:
		op.Result = end(row, now, op)
	case Settle:
		op.Result = settle(row, now, op)
	}
	op.Entry = *row
	return row.Version != before
}

func (r *Entry) setState(s State, now int64) {
	r.State, r.ChangedAt = s, now
	r.Version++
}

func claim(row *Entry, now int64, op *Op) Result {
	if row.Token == op.Token && row.State == InFlight {
		return Granted // asked once more
	}
	if row.Expired(now) {
		row.Lapse(now)
	}
	if row.State != Unknown && row.State != NeverRan && !bytes.Equal(row.Fingerprint, op.Fingerprint) {
		return KeyReused
	}
	switch row.State {
	case InFlight:
		return Busy
	case Answered:
		return AlreadyAnswered
	case MayHaveRun:
		return Unsettled
	}
	startClaim(row, now, op)
	row.setState(InFlight, now)
	return Granted
}

// startClaim makes row a new claim's.
func startClaim(row *Entry, now int64, op *Op) {
	*row = Entry{Class: op.Class, Key: op.Key, Fingerprint: op.Fingerprint, Owner: op.Owner, Token: op.Token, RequestID: op.RequestID,
		StartedAt: now, LeaseExpires: now + op.Lease.Microseconds(), Version: row.Version}
}

func send(row *Entry, now int64, op *Op) Result {
	if row.Token != op.Token || row.State != InFlight {
		return Fenced
	}
	if n := int64(op.Attempt) + 1; n > row.Attempts {
		row.Attempts = n
		if row.Servers != "" {
			row.Servers += ","
		}
		row.Servers += op.Server
		row.LeaseExpires = max(row.LeaseExpires, now+op.Lease.Microseconds())
		row.setState(InFlight, now)
	}
	return Granted
}

// mayReplace orders what an owner may say of its own claim: later words may only add.
// That it never ran is said once all its attempts have ended, so that it replaces
// a may-have-run; that it ran stands for good.
func mayReplace(from, to State) bool {
	switch from {
	case InFlight:
		return true
	case MayHaveRun:
		return to == Answered || to == NeverRan
	case NeverRan:
		return to == Answered || to == MayHaveRun
	}
	return false
}

func end(row *Entry, now int64, op *Op) Result {
	if row.State == Unknown && op.Outcome != NeverRan && op.Owner != "" {
		startClaim(row, now, op) // went out while the store was away: its end is worth keeping
	}
	if row.Token != op.Token {
		if row.State == Unknown {
			return Granted // never ran, and nothing is known: the same
		}
		return Fenced
	}
	if row.State == op.Outcome {
		return Granted
	}
	if row.State != Unknown && !mayReplace(row.State, op.Outcome) {
		return Fenced
	}
	if row.SettledBy != "" {
		row.Note = fmt.Sprintf("%s; settled as %s by %s, then the owner said %s", row.Note, row.State, row.SettledBy, op.Outcome)
		row.SettledBy = ""
	}
	if op.Outcome == Answered {
		row.Status, row.Header, row.Answer, row.AnswerOmitted = op.Status, op.Header, op.Answer, op.AnswerOmitted
	}
	row.setState(op.Outcome, now)
	return Granted
}

func settle(row *Entry, now int64, op *Op) Result {
	if row.Expired(now) {
		row.Lapse(now)
	}
	if row.State != MayHaveRun || op.Outcome != Answered && op.Outcome != NeverRan {
		return Fenced
	}
	row.SettledBy, row.Note = op.SettledBy, op.Note
	row.setState(op.Outcome, now)
	return Granted
}

// Retention says how long rows are kept after their last change. What is in flight is
// kept until its owner's time is over, and then becomes one of the others.
type Retention struct {
	Answered  time.Duration
	NeverRan  time.Duration
	Unsettled time.Duration
}

// For is how long a state is kept; 0 for one that has no end of its own.
func (k Retention) For(s State) time.Duration {
	return map[State]time.Duration{Answered: k.Answered, NeverRan: k.NeverRan, MayHaveRun: k.Unsettled}[s]
}

// ShortestEvidence is the least time that what ran, or may have, is kept.
func (k Retention) ShortestEvidence() time.Duration { return min(k.Answered, k.Unsettled) }
