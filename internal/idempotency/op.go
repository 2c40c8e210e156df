package idempotency

import (
	"bytes"
	"fmt"
	"time"
)

// OpKind is the kind of an Op.
type OpKind int

// The kinds of ops.
const (
	Claim  OpKind = iota // a request asks for the key
	Send                 // an attempt of the request is about to be sent
	End                  // the request ended with Outcome
	Settle               // an operator sets the outcome of a key whose request may have run
)

// Op is one event that changes the entry of one key. The store sets Result and Entry, the
// caller sets the other fields. An op that is applied again has no further effect, so a
// caller may repeat a transaction if it does not know whether it was committed.
type Op struct {
	Kind            OpKind
	Class, Key      string
	Token           string
	Owner           string        // for Claim, and for End of a request that was sent without a claim
	Fingerprint     []byte        // for the same ops as Owner
	RequestID       string        // for the same ops as Owner
	Lease           time.Duration // for Claim and Send: how long the owner counts as alive from now on; for End of a request that was sent without a claim
	Attempt         int           // for Send: counts from 0
	Server          string        // for Send
	Outcome         State         // for End: Answered, NeverRan or MayHaveRun; for Settle: Answered or NeverRan
	Status          int64         // for End with Answered: HTTP status of the answer
	Header          []byte        // for End with Answered: header fields of the answer to store
	Answer          []byte        // for End with Answered: body of the answer
	AnswerOmitted   bool          // for End with Answered: the body is too large to be stored
	SettledBy, Note string        // for Settle: the operator and a remark

	Result Result
	Entry  Entry // the entry after the op
}

// Result is the result of an Op.
type Result int

// The results of an op.
const (
	NotApplied      Result = iota // the op was not applied
	Granted                       // Claim: the caller owns the key; Send: the attempt may be sent; End, Settle: the outcome is stored
	Busy                          // Claim: another request with the key is in flight
	AlreadyAnswered               // Claim: the request ran; Entry has its answer unless it was omitted or an operator settled the key
	Unsettled                     // Claim: an earlier request with the key may have run
	KeyReused                     // Claim: an earlier request with the key has another fingerprint
	Fenced                        // Send, End: the claim is no longer the caller's; Settle: there is nothing to settle
)

// String returns the result's name, which health responses show.
func (r Result) String() string {
	return [...]string{"none", "granted", "busy", "known", "unsettled", "mismatched", "fenced"}[r]
}

// Apply applies op to the entry of its key, which is the zero Entry if the key is unknown.
// now is the time by the store's clock, in microseconds. Apply changes the entry and sets
// op.Result and op.Entry. changed reports whether the entry must be written.
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

// claim applies an op of the kind Claim.
func claim(entry *Entry, now int64, op *Op) Result {
	if entry.Token == op.Token && entry.State == InFlight {
		return Granted // this op was applied before
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

// startClaim replaces the entry with that of a new claim. Only the version continues.
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

// send applies an op of the kind Send.
func send(entry *Entry, now int64, op *Op) Result {
	if entry.Token != op.Token || entry.State != InFlight {
		return Fenced
	}
	attempts := int64(op.Attempt) + 1
	if attempts <= entry.Attempts {
		return Granted // this op was applied before
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

// mayReplace reports whether the outcome to, which the owner of a claim reports, may replace
// the state from. The report must be based on later knowledge than the state. An owner
// reports NeverRan once all attempts have ended, so NeverRan may replace MayHaveRun. Answered
// is final.
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

// end applies an op of the kind End.
func end(entry *Entry, now int64, op *Op) Result {
	if entry.State == Unknown && op.Outcome != NeverRan && op.Owner != "" {
		startClaim(entry, now, op) // the request was sent while the store was unavailable
	}
	if entry.Token != op.Token {
		if entry.State == Unknown {
			return Granted // an unknown key permits the same requests as one that never ran
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
		entry.Note = fmt.Sprintf("%s; settled as %s by %s, then the owner reported %s", entry.Note, entry.State, entry.SettledBy, op.Outcome)
		entry.SettledBy = ""
	}
	if op.Outcome == Answered {
		entry.Status, entry.Header, entry.Answer, entry.AnswerOmitted = op.Status, op.Header, op.Answer, op.AnswerOmitted
	}
	entry.setState(op.Outcome, now)
	return Granted
}

// settle applies an op of the kind Settle.
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
