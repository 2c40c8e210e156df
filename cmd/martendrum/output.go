package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"martendrum/internal/fleet/control/client"
)

// progress draws a bar of its own on a terminal, one line an event otherwise.
func progress(g *global) func(client.Event) {
	st, err := os.Stderr.Stat()
	terminal := err == nil && st.Mode()&os.ModeCharDevice != 0 && !g.json
	lines := json.NewEncoder(os.Stderr)
	return func(e client.Event) {
		if g.json {
			lines.Encode(e)
			return
		}
		text := strings.TrimSpace(strings.Join([]string{e.Kind, e.Host, e.Instance, e.Step, e.Text}, " "))
		if terminal {
			width := 24
			fill := 0
			if e.Of > 0 {
				fill = width * e.Done / e.Of
			}
			fmt.Fprintf(os.Stderr, "\r\x1b[K[%s%s] %d/%d  %.100s", strings.Repeat("#", fill), strings.Repeat(".", width-fill), e.Done, e.Of, text)
			if e.Kind == "failed" || e.Kind == "silent" || e.Kind == "note" {
				fmt.Fprintln(os.Stderr)
			}
			return
		}
		fmt.Fprintf(os.Stderr, "%s %d/%d %s\n", e.At.Format(time.RFC3339), e.Done, e.Of, text)
	}
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func shortHash(hash string) string { return hash[:min(12, len(hash))] }

func age(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return time.Since(t).Truncate(time.Second).String()
}
