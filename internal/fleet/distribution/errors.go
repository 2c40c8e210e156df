package distribution

import "fmt"

// InvalidError reports a change with an invalid field.
type InvalidError struct {
	What   string // the field
	Name   string // of the resource or the value
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("settings: %s %.200q: %s", e.What, e.Name, e.Reason)
}

// Advice returns the operator's next step.
func (e *InvalidError) Advice() string { return "correct the " + e.What + " and publish again" }

// ConflictError reports that a resource is at another revision than the one its change was based
// on.
type ConflictError struct {
	Name    string
	Want    Revision // zero: the resource was expected not to exist
	Current Revision // zero: the resource does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	current := "missing"
	if !e.Current.IsZero() {
		current = "at revision " + e.Current.String()
	}
	want := "it not to exist"
	if !e.Want.IsZero() {
		want = "revision " + e.Want.String()
	}
	return fmt.Sprintf("settings: resource %q is %s; the change expects %s", e.Name, current, want)
}

// Advice returns the operator's next step.
func (e *ConflictError) Advice() string {
	return "it was changed meanwhile: look at its current content, then publish against its revision"
}

// LimitError reports that a limit would be exceeded.
type LimitError struct {
	What  string
	Limit int
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("settings: %s: at most %d are allowed", e.What, e.Limit)
}

// Advice returns the operator's next step.
func (e *LimitError) Advice() string {
	return "remove resources that are no longer needed, or merge small ones"
}

// FencedError reports a writer or a copy whose epoch is lower than one that is known.
type FencedError struct {
	Epoch, Known int64
	Writer       string // of the known epoch; "" if unknown
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("settings: epoch %d has ended: the writer is %q since epoch %d", e.Epoch, e.Writer, e.Known)
}

// Advice returns the operator's next step.
func (e *FencedError) Advice() string {
	return fmt.Sprintf("publish at %q; changes that only the earlier writer acknowledged after the promotion are void: publish them again", e.Writer)
}

// NotWriterError reports that changes are accepted by another relay.
type NotWriterError struct {
	Here, Writer string
	Epoch        int64
}

// Error implements error.
func (e *NotWriterError) Error() string {
	return fmt.Sprintf("settings: %q is not the writer; the writer is %q in epoch %d", e.Here, e.Writer, e.Epoch)
}

// Advice returns the operator's next step.
func (e *NotWriterError) Advice() string {
	return fmt.Sprintf("publish at %q, or promote a relay if it is lost", e.Writer)
}

// AheadError reports that a reader holds a later revision than its relay: the relay has not caught
// up, or the log was restored to an older state.
type AheadError struct{ Have, Requested Revision }

// Error implements error.
func (e *AheadError) Error() string {
	return fmt.Sprintf("settings: requested the changes after %v; this relay holds none after %v", e.Requested, e.Have)
}

// Advice returns the operator's next step.
func (e *AheadError) Advice() string {
	return "wait until the relay has caught up; if the error persists the writer has lost changes: promote the relay with the latest revision"
}

// UnreachableError reports that no relay answers. The accepted settings stay in force.
type UnreachableError struct {
	Tried int
	Last  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("settings: none of %d relays answers, the last: %v", e.Tried, e.Last)
}

// Unwrap returns the last relay's error.
func (e *UnreachableError) Unwrap() error { return e.Last }

// Advice returns the operator's next step.
func (e *UnreachableError) Advice() string {
	return "the last accepted settings stay in force; check that the relays run and are reachable from this host"
}

// FullError reports that a relay serves its maximum number of subscribers.
type FullError struct{ Limit int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("settings: this relay serves its limit of %d subscribers", e.Limit)
}

// Advice returns the operator's next step.
func (e *FullError) Advice() string {
	return "none needed, subscribers use the next relay; if all are full, add relays or raise relay.subscribers"
}
