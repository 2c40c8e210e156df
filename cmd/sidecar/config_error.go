package main

// ConfigError is an invalid or missing part of the configuration: of the file, the environment,
// or an address in them that can't be listened on. It has a Problem or a Cause.
type ConfigError struct {
	Field   string // a path in the file or an environment variable; empty: the cause names it
	Problem string // what is wrong with the field
	Cause   error
	Do      string // what an operator can do
}

// Error implements error.
func (e *ConfigError) Error() string {
	switch {
	case e.Cause == nil:
		return e.Field + " " + e.Problem
	case e.Field == "":
		return e.Cause.Error()
	}
	return e.Field + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Cause }

// Advice says what an operator can do.
func (e *ConfigError) Advice() string { return e.Do }
