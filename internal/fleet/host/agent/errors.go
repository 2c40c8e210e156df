package agent

import "fmt"

// ConfigError reports a configuration that was read and is not valid.
type ConfigError struct {
	Path string // of the configuration
	Err  error  // names the key or the instance
}

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string {
	return fmt.Sprintf("correct the key that is named, then run `martendrum agent --check --config %s`", e.Path)
}

// StartError reports an agent that could not start. The sidecars of the host are untouched.
type StartError struct {
	Agent string
	Err   error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("agent %s: %v", e.Agent, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *StartError) Advice() string {
	return "remove the cause and start the agent again; running sidecars serve on and are found again"
}

// StateDirInUseError reports a state folder that another agent has locked.
type StateDirInUseError struct {
	Lock string // the lock's path
	Err  error
}

// Error implements error.
func (e *StateDirInUseError) Error() string {
	return fmt.Sprintf("%s: another agent uses this state_dir: %v", e.Lock, e.Err)
}

// Unwrap returns the cause.
func (e *StateDirInUseError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *StateDirInUseError) Advice() string {
	return "stop the other agent, or give this one a state_dir of its own"
}

// RemovedInstanceError reports an instance that was removed from the configuration while its
// process runs.
type RemovedInstanceError struct {
	Instance string
	PID      int
}

// Error implements error.
func (e *RemovedInstanceError) Error() string {
	return fmt.Sprintf("instance %s is not in the configuration any more and its process %d runs: stop it before it is taken out", e.Instance, e.PID)
}

// Advice says what an operator can do.
func (e *RemovedInstanceError) Advice() string {
	return fmt.Sprintf("put the instance back, run `martendrum stop --instance %s`, then remove it", e.Instance)
}

// ListenError reports an address at which the agent can't listen.
type ListenError struct {
	Agent string
	Err   error // names the address
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("agent %s: listen: %v", e.Agent, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListenError) Advice() string {
	return "look at what listens there and at the rights to the address, or change it in [listen]"
}
