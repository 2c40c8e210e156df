// Package lease decides who may change an instance. It is pure: the time is an
// argument, and the caller keeps what it returns.
//
// A lease is held on instances for one operation by one run of a command, until a
// time by the agent's clock. Every grant has a fencing token above all earlier
// ones; a change is allowed only with the token of the lease in force. So safety
// rests on tokens, which the agent counts, and never on clocks agreeing: a clock
// that jumps makes a lease end early, or others wait, and no more.
package lease

import (
	"fmt"
	"time"
)

// MaxTTL is the longest time that a lease is granted for.
const MaxTTL = 5 * time.Minute

// Lease is who holds an instance.
type Lease struct {
	Instance string
	Op       string
	Holder   string
	Token    int64
	Granted  time.Time
	Expires  time.Time
}

// Live says whether it is in force. A clock that has gone back behind the grant
// ends it: how long it would last is not known.
func (l Lease) Live(now time.Time) bool {
	return !now.Before(l.Granted) && now.Before(l.Expires)
}

// Revoked says that it was ended by Table.Void.
func (l Lease) Revoked() bool { return l.Token > 0 && l.Expires.Equal(l.Granted) }

// LostError tells a run of a command that what it held was voided: the host lost its power
// in the midst of its operation.
type LostError struct{ Lease }

func (e *LostError) Error() string {
	return fmt.Sprintf("%s: the host lost its power in the midst of operation %s, which holds", e.Instance, e.Op)
}

// Advice says what an operator can do.
func (e *LostError) Advice() string {
	return "look at what came back, then resume the operation or abort it; evidence from before the loss is old"
}

// HeldError tells who is in the way.
type HeldError struct {
	Lease
	Why string // beside a live lease: a step under way, or an open operation
}

func (e *HeldError) Error() string {
	if e.Why != "" {
		return fmt.Sprintf("%s: %s", e.Instance, e.Why)
	}
	return fmt.Sprintf("%s is held by %s for operation %s until %s", e.Instance, e.Holder, e.Op, e.Expires.Format(time.RFC3339))
}

// FencedError tells a holder that it is one no more.
type FencedError struct {
	Instance string
	Token    int64
	Current  Lease // in force, or the last one
	Live     bool
}

func (e *FencedError) Error() string {
	switch {
	case e.Current.Token == 0:
		return fmt.Sprintf("%s: token %d: no lease is held on it", e.Instance, e.Token)
	case e.Current.Token != e.Token:
		return fmt.Sprintf("%s: token %d is not that of the lease (%d, %s for operation %s)", e.Instance, e.Token, e.Current.Token, e.Current.Holder, e.Current.Op)
	}
	return fmt.Sprintf("%s: the lease of token %d ended at %s", e.Instance, e.Token, e.Current.Expires.Format(time.RFC3339))
}

// Table is the leases of an agent's instances, and the last token given.
type Table struct {
	ByInstance map[string]Lease
	LastToken  int64
}

// Acquire grants all of the instances or none. busy tells of each what else is in
// the way of this operation, "" for nothing. Leases of others that have ended are
// replaced; a holder that asks again gets a new token. The table is not changed:
// Put the leases once they are recorded.
func (t *Table) Acquire(now time.Time, op, holder string, instances []string, ttl time.Duration, busy func(instance string) string) ([]Lease, error) {
	if err := checkTTL(ttl); err != nil {
		return nil, err
	}
	out := make([]Lease, 0, len(instances))
	for _, name := range instances {
		if l, ok := t.ByInstance[name]; ok && l.Live(now) && (l.Op != op || l.Holder != holder) {
			return nil, &HeldError{Lease: l}
		}
		if l := t.ByInstance[name]; l.Revoked() && l.Op == op && l.Holder == holder {
			return nil, &LostError{l}
		}
		if why := busy(name); why != "" {
			return nil, &HeldError{Lease: Lease{Instance: name}, Why: why}
		}
		out = append(out, Lease{Instance: name, Op: op, Holder: holder, Token: t.LastToken + 1, Granted: now, Expires: now.Add(ttl)})
	}
	return out, nil
}

func checkTTL(ttl time.Duration) error {
	if ttl <= 0 || ttl > MaxTTL {
		return fmt.Errorf("lease: a time of %v; above 0 and up to %v is granted", ttl, MaxTTL)
	}
	return nil
}

// Check is nil if the token's holder may change the instance for the operation now.
func (t *Table) Check(now time.Time, op string, token int64, instance string) error {
	l := t.ByInstance[instance]
	if live := l.Live(now); token <= 0 || l.Token != token || l.Op != op || !live {
		return &FencedError{Instance: instance, Token: token, Current: l, Live: live}
	}
	return nil
}

// Renew returns the token's leases with a later end. One that has ended is not
// renewed: another may have looked, and been told that it is free.
func (t *Table) Renew(now time.Time, op string, token int64, instances []string, ttl time.Duration) ([]Lease, error) {
	if err := checkTTL(ttl); err != nil {
		return nil, err
	}
	out := make([]Lease, 0, len(instances))
	for _, name := range instances {
		if err := t.Check(now, op, token, name); err != nil {
			return nil, err
		}
		l := t.ByInstance[name]
		l.Expires = now.Add(ttl)
		out = append(out, l)
	}
	return out, nil
}

// RevokeAll returns all leases ended for good, whatever the clocks say: after a power loss. No
// token from before is in force again, and a run that held one does not get another: a
// new run, an operator's resume, does. The caller records them and Puts them.
func (t *Table) RevokeAll() (out []Lease) {
	for _, l := range t.ByInstance {
		l.Expires = l.Granted
		out = append(out, l)
	}
	return out
}

// Put takes granted or renewed leases over.
func (t *Table) Put(ls []Lease) {
	if t.ByInstance == nil {
		t.ByInstance = make(map[string]Lease)
	}
	for _, l := range ls {
		t.ByInstance[l.Instance] = l
		t.LastToken = max(t.LastToken, l.Token)
	}
}
