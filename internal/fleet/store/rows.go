package store

import (
	"encoding/json"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/lease"
)

// Scanner is one that a database returns, of either driver.
type Scanner interface {
	Scan(to ...any) error
}

// The columns of each table, in the order in which they are written and read.
const (
	InstanceColumns = "name, desired, generation, release, previous, launch, process, running, pid, ticks, boot, launched, restarts, last_exit"
	// Of operations and steps the body holds the whole; the others are for those who
	// look into the database.
	OperationColumns = "id, body, state, result, closed"
	StepColumns      = "op, instance, kind, status, body"
	LeaseColumns     = "instance, op, holder, token, granted, expires"
	SettingsColumns  = "key, body"
	AuditColumns     = "at, who, what, target, result"
)

func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Values returns what is written of i.
func (i *Instance) Values() []any {
	return []any{i.Name, i.Desired, i.Generation, i.Release, i.Previous, i.Launch, i.Process, i.Running, int64(i.PID), int64(i.Ticks), i.Boot,
		toUnixNanos(i.Launched), i.Restarts, i.LastExit}
}

// ReadInstance adds a row to the snapshot.
func (s *Snapshot) ReadInstance(r Scanner) error {
	var i Instance
	var launched, ticks int64
	err := r.Scan(&i.Name, &i.Desired, &i.Generation, &i.Release, &i.Previous, &i.Launch, &i.Process, &i.Running, &i.PID, &ticks, &i.Boot,
		&launched, &i.Restarts, &i.LastExit)
	i.Launched, i.Ticks = fromUnixNanos(launched), uint64(ticks)
	s.Instances = append(s.Instances, i)
	return err
}

// Values returns what is written of o.
func (o *Operation) Values() ([]any, error) {
	body, err := json.Marshal(o.Operation)
	return []any{o.ID, string(body), o.State, o.Result, toUnixNanos(o.Closed)}, err
}

// ReadOperation adds a row to the snapshot.
func (s *Snapshot) ReadOperation(r Scanner) error {
	var o Operation
	var id, body string
	var closed int64
	err := r.Scan(&id, &body, &o.State, &o.Result, &closed)
	if err == nil {
		o.Closed = fromUnixNanos(closed)
		err = json.Unmarshal([]byte(body), &o.Operation)
	}
	s.Operations = append(s.Operations, o)
	return err
}

// StepValues returns what is written of x.
func StepValues(x *api.Step) ([]any, error) {
	body, err := json.Marshal(x)
	return []any{x.Op, x.Instance, x.Kind, x.Status, string(body)}, err
}

// ReadStep adds a row to the snapshot.
func (s *Snapshot) ReadStep(r Scanner) error {
	var op, instance, kind, status, body string
	var x api.Step
	err := r.Scan(&op, &instance, &kind, &status, &body)
	if err == nil {
		err = json.Unmarshal([]byte(body), &x)
	}
	s.Steps = append(s.Steps, x)
	return err
}

// LeaseValues returns what is written of l.
func LeaseValues(l *lease.Lease) []any {
	return []any{l.Instance, l.Op, l.Holder, l.Token, toUnixNanos(l.Granted), toUnixNanos(l.Expires)}
}

// ReadLease adds a row to the snapshot.
func (s *Snapshot) ReadLease(r Scanner) error {
	var l lease.Lease
	var granted, expires int64
	err := r.Scan(&l.Instance, &l.Op, &l.Holder, &l.Token, &granted, &expires)
	l.Granted, l.Expires = fromUnixNanos(granted), fromUnixNanos(expires)
	s.Leases = append(s.Leases, l)
	return err
}

// SettingsValues returns what is written of r.
func SettingsValues(r *distribution.Entry) []any { return []any{r.Key, string(r.Value)} }

// ReadSettings adds a row to the snapshot.
func (s *Snapshot) ReadSettings(r Scanner) error {
	var key, body string
	err := r.Scan(&key, &body)
	s.Settings = append(s.Settings, distribution.Entry{Key: key, Value: []byte(body)})
	return err
}

// AuditValues returns what is written of a.
func AuditValues(a *api.AuditEntry) []any {
	return []any{toUnixNanos(a.At), a.Who, a.What, a.Target, a.Result}
}

// ReadAudit reads an entry.
func ReadAudit(r Scanner) (a api.AuditEntry, err error) {
	var at int64
	err = r.Scan(&at, &a.Who, &a.What, &a.Target, &a.Result)
	a.At = fromUnixNanos(at)
	return a, err
}
