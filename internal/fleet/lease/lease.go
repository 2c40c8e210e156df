// Package lease decides who may change an instance. It is pure: the current time is an
// argument, and the caller stores the leases that it returns.
//
// A lease gives one run of a command, for one operation, the exclusive right to
// change an instance until it expires by the agent's clock. Every grant has a
// fencing token greater than all earlier ones; a change is allowed only with the
// token of the lease in force. Safety rests on the tokens, which the agent counts,
// and not on synchronized clocks: a clock that jumps only ends a lease early or makes
// others wait longer.
//
// It does not store leases, and it does not know which operations exist: the caller of
// Acquire reports conflicts with those.
package lease

import (
	"fmt"
	"time"
)

// MaxTTL is the longest time for which a lease is granted.
const MaxTTL = 5 * time.Minute

// Lease is the right of one holder to change one instance.
type Lease struct {
	Instance string
	Op       string // the operation's ID
	Holder   string // identifies the run of a command
	Token    int64  // fencing token
	Granted  time.Time
	Expires  time.Time
}

// Live reports whether the lease is in force. A clock that was set back to before the
// grant ends it, because the time that remains is unknown.
func (l Lease) Live(now time.Time) bool {
	return !now.Before(l.Granted) && now.Before(l.Expires)
}

// Revoked reports whether Table.RevokeAll ended the lease.
func (l Lease) Revoked() bool { return l.Token > 0 && l.Expires.Equal(l.Granted) }

// LostError reports that a lease was revoked because the host lost power during the
// holder's operation.
type LostError struct{ Lease }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("%s: the host lost power during operation %s, which is on hold", e.Instance, e.Op)
}

// Advice says what an operator can do.
func (e *LostError) Advice() string {
	return "check which instances have come back, then resume or abort the operation; evidence from before the power loss is out of date"
}

// HeldError reports that a lease can't be granted because of a live lease of another
// holder or, if Why is set, because of a conflicting step or operation.
type HeldError struct {
	Lease
	Why string // the conflict; "" if it is the embedded lease
}

// Error implements error.
func (e *HeldError) Error() string {
	if e.Why != "" {
		return fmt.Sprintf("%s: %s", e.Instance, e.Why)
	}
	return fmt.Sprintf("%s is held by %s for operation %s until %s", e.Instance, e.Holder, e.Op, e.Expires.Format(time.RFC3339))
}

// FencedError reports that a token does not allow changes to an instance, or no longer
// does.
type FencedError struct {
	Instance string
	Token    int64
	Current  Lease // the latest lease on the instance; its Token is 0 if there was none
	Live     bool  // whether Current is in force
}

// Error implements error.
func (e *FencedError) Error() string {
	switch {
	case e.Current.Token == 0:
		return fmt.Sprintf("%s: token %d: no lease is held on it", e.Instance, e.Token)
	case e.Current.Token != e.Token:
		return fmt.Sprintf("%s: token %d is not the token of the current lease (token %d, held by %s for operation %s)", e.Instance, e.Token, e.Current.Token, e.Current.Holder, e.Current.Op)
	}
	return fmt.Sprintf("%s: the lease with token %d ended at %s", e.Instance, e.Token, e.Current.Expires.Format(time.RFC3339))
}

// Table holds the latest lease on each of an agent's instances, and the last token granted.
// The zero Table is empty and ready to use. It is not safe for concurrent use.
type Table struct {
	ByInstance map[string]Lease
	LastToken  int64
}

// Acquire returns leases on all of the instances, with one new token, or an error if any
// of them can't be granted: a *HeldError or, after a power loss, a *LostError. busy returns
// any other conflict with the operation on an instance, "" for none. Expired leases of
// others are replaced, and a holder that acquires again gets a new token. ttl must be above 0
// and at most MaxTTL. Acquire does not change the table: the caller stores the leases and
// then calls Put.
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
		if conflict := busy(name); conflict != "" {
			return nil, &HeldError{Lease: Lease{Instance: name}, Why: conflict}
		}
		out = append(out, Lease{Instance: name, Op: op, Holder: holder, Token: t.LastToken + 1, Granted: now, Expires: now.Add(ttl)})
	}
	return out, nil
}

// checkTTL returns an error unless ttl is above 0 and at most MaxTTL.
func checkTTL(ttl time.Duration) error {
	if ttl <= 0 || ttl > MaxTTL {
		return fmt.Errorf("lease: invalid duration %v; it must be above 0 and at most %v", ttl, MaxTTL)
	}
	return nil
}

// Check returns nil if the token allows the operation to change the instance now, and
// otherwise a *FencedError.
func (t *Table) Check(now time.Time, op string, token int64, instance string) error {
	l := t.ByInstance[instance]
	if live := l.Live(now); token <= 0 || l.Token != token || l.Op != op || !live {
		return &FencedError{Instance: instance, Token: token, Current: l, Live: live}
	}
	return nil
}

// Renew returns the token's leases on the instances, which now expire after ttl. If the
// token does not allow changes to one of them, Renew returns a *FencedError: an expired
// lease is not renewed, because another caller may already have seen the instance as free.
// The caller stores the leases and then calls Put.
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

// RevokeAll returns all leases as revoked: none of their tokens allows changes any more,
// whatever the clock says. It is called after a power loss. The run of a command that held
// a lease can't acquire it again, but an operator's resume can, because it is a new run.
// The caller stores the leases and then calls Put.
func (t *Table) RevokeAll() (out []Lease) {
	for _, l := range t.ByInstance {
		l.Expires = l.Granted
		out = append(out, l)
	}
	return out
}

// Put enters leases that were granted, renewed or revoked into the table.
func (t *Table) Put(leases []Lease) {
	if t.ByInstance == nil {
		t.ByInstance = make(map[string]Lease)
	}
	for _, l := range leases {
		t.ByInstance[l.Instance] = l
		t.LastToken = max(t.LastToken, l.Token)
	}
}
