// Command knownred runs go test and tolerates the failure of the tests that KNOWN-RED.txt names:
// tests that fail because of a real fault that has not been fixed yet. It runs these tests
// separately and prints their results; only the failure of another test makes the command fail. It
// rejects a KNOWN-RED.txt that is not in this format:
//
//	PACKAGE TEST: cause; issue N
//
// Each line names a different test. There are at most maxKnownFailures lines, not counting empty
// ones. If the file does not exist, there are no known failures.
//
//	go run ./internal/ci/knownred [flags of go test] PACKAGES
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	fileName         = "KNOWN-RED.txt"
	maxKnownFailures = 3
)

// knownFailure is a test that is known to fail: one line of KNOWN-RED.txt.
type knownFailure struct{ pkg, test, cause, issue string }

// FormatError says why KNOWN-RED.txt is invalid.
type FormatError struct {
	Line   int // counted from 1; 0: the file as a whole
	Reason string
}

// Error implements error.
func (e *FormatError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", fileName, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", fileName, e.Line, e.Reason)
}

// Advice returns what a maintainer can do about the error.
func (e *FormatError) Advice() string {
	return fmt.Sprintf("write each line as «PACKAGE TEST: cause; issue N», at most %d lines, or fix the test and remove its line", maxKnownFailures)
}

// linePattern matches a line of KNOWN-RED.txt: package, test, cause and issue.
var linePattern = regexp.MustCompile(`^(\S+) (Test[A-Z0-9_]\w*): (\S.*); issue (\d+)$`)

// parse returns the known failures of KNOWN-RED.txt, given its text. It returns a *FormatError if
// the text is invalid.
func parse(text string) (failures []knownFailure, err error) {
	for index, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		match := linePattern.FindStringSubmatch(line)
		if match == nil {
			return nil, &FormatError{index + 1, "the line is not of the form «PACKAGE TEST: cause; issue N»"}
		}
		failure := knownFailure{match[1], match[2], match[3], match[4]}
		if slices.ContainsFunc(failures, func(other knownFailure) bool { return other.pkg == failure.pkg && other.test == failure.test }) {
			return nil, &FormatError{index + 1, failure.test + " is named twice"}
		}
		failures = append(failures, failure)
	}
	if len(failures) > maxKnownFailures {
		return nil, &FormatError{0, fmt.Sprintf("it names %d tests, at most %d are allowed", len(failures), maxKnownFailures)}
	}
	return failures, nil
}

// goCommand runs the go command with arguments. Its standard output goes to out, or to the terminal
// if out is nil.
type goCommand func(out *strings.Builder, args ...string) error

// run tests the packages in args, which are flags of go test followed by packages. It leaves out
// the known failures in text, the content of KNOWN-RED.txt, then runs each of them separately and
// reports its result to w. It returns a *FormatError if text is invalid or names a package or test
// that does not exist, and otherwise an error only if another test fails or if the go command
// cannot list packages or tests.
func run(text string, args []string, runGo goCommand, w io.Writer) error {
	failures, err := parse(text)
	if err != nil {
		return err
	}
	firstPackage := slices.IndexFunc(args, func(arg string) bool { return !strings.HasPrefix(arg, "-") })
	if firstPackage < 0 {
		return errors.New("knownred: no packages given; name them after the flags")
	}
	flags := args[:firstPackage]
	var out strings.Builder
	if err := runGo(&out, append([]string{"list"}, args[firstPackage:]...)...); err != nil {
		return fmt.Errorf("knownred: go list: %w", err)
	}
	packages := strings.Fields(out.String())
	skippedTests := make(map[string][]string) // by package
	for _, failure := range failures {
		if !slices.Contains(packages, failure.pkg) {
			return &FormatError{0, "no package under test is named " + failure.pkg}
		}
		out.Reset()
		if err := runGo(&out, "test", "-list", "^"+failure.test+"$", failure.pkg); err != nil {
			return fmt.Errorf("knownred: go test -list: %w", err)
		}
		if !slices.Contains(strings.Fields(out.String()), failure.test) {
			return &FormatError{0, fmt.Sprintf("%s has no test %s", failure.pkg, failure.test)}
		}
		skippedTests[failure.pkg] = append(skippedTests[failure.pkg], failure.test)
	}
	goTest := func(more ...string) error {
		return runGo(nil, slices.Concat([]string{"test"}, flags, more)...)
	}
	otherPackages := slices.DeleteFunc(packages, func(pkg string) bool { return skippedTests[pkg] != nil })
	var testErrors []error
	if len(otherPackages) > 0 {
		testErrors = append(testErrors, goTest(otherPackages...))
	}
	for pkg, tests := range skippedTests {
		testErrors = append(testErrors, goTest("-skip", "^("+strings.Join(tests, "|")+")$", pkg))
	}
	for _, failure := range failures {
		fmt.Fprintf(w, "known failure: %s %s: %s (issue %s)\n", failure.pkg, failure.test, failure.cause, failure.issue)
		if err := goTest("-run", "^"+failure.test+"$", failure.pkg); err != nil {
			fmt.Fprintf(w, "known failure: %s still fails\n", failure.test)
		} else {
			fmt.Fprintf(w, "known failure: %s PASSES: make sure that it does so reliably, then remove its line from KNOWN-RED.txt\n", failure.test)
		}
	}
	return errors.Join(testErrors...)
}

func main() {
	text, err := os.ReadFile(fileName)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err == nil {
		err = run(string(text), os.Args[1:], runGoTool, os.Stdout)
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if formatError, ok := errors.AsType[*FormatError](err); ok {
		fmt.Fprintln(os.Stderr, formatError.Advice())
	}
	os.Exit(1)
}

// runGoTool is the goCommand that runs the installed go command.
func runGoTool(out *strings.Builder, args ...string) error {
	command := exec.Command("go", args...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	if out != nil {
		command.Stdout = out
	}
	return command.Run()
}
