package client

import (
	"bytes"
	"encoding/json"
	"testing"

	"martendrum/internal/goldentest"
)

// TestReportsOfEarlierBuild checks that what the commands print as JSON, with a value in every field,
// has the same form as in an earlier build.
func TestReportsOfEarlierBuild(t *testing.T) {
	var lines bytes.Buffer
	for _, report := range []any{&Report{}, &HostState{}, &Event{}} {
		goldentest.Fill(report)
		if err := json.NewEncoder(&lines).Encode(report); err != nil {
			t.Fatalf("encoding %T: %v", report, err)
		}
	}
	goldentest.Compare(t, "reports.jsonl", lines.Bytes())
}
