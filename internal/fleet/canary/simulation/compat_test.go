package simulation

import (
	"encoding/json"
	"testing"

	"martendrum/internal/goldentest"
)

// A Result with a value in every field has the same JSON form as in an earlier build.
// `martendrum judge trial` prints Results as JSON.
func TestRowOfEarlierBuild(t *testing.T) {
	var row Result
	goldentest.Fill(&row)
	text, err := json.Marshal(row)
	if err != nil {
		t.Fatalf("Marshal: %v", err)
	}
	goldentest.Compare(t, "row.json", text)
}
