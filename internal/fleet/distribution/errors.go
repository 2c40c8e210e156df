package distribution

import "fmt"

// InvalidError reports an invalid value in a change, an update or a subscriber's request.
type InvalidError struct {
	What   string // which value is invalid, such as "scope"
	Name   string // the resource's name, or the value itself
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
	return "the resource was changed in the meantime: read its current content, then publish based on its revision"
}

// LimitError reports that a limit would be exceeded.
type LimitError struct {
	What  string // what would exceed the limit
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

// FencedError reports that a writer's epoch, or that of an update, is lower than the highest known one.
type FencedError struct {
	Epoch, Known int64  // the rejected epoch, and the highest known one
	Writer       string // of the epoch Known; "" if unknown
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
	Here, Writer string // the relay that was called, and the writer that it knows
	Epoch        int64  // of Writer
}

// Error implements error.
func (e *NotWriterError) Error() string {
	return fmt.Sprintf("settings: %q is not the writer; the writer is %q in epoch %d", e.Here, e.Writer, e.Epoch)
}

// Advice returns the operator's next step.
func (e *NotWriterError) Advice() string {
	return fmt.Sprintf("publish at %q, or promote a relay if that writer is lost", e.Writer)
}

// AheadError reports that a reader holds a later revision than its relay: the relay has not caught
// up, or the log was restored to an earlier state.
type AheadError struct{ Current, Requested Revision }

// Error implements error.
func (e *AheadError) Error() string {
	return fmt.Sprintf("settings: requested the changes after %v; this relay holds none after %v", e.Requested, e.Current)
}

// Advice returns the operator's next step.
func (e *AheadError) Advice() string {
	return "wait until the relay has caught up; if the error persists the writer has lost changes: promote the relay with the latest revision"
}

// UnreachableError reports that no relay answers. The accepted settings stay in force.
type UnreachableError struct {
	Tried int   // number of failed relays
	Last  error // of the relay that was tried last
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("settings: none of %d relays answers; last error: %v", e.Tried, e.Last)
}

// Unwrap returns the last relay's error.
func (e *UnreachableError) Unwrap() error { return e.Last }

// Advice returns the operator's next step.
func (e *UnreachableError) Advice() string {
	return "the last accepted settings stay in force; check that the relays run and are reachable from this host"
}

// FullError reports that a relay already serves its maximum number of subscribers.
type FullError struct{ Limit int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("settings: this relay already serves its maximum of %d subscribers", e.Limit)
}

// Advice returns the operator's next step.
func (e *FullError) Advice() string {
	return "no action is needed, because subscribers use the next relay; if all relays are full, add relays or raise relay.subscribers"
}
