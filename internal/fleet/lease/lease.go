// Package lease decides who may change an instance. It is pure: the time is an
// argument, and the caller stores what it returns.
//
// A lease gives one run of a command, for one operation, the exclusive right to
// change an instance until it expires by the agent's clock. Every grant has a
// fencing token greater than all earlier ones; a change is allowed only with the
// token of the lease in force. Safety rests on the tokens, which the agent counts,
// and not on synchronized clocks: a clock that jumps ends a lease early or makes
// others wait longer, nothing else.
//
// It does not store leases, and it does not know which operations exist: Acquire's
// caller reports conflicts with those.
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
	Holder   string // the run of a command
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

// Error names the instance and the operation.
func (e *LostError) Error() string {
	return fmt.Sprintf("%s: the host lost its power in the midst of operation %s, which holds", e.Instance, e.Op)
}

// Advice is the next step for an operator.
func (e *LostError) Advice() string {
	return "look at what came back, then resume the operation or abort it; evidence from before the loss is old"
}

// HeldError reports what prevents a lease: a live lease of another holder or, if Why
// is set, a conflicting step or operation.
type HeldError struct {
	Lease
	Why string // the conflict, if it is not a live lease
}

// Error names the instance and what prevents the lease.
func (e *HeldError) Error() string {
	if e.Why != "" {
		return fmt.Sprintf("%s: %s", e.Instance, e.Why)
	}
	return fmt.Sprintf("%s is held by %s for operation %s until %s", e.Instance, e.Holder, e.Op, e.Expires.Format(time.RFC3339))
}

// FencedError reports that a token does not, or no longer, allow changes.
type FencedError struct {
	Instance string
	Token    int64
	Current  Lease // the latest lease on the instance
	Live     bool  // whether Current is in force
}

// Error names the instance, the token, and the lease that fences it.
func (e *FencedError) Error() string {
	switch {
	case e.Current.Token == 0:
		return fmt.Sprintf("%s: token %d: no lease is held on it", e.Instance, e.Token)
	case e.Current.Token != e.Token:
		return fmt.Sprintf("%s: token %d is not that of the lease (%d, %s for operation %s)", e.Instance, e.Token, e.Current.Token, e.Current.Holder, e.Current.Op)
	}
	return fmt.Sprintf("%s: the lease of token %d ended at %s", e.Instance, e.Token, e.Current.Expires.Format(time.RFC3339))
}

// Table holds the latest lease on each of an agent's instances and the last token granted.
type Table struct {
	ByInstance map[string]Lease
	LastToken  int64
}

// Acquire grants leases on all of the instances or on none. busy returns what else
// conflicts with the operation on an instance, "" for nothing. Expired leases of others
// are replaced; a holder that acquires again gets a new token. The table is not
// changed: the caller stores the leases and then calls Put. It returns a *HeldError
// or, after a power loss, a *LostError.
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

// checkTTL returns an error for a time for which no lease is granted.
func checkTTL(ttl time.Duration) error {
	if ttl <= 0 || ttl > MaxTTL {
		return fmt.Errorf("lease: a time of %v; above 0 and up to %v is granted", ttl, MaxTTL)
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

// Renew returns the token's leases with a later expiry. An expired lease is not renewed,
// because another caller may already have seen the instance as free. The caller stores
// the leases and then calls Put.
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

// RevokeAll returns all leases, revoked regardless of the clock. It is called after a
// power loss. No earlier token comes into force again, and a run of a command that held
// a lease cannot acquire it again: an operator's resume, which is a new run, can. The
// caller stores the leases and then calls Put.
func (t *Table) RevokeAll() (out []Lease) {
	for _, l := range t.ByInstance {
		l.Expires = l.Granted
		out = append(out, l)
	}
	return out
}

// Put enters granted, renewed or revoked leases into the table.
func (t *Table) Put(leases []Lease) {
	if t.ByInstance == nil {
		t.ByInstance = make(map[string]Lease)
	}
	for _, l := range leases {
		t.ByInstance[l.Instance] = l
		t.LastToken = max(t.LastToken, l.Token)
	}
}
