// Command knownred runs the tests but for those that KNOWN-RED.txt names: tests that fail
// for a real fault which is not mended yet. These it runs apart, prints how they went, and
// lets fail. It owns that file's form, and refuses a file that is not in it:
//
//	PACKAGE TEST: cause; issue N
//
// Each line names a test of its own, maxRed lines at most; empty lines don't count. A file
// that is not there names none.
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
	file   = "KNOWN-RED.txt"
	maxRed = 3
)

// red is one test that is known to fail.
type red struct{ pkg, test, cause, issue string }

// FormError says that the file is not in its form.
type FormError struct {
	Line int // from 1; 0: the complete file
	What string
}

// Error implements error.
func (e *FormError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", file, e.What)
	}
	return fmt.Sprintf("%s:%d: %s", file, e.Line, e.What)
}

// Advice says what to do.
func (e *FormError) Advice() string {
	return fmt.Sprintf("write each line as «PACKAGE TEST: cause; issue N», %d lines at most, or mend the test and drop its line", maxRed)
}

var form = regexp.MustCompile(`^(\S+) (Test[A-Z0-9_]\w*): (\S.*); issue (\d+)$`)

// parse reads the file's text.
func parse(text string) (list []red, err error) {
	for n, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, &FormError{n + 1, "not «PACKAGE TEST: cause; issue N»"}
		}
		r := red{m[1], m[2], m[3], m[4]}
		if slices.ContainsFunc(list, func(o red) bool { return o.pkg == r.pkg && o.test == r.test }) {
			return nil, &FormError{n + 1, r.test + " is named twice"}
		}
		list = append(list, r)
	}
	if len(list) > maxRed {
		return nil, &FormError{0, fmt.Sprintf("%d tests are known red; %d at most may be", len(list), maxRed)}
	}
	return list, nil
}

// tool runs the go command: its output goes to out, nil for what a person should see.
type tool func(out *strings.Builder, args ...string) error

// run runs the tests of args, flags and then packages, but for the red ones, then those
// apart. The error is about the others only.
func run(text string, args []string, do tool, w io.Writer) error {
	list, err := parse(text)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(args, func(a string) bool { return !strings.HasPrefix(a, "-") })
	if at < 0 {
		return errors.New("knownred: no packages are named")
	}
	flags := args[:at]
	var out strings.Builder
	if err := do(&out, append([]string{"list"}, args[at:]...)...); err != nil {
		return fmt.Errorf("knownred: go list: %w", err)
	}
	packages := strings.Fields(out.String())
	skip := make(map[string][]string)
	for _, r := range list {
		if !slices.Contains(packages, r.pkg) {
			return &FormError{0, "there is no package " + r.pkg}
		}
		out.Reset()
		if err := do(&out, "test", "-list", "^"+r.test+"$", r.pkg); err != nil {
			return fmt.Errorf("knownred: go test -list: %w", err)
		}
		if !slices.Contains(strings.Fields(out.String()), r.test) {
			return &FormError{0, fmt.Sprintf("%s has no test %s", r.pkg, r.test)}
		}
		skip[r.pkg] = append(skip[r.pkg], r.test)
	}
	test := func(more ...string) error {
		return do(nil, slices.Concat([]string{"test"}, flags, more)...)
	}
	others := slices.DeleteFunc(packages, func(p string) bool { return skip[p] != nil })
	var failed []error
	if len(others) > 0 {
		failed = append(failed, test(others...))
	}
	for pkg, tests := range skip {
		failed = append(failed, test("-skip", "^("+strings.Join(tests, "|")+")$", pkg))
	}
	for _, r := range list {
		fmt.Fprintf(w, "known red: %s %s: %s (issue %s)\n", r.pkg, r.test, r.cause, r.issue)
		if err := test("-run", "^"+r.test+"$", r.pkg); err != nil {
			fmt.Fprintf(w, "known red: %s fails still\n", r.test)
		} else {
			fmt.Fprintf(w, "known red: %s PASSES: see that it does so for good, and drop its line\n", r.test)
		}
	}
	return errors.Join(failed...)
}

func main() {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	if err == nil {
		err = run(string(text), os.Args[1:], goTool, os.Stdout)
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if form, ok := errors.AsType[*FormError](err); ok {
		fmt.Fprintln(os.Stderr, form.Advice())
	}
	os.Exit(1)
}

func goTool(out *strings.Builder, args ...string) error {
	c := exec.Command("go", args...)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	if out != nil {
		c.Stdout = out
	}
	return c.Run()
}
