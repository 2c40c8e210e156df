package main

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// fakeGo stands in for the go command. It lists two packages with three tests in all, and records
// the test runs.
type fakeGo struct {
	runs        []string // the arguments of each run of tests, joined by spaces
	failingTest string   // the test that fails if a run selects it alone; empty: none
}

// errTests is the error of a run in which a test failed.
var errTests = errors.New("tests failed")

// run implements goCommand.
func (g *fakeGo) run(out *strings.Builder, args ...string) error {
	switch {
	case args[0] == "list":
		out.WriteString("p/a\np/b\n")
		return nil
	case args[1] == "-list":
		out.WriteString(map[string]string{"p/a": "TestOne\nTestTwo\n", "p/b": "TestOne\n"}[args[3]] + "ok\n")
		return nil
	}
	g.runs = append(g.runs, strings.Join(args, " "))
	if g.failingTest != "" && slices.Contains(args, "^"+g.failingTest+"$") {
		return errTests
	}
	return nil
}

// run leaves exactly the named tests out of the tests of their packages, runs them separately and
// reports their results. If one of them fails, run still succeeds.
func TestKnownFailuresRunSeparately(t *testing.T) {
	for _, failingTest := range []string{"TestOne", ""} {
		fake := &fakeGo{failingTest: failingTest}
		var report strings.Builder
		if err := run("p/a TestOne: the pool leaks; issue 7\n\n", []string{"-race", "-short", "./..."}, fake.run, &report); err != nil {
			t.Errorf("run with the failing test %q: %v", failingTest, err)
		}
		want := []string{"test -race -short p/b", "test -race -short -skip ^(TestOne)$ p/a", "test -race -short -run ^TestOne$ p/a"}
		if !slices.Equal(fake.runs, want) {
			t.Errorf("runs with the failing test %q: got %q, want %q", failingTest, fake.runs, want)
		}
		outcome := "PASSES"
		if failingTest != "" {
			outcome = "still fails"
		}
		if got := report.String(); !strings.Contains(got, outcome) || !strings.Contains(got, "the pool leaks") || !strings.Contains(got, "issue 7") {
			t.Errorf("report with the failing test %q: got %q, want it to contain the cause, the issue and %q", failingTest, got, outcome)
		}
	}
}

// Without known failures run tests all packages together. With or without them, it fails if another
// test fails.
func TestOtherFailuresAreErrors(t *testing.T) {
	fake := &fakeGo{}
	if err := run("", []string{"-race", "./..."}, fake.run, new(strings.Builder)); err != nil || !slices.Equal(fake.runs, []string{"test -race p/a p/b"}) {
		t.Errorf("run without known failures: got the runs %q and error %v, want one run of both packages and no error", fake.runs, err)
	}
	failInB := func(out *strings.Builder, args ...string) error {
		if out == nil && slices.Contains(args, "p/b") {
			return errTests
		}
		return fake.run(out, args...)
	}
	for _, text := range []string{"", "p/a TestOne: it leaks; issue 7"} {
		if err := run(text, []string{"./..."}, failInB, new(strings.Builder)); !errors.Is(err, errTests) {
			t.Errorf("run with the known failures %q and another failing test: got error %v, want %v", text, err, errTests)
		}
	}
}

// run rejects a KNOWN-RED.txt that is malformed, or that names a package or test that does not
// exist, before it runs any test.
func TestInvalidFilesAreRejected(t *testing.T) {
	line := func(test string) string { return "p/a " + test + ": it leaks; issue 7\n" }
	for name, text := range map[string]string{
		"four tests":         line("TestOne") + line("TestTwo") + "p/b TestOne: x; issue 1\n" + line("TestThree"),
		"a test named twice": line("TestOne") + line("TestOne"),
		"no cause":           "p/a TestOne: ; issue 7",
		"no issue":           "p/a TestOne: it leaks",
		"no package":         "TestOne: it leaks; issue 7",
		"a pattern":          "p/a Test.*: it leaks; issue 7",
		"a subtest":          "p/a TestOne/sub: it leaks; issue 7",
		"an unknown test":    line("TestNever"),
		"an unknown package": "p/c TestOne: it leaks; issue 7",
	} {
		fake := &fakeGo{}
		err := run(text, []string{"./..."}, fake.run, new(strings.Builder))
		if formatError, ok := errors.AsType[*FormatError](err); !ok || formatError.Advice() == "" || len(fake.runs) > 0 {
			t.Errorf("run with %s: got error %v after the runs %q, want a *FormatError with advice and no run", name, err, fake.runs)
		}
	}
}
