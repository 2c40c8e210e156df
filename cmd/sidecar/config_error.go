package main

// ConfigError is an invalid or missing part of the configuration: a field of the file, an environment
// variable, or an address that can't be listened on. It has either a Problem or a Cause.
type ConfigError struct {
	Field   string // path in the file, or name of an environment variable; empty: the cause names it
	Problem string // what is wrong with the field
	Cause   error  // error of the call that failed on the field
	Remedy  string // what an operator can do
}

// Error returns the field and what is wrong with it.
func (e *ConfigError) Error() string {
	switch {
	case e.Cause == nil:
		return e.Field + " " + e.Problem
	case e.Field == "":
		return e.Cause.Error()
	}
	return e.Field + ": " + e.Cause.Error()
}

// Unwrap returns the cause, nil if there is only a problem.
func (e *ConfigError) Unwrap() error { return e.Cause }

// Advice returns what an operator can do about the error.
func (e *ConfigError) Advice() string { return e.Remedy }
