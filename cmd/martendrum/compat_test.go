package main

import (
	"bytes"
	"testing"

	"github.com/spf13/cobra"

	"martendrum/internal/goldentest"
)

// TestHelpOfEarlierBuild compares the names, flags and help texts of all commands with those of an
// earlier build.
func TestHelpOfEarlierBuild(t *testing.T) {
	t.Setenv("MARTENDRUM_FLEET", "")
	var out bytes.Buffer
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		c.InitDefaultHelpFlag()
		c.SetOut(&out)
		out.WriteString("=== " + c.CommandPath() + "\n")
		if err := c.Help(); err != nil {
			t.Fatalf("Help() of %s: %v", c.CommandPath(), err)
		}
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	root := newRoot()
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	visit(root)
	goldentest.Compare(t, "help.txt", out.Bytes())
}
