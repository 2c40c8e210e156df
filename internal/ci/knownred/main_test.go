package main

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// gone stands in for the go command: it knows some tests, of which some fail.
type gone struct {
	ran   []string
	fails string // the test whose run fails; empty: none
}

var errTests = errors.New("tests failed")

func (g *gone) do(out *strings.Builder, args ...string) error {
	switch {
	case args[0] == "list":
		out.WriteString("p/a\np/b\n")
		return nil
	case args[1] == "-list":
		out.WriteString(map[string]string{"p/a": "TestOne\nTestTwo\n", "p/b": "TestOne\n"}[args[3]] + "ok\n")
		return nil
	}
	g.ran = append(g.ran, strings.Join(args, " "))
	if g.fails != "" && slices.Contains(args, "^"+g.fails+"$") {
		return errTests
	}
	return nil
}

// Exactly the tests that are named are left out of the run that counts, each of its own
// package, and are run apart, whose failing does no harm.
func TestNamedTestsRunApart(t *testing.T) {
	for _, fails := range []string{"TestOne", ""} {
		g := &gone{fails: fails}
		var said strings.Builder
		if err := run("p/a TestOne: the pool leaks; issue 7\n\n", []string{"-race", "-short", "./..."}, g.do, &said); err != nil {
			t.Errorf("fails %q: %v", fails, err)
		}
		want := []string{"test -race -short p/b", "test -race -short -skip ^(TestOne)$ p/a", "test -race -short -run ^TestOne$ p/a"}
		if !slices.Equal(g.ran, want) {
			t.Errorf("ran %q, want %q", g.ran, want)
		}
		word := "PASSES"
		if fails != "" {
			word = "fails still"
		}
		if got := said.String(); !strings.Contains(got, word) || !strings.Contains(got, "the pool leaks") || !strings.Contains(got, "issue 7") {
			t.Errorf("fails %q: it says %q", fails, got)
		}
	}
}

// Without the file all tests count, and one that fails is an error.
func TestOthersCount(t *testing.T) {
	g := &gone{}
	if err := run("", []string{"-race", "./..."}, g.do, new(strings.Builder)); err != nil || !slices.Equal(g.ran, []string{"test -race p/a p/b"}) {
		t.Errorf("ran %q, %v", g.ran, err)
	}
	broken := func(out *strings.Builder, args ...string) error {
		if out == nil && slices.Contains(args, "p/b") {
			return errTests
		}
		return g.do(out, args...)
	}
	for _, text := range []string{"", "p/a TestOne: it leaks; issue 7"} {
		if err := run(text, []string{"./..."}, broken, new(strings.Builder)); !errors.Is(err, errTests) {
			t.Errorf("%q: a failing test gave %v", text, err)
		}
	}
}

// A file that is not in its form, or names what there is not, is refused before any test.
func TestWrongFilesAreRefused(t *testing.T) {
	line := func(test string) string { return "p/a " + test + ": it leaks; issue 7\n" }
	for name, text := range map[string]string{
		"four":       line("TestOne") + line("TestTwo") + "p/b TestOne: x; issue 1\n" + line("TestThree"),
		"twice":      line("TestOne") + line("TestOne"),
		"no cause":   "p/a TestOne: ; issue 7",
		"no issue":   "p/a TestOne: it leaks",
		"no package": "TestOne: it leaks; issue 7",
		"a pattern":  "p/a Test.*: it leaks; issue 7",
		"a subtest":  "p/a TestOne/sub: it leaks; issue 7",
		"not there":  line("TestNever"),
		"elsewhere":  "p/c TestOne: it leaks; issue 7",
	} {
		g := &gone{}
		err := run(text, []string{"./..."}, g.do, new(strings.Builder))
		if form, ok := errors.AsType[*FormError](err); !ok || form.Advice() == "" || len(g.ran) > 0 {
			t.Errorf("%s: %v, after %q", name, err, g.ran)
		}
	}
}
