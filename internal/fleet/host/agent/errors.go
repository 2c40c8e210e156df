package agent

import "fmt"

// ConfigError reports a configuration file that could be read but has an invalid value.
type ConfigError struct {
	Path string // of the configuration file
	Err  error  // names the key or the instance
}

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string {
	return fmt.Sprintf("correct the named key, then run `martendrum agent --check --config %s`", e.Path)
}

// StartError reports an agent that could not start. The sidecars of the host are untouched.
type StartError struct {
	Agent string // name of the agent
	Err   error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("agent %s: %v", e.Agent, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *StartError) Advice() string {
	return "fix the cause and start the agent again; running sidecars continue to serve, and the agent adopts them"
}

// StateDirInUseError reports a state folder that another agent has locked.
type StateDirInUseError struct {
	Lock string // path of the lock file
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
	return fmt.Sprintf("instance %s was removed from the configuration, but its process %d still runs: stop an instance before you remove it", e.Instance, e.PID)
}

// Advice says what an operator can do.
func (e *RemovedInstanceError) Advice() string {
	return fmt.Sprintf("put the instance back, run `martendrum stop --instance %s`, then remove it again", e.Instance)
}

// ListenError reports an address at which the agent can't listen.
type ListenError struct {
	Agent string // name of the agent
	Err   error  // names the address
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("agent %s: listen: %v", e.Agent, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListenError) Advice() string {
	return "check whether another process listens at the address and whether the agent may use it, or change the address in [listen]"
}
