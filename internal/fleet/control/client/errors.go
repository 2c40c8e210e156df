package client

import "fmt"

// UnknownHostError reports a host that is not in the inventory.
type UnknownHostError struct {
	Host      string
	Operation string // the operation with targets on the host; "" if the caller named the host itself
}

// Error implements error.
func (e *UnknownHostError) Error() string {
	if e.Operation != "" {
		return fmt.Sprintf("host %s of operation %s is not in the inventory", e.Host, e.Operation)
	}
	return fmt.Sprintf("host %s is not in the inventory", e.Host)
}

// Advice says what an operator can do.
func (e *UnknownHostError) Advice() string {
	return "add the host to the inventory, or name the right inventory with --fleet"
}

// OperationEndedError reports an operation that can't be resumed because it is closed at all hosts.
type OperationEndedError struct {
	Operation string
	Result    string
}

// Error implements error.
func (e *OperationEndedError) Error() string {
	return fmt.Sprintf("operation %s has ended at all hosts: %s; see `martendrum report %s`", e.Operation, e.Result, e.Operation)
}

// Advice says what an operator can do.
func (e *OperationEndedError) Advice() string {
	return "read its report, and start a new operation for the instances that are left"
}

// OperationAbortingError reports an operation that can't be resumed because a host is aborting it.
type OperationAbortingError struct {
	Operation string
	Host      string
}

// Error implements error.
func (e *OperationAbortingError) Error() string {
	return fmt.Sprintf("operation %s is being aborted at host %s", e.Operation, e.Host)
}

// Advice says what an operator can do.
func (e *OperationAbortingError) Advice() string {
	return "wait until its running steps have finished, then read its report"
}
