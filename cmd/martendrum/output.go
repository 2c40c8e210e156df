package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"martendrum/internal/fleet/control/client"
)

// barWidth is the width of the progress bar in characters.
const barWidth = 24

// progress returns a function that prints the events of an operation to standard error: as JSON
// lines with --json, as a progress bar on a terminal, and otherwise as one line each.
func progress(g *globalFlags) func(client.Event) {
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0 && !g.json
	encoder := json.NewEncoder(os.Stderr)
	return func(e client.Event) {
		if g.json {
			encoder.Encode(e)
			return
		}
		text := strings.TrimSpace(strings.Join([]string{e.Kind, e.Host, e.Instance, e.Step, e.Text}, " "))
		if terminal {
			fill := 0
			if e.Of > 0 {
				fill = barWidth * e.Done / e.Of
			}
			fmt.Fprintf(os.Stderr, "\r\x1b[K[%s%s] %d/%d  %.100s", strings.Repeat("#", fill), strings.Repeat(".", barWidth-fill), e.Done, e.Of, text)
			if e.Kind == client.EventFailed || e.Kind == client.EventSilent || e.Kind == client.EventNote {
				fmt.Fprintln(os.Stderr)
			}
			return
		}
		fmt.Fprintf(os.Stderr, "%s %d/%d %s\n", e.At.Format(time.RFC3339), e.Done, e.Of, text)
	}
}

// printJSON prints a value to standard output as indented JSON.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// shortHash returns the first 12 characters of a release's hash, or all of a shorter one.
func shortHash(hash string) string { return hash[:min(12, len(hash))] }

// age returns the time since t in whole seconds, "-" for the zero time.
func age(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return time.Since(t).Truncate(time.Second).String()
}
