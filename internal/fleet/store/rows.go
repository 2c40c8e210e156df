package store

import (
	"encoding/json"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/lease"
)

// Scanner is a row of a query result. The drivers of both databases implement it.
type Scanner interface {
	Scan(to ...any) error
}

// The columns of each table, in the order in which the functions below write and read them.
const (
	InstanceColumns = "name, desired, generation, release, previous, launch, process, running, pid, ticks, boot, launched, restarts, last_exit"
	// OperationColumns and StepColumns hold a complete api.Operation or api.Step in body. The
	// state, result and closed columns of an operation are not part of body. The remaining
	// columns repeat values of body, as keys and for people who query the database.
	OperationColumns = "id, body, state, result, closed"
	StepColumns      = "op, instance, kind, status, body"
	LeaseColumns     = "instance, op, holder, token, granted, expires"
	SettingsColumns  = "key, body"
	AuditColumns     = "at, who, what, target, result"
	// PropertyColumns hold the values of a store that are no rows of their own.
	PropertyColumns = "key, value"
)

// droppedUntilKey is the key of the property that holds Snapshot.DroppedUntil, in the form of RFC 3339:
// callers choose creation times, and nanoseconds since 1970 can't express all of them.
const droppedUntilKey = "dropped_until"

// toUnixNanos returns a time as it is stored: in nanoseconds since 1970, 0 for the zero time.
func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNanos returns the time of a stored value; see toUnixNanos.
func fromUnixNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Values returns the values of InstanceColumns.
func (i *Instance) Values() []any {
	return []any{i.Name, i.Desired, i.Generation, i.Release, i.Previous, i.Launch, i.Process, i.Running, int64(i.PID), int64(i.Ticks), i.Boot,
		toUnixNanos(i.Launched), i.Restarts, i.LastExit}
}

// ReadInstance adds the instance in a row of InstanceColumns to the snapshot.
func (s *Snapshot) ReadInstance(row Scanner) error {
	var instance Instance
	var launched, ticks int64
	err := row.Scan(&instance.Name, &instance.Desired, &instance.Generation, &instance.Release, &instance.Previous, &instance.Launch, &instance.Process,
		&instance.Running, &instance.PID, &ticks, &instance.Boot, &launched, &instance.Restarts, &instance.LastExit)
	instance.Launched, instance.Ticks = fromUnixNanos(launched), uint64(ticks)
	s.Instances = append(s.Instances, instance)
	return err
}

// Values returns the values of OperationColumns. It returns an error if the operation can't be
// encoded as JSON.
func (o *Operation) Values() ([]any, error) {
	body, err := json.Marshal(o.Operation)
	return []any{o.ID, string(body), o.State, o.Result, toUnixNanos(o.Closed)}, err
}

// ReadOperation adds the operation in a row of OperationColumns to the snapshot.
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

// StepValues returns the values of StepColumns. It returns an error if the step can't be
// encoded as JSON.
func StepValues(step *api.Step) ([]any, error) {
	body, err := json.Marshal(step)
	return []any{step.Op, step.Instance, step.Kind, step.Status, string(body)}, err
}

// ReadStep adds the step in a row of StepColumns to the snapshot.
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

// LeaseValues returns the values of LeaseColumns.
func LeaseValues(l *lease.Lease) []any {
	return []any{l.Instance, l.Op, l.Holder, l.Token, toUnixNanos(l.Granted), toUnixNanos(l.Expires)}
}

// ReadLease adds the lease in a row of LeaseColumns to the snapshot.
func (s *Snapshot) ReadLease(row Scanner) error {
	var l lease.Lease
	var granted, expires int64
	err := row.Scan(&l.Instance, &l.Op, &l.Holder, &l.Token, &granted, &expires)
	l.Granted, l.Expires = fromUnixNanos(granted), fromUnixNanos(expires)
	s.Leases = append(s.Leases, l)
	return err
}

// SettingsValues returns the values of SettingsColumns for an entry of the distributed settings.
func SettingsValues(entry *distribution.Entry) []any {
	return []any{entry.Key, string(entry.Value)}
}

// ReadSettings adds the entry in a row of SettingsColumns to the snapshot.
func (s *Snapshot) ReadSettings(row Scanner) error {
	var key, body string
	err := row.Scan(&key, &body)
	s.Settings = append(s.Settings, distribution.Entry{Key: key, Value: []byte(body)})
	return err
}

// AuditValues returns the values of AuditColumns.
func AuditValues(entry *api.AuditEntry) []any {
	return []any{toUnixNanos(entry.At), entry.Who, entry.What, entry.Target, entry.Result}
}

// ReadAudit returns the audit entry in a row of AuditColumns.
func ReadAudit(row Scanner) (entry api.AuditEntry, err error) {
	var at int64
	err = row.Scan(&at, &entry.Who, &entry.What, &entry.Target, &entry.Result)
	entry.At = fromUnixNanos(at)
	return entry, err
}

// PropertyValues returns the values of PropertyColumns of each property that the change sets.
func (c *Change) PropertyValues() (rows [][]any) {
	if !c.DroppedUntil.IsZero() {
		rows = append(rows, []any{droppedUntilKey, c.DroppedUntil.UTC().Format(time.RFC3339Nano)})
	}
	return rows
}

// ReadProperty sets the value of the snapshot that is in a row of PropertyColumns. It ignores a key that
// this build does not know.
func (s *Snapshot) ReadProperty(row Scanner) error {
	var key, value string
	if err := row.Scan(&key, &value); err != nil || key != droppedUntilKey {
		return err
	}
	var err error
	s.DroppedUntil, err = time.Parse(time.RFC3339Nano, value)
	return err
}
