package store

import (
	"encoding/json"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/lease"
)

// Scanner is a row of either database's driver.
type Scanner interface {
	Scan(to ...any) error
}

// The columns of each table, in the order in which they are written and read.
const (
	InstanceColumns = "name, desired, generation, release, previous, launch, process, running, pid, ticks, boot, launched, restarts, last_exit"
	// OperationColumns and StepColumns hold a complete operation or step in body; the other
	// columns are for people who query the database.
	OperationColumns = "id, body, state, result, closed"
	StepColumns      = "op, instance, kind, status, body"
	LeaseColumns     = "instance, op, holder, token, granted, expires"
	SettingsColumns  = "key, body"
	AuditColumns     = "at, who, what, target, result"
)

// toUnixNanos is a time as it is stored: in nanoseconds since 1970, 0 for the zero time.
func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Values returns the instance's columns.
func (i *Instance) Values() []any {
	return []any{i.Name, i.Desired, i.Generation, i.Release, i.Previous, i.Launch, i.Process, i.Running, int64(i.PID), int64(i.Ticks), i.Boot,
		toUnixNanos(i.Launched), i.Restarts, i.LastExit}
}

// ReadInstance adds an instance to the snapshot.
func (s *Snapshot) ReadInstance(row Scanner) error {
	var instance Instance
	var launched, ticks int64
	err := row.Scan(&instance.Name, &instance.Desired, &instance.Generation, &instance.Release, &instance.Previous, &instance.Launch, &instance.Process,
		&instance.Running, &instance.PID, &ticks, &instance.Boot, &launched, &instance.Restarts, &instance.LastExit)
	instance.Launched, instance.Ticks = fromUnixNanos(launched), uint64(ticks)
	s.Instances = append(s.Instances, instance)
	return err
}

// Values returns the operation's columns.
func (o *Operation) Values() ([]any, error) {
	body, err := json.Marshal(o.Operation)
	return []any{o.ID, string(body), o.State, o.Result, toUnixNanos(o.Closed)}, err
}

// ReadOperation adds an operation to the snapshot.
func (s *Snapshot) ReadOperation(row Scanner) error {
	var operation Operation
	var id, body string
	var closed int64
	err := row.Scan(&id, &body, &operation.State, &operation.Result, &closed)
	if err == nil {
		operation.Closed = fromUnixNanos(closed)
		err = json.Unmarshal([]byte(body), &operation.Operation)
	}
	s.Operations = append(s.Operations, operation)
	return err
}

// StepValues returns a step's columns.
func StepValues(step *api.Step) ([]any, error) {
	body, err := json.Marshal(step)
	return []any{step.Op, step.Instance, step.Kind, step.Status, string(body)}, err
}

// ReadStep adds a step to the snapshot.
func (s *Snapshot) ReadStep(row Scanner) error {
	var op, instance, kind, status, body string
	var step api.Step
	err := row.Scan(&op, &instance, &kind, &status, &body)
	if err == nil {
		err = json.Unmarshal([]byte(body), &step)
	}
	s.Steps = append(s.Steps, step)
	return err
}

// LeaseValues returns a lease's columns.
func LeaseValues(l *lease.Lease) []any {
	return []any{l.Instance, l.Op, l.Holder, l.Token, toUnixNanos(l.Granted), toUnixNanos(l.Expires)}
}

// ReadLease adds a lease to the snapshot.
func (s *Snapshot) ReadLease(row Scanner) error {
	var read lease.Lease
	var granted, expires int64
	err := row.Scan(&read.Instance, &read.Op, &read.Holder, &read.Token, &granted, &expires)
	read.Granted, read.Expires = fromUnixNanos(granted), fromUnixNanos(expires)
	s.Leases = append(s.Leases, read)
	return err
}

// SettingsValues returns the columns of an entry of the settings' distribution.
func SettingsValues(entry *distribution.Entry) []any {
	return []any{entry.Key, string(entry.Value)}
}

// ReadSettings adds an entry of the settings' distribution to the snapshot.
func (s *Snapshot) ReadSettings(row Scanner) error {
	var key, body string
	err := row.Scan(&key, &body)
	s.Settings = append(s.Settings, distribution.Entry{Key: key, Value: []byte(body)})
	return err
}

// AuditValues returns an audit entry's columns.
func AuditValues(entry *api.AuditEntry) []any {
	return []any{toUnixNanos(entry.At), entry.Who, entry.What, entry.Target, entry.Result}
}

// ReadAudit reads an audit entry.
func ReadAudit(row Scanner) (entry api.AuditEntry, err error) {
	var at int64
	err = row.Scan(&at, &entry.Who, &entry.What, &entry.Target, &entry.Result)
	entry.At = fromUnixNanos(at)
	return entry, err
}
