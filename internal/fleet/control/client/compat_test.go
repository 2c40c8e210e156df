package client

import (
	"bytes"
	"encoding/json"
	"testing"

	"martendrum/internal/goldentest"
)

// What commands print as JSON, with a value in every field, has the form of an earlier build.
func TestReportsOfEarlierBuild(t *testing.T) {
	var lines bytes.Buffer
	for _, v := range []any{&Report{}, &HostState{}, &Event{}} {
		goldentest.Fill(v)
		if err := json.NewEncoder(&lines).Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "reports.jsonl", lines.Bytes())
}
