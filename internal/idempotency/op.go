package idempotency

import (
	"bytes"
	"fmt"
	"time"
)

// OpKind is what an Op does.
type OpKind int

// The kinds of ops.
const (
	Claim  OpKind = iota // requests the key
	Send                 // attempt Attempt is about to be sent to Server
	End                  // the outcome of the request
	Settle               // the outcome by hand, for a key whose request may have run
)

// Op is one event of one key. The caller sets the first fields, the store Result and
// Entry. Applying an op again has no further effect, so that a commit of unknown outcome
// is resolved by repeating it.
type Op struct {
	Kind            OpKind
	Class, Key      string
	Token           string
	Owner           string        // Claim, and End of a key whose claim was not written
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
	Entry  Entry // after the op
}

// Result is the store's reply to an Op.
type Result int

// The results of an op.
const (
	NotApplied      Result = iota
	Granted                // the key is the caller's, the attempt may be sent, the outcome is stored
	Busy                   // claimed by a request that may still be answered
	AlreadyAnswered        // the entry has the answer, unless it is omitted or settled
	Unsettled              // it may have run
	KeyReused              // the key belongs to a request with another fingerprint
	Fenced                 // the claim is not the caller's any more, or there is nothing to settle
)

// String is the result's name, which metrics and health responses show.
func (r Result) String() string {
	return [...]string{"none", "granted", "busy", "known", "unsettled", "mismatched", "fenced"}[r]
}

// Apply applies op to its key's entry, which is the zero Entry if there is none. It
// changes the entry and sets op.Result and op.Entry; changed says whether the entry must
// be written.
func Apply(entry *Entry, now int64, op *Op) (changed bool) {
	before := entry.Version
	switch op.Kind {
	case Claim:
		op.Result = claim(entry, now, op)
	case Send:
		op.Result = send(entry, now, op)
	case End:
		op.Result = end(entry, now, op)
	case Settle:
		op.Result = settle(entry, now, op)
	}
	op.Entry = *entry
	return entry.Version != before
}

func claim(entry *Entry, now int64, op *Op) Result {
	if entry.Token == op.Token && entry.State == InFlight {
		return Granted // the same op again
	}
	if entry.Expired(now) {
		entry.Lapse(now)
	}
	if entry.State != Unknown && entry.State != NeverRan && !bytes.Equal(entry.Fingerprint, op.Fingerprint) {
		return KeyReused
	}
	switch entry.State {
	case InFlight:
		return Busy
	case Answered:
		return AlreadyAnswered
	case MayHaveRun:
		return Unsettled
	}
	startClaim(entry, now, op)
	entry.setState(InFlight, now)
	return Granted
}

// startClaim replaces the entry by that of a new claim.
func startClaim(entry *Entry, now int64, op *Op) {
	*entry = Entry{
		Class:        op.Class,
		Key:          op.Key,
		Fingerprint:  op.Fingerprint,
		Owner:        op.Owner,
		Token:        op.Token,
		RequestID:    op.RequestID,
		StartedAt:    now,
		LeaseExpires: now + op.Lease.Microseconds(),
		Version:      entry.Version,
	}
}

func send(entry *Entry, now int64, op *Op) Result {
	if entry.Token != op.Token || entry.State != InFlight {
		return Fenced
	}
	attempts := int64(op.Attempt) + 1
	if attempts <= entry.Attempts {
		return Granted // the same op again
	}
	entry.Attempts = attempts
	if entry.Servers != "" {
		entry.Servers += ","
	}
	entry.Servers += op.Server
	entry.LeaseExpires = max(entry.LeaseExpires, now+op.Lease.Microseconds())
	entry.setState(InFlight, now)
	return Granted
}

// mayReplace says which outcomes of its own claim an owner may replace: a later one may
// only add knowledge. NeverRan is reported once all attempts have ended and so replaces
// MayHaveRun; Answered is final.
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

func end(entry *Entry, now int64, op *Op) Result {
	if entry.State == Unknown && op.Outcome != NeverRan && op.Owner != "" {
		startClaim(entry, now, op) // sent while the store was unavailable
	}
	if entry.Token != op.Token {
		if entry.State == Unknown {
			return Granted // an unknown key and one that never ran permit the same
		}
		return Fenced
	}
	if entry.State == op.Outcome {
		return Granted
	}
	if entry.State != Unknown && !mayReplace(entry.State, op.Outcome) {
		return Fenced
	}
	if entry.SettledBy != "" {
		entry.Note = fmt.Sprintf("%s; settled as %s by %s, then the owner said %s", entry.Note, entry.State, entry.SettledBy, op.Outcome)
		entry.SettledBy = ""
	}
	if op.Outcome == Answered {
		entry.Status, entry.Header, entry.Answer, entry.AnswerOmitted = op.Status, op.Header, op.Answer, op.AnswerOmitted
	}
	entry.setState(op.Outcome, now)
	return Granted
}

func settle(entry *Entry, now int64, op *Op) Result {
	if entry.Expired(now) {
		entry.Lapse(now)
	}
	if entry.State != MayHaveRun || op.Outcome != Answered && op.Outcome != NeverRan {
		return Fenced
	}
	entry.SettledBy, entry.Note = op.SettledBy, op.Note
	entry.setState(op.Outcome, now)
	return Granted
}
