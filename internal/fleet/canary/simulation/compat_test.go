package simulation

import (
	"encoding/json"
	"testing"

	"martendrum/internal/goldentest"
)

// A row of a trial, with a value in every field, has the JSON form of an earlier build.
func TestRowOfEarlierBuild(t *testing.T) {
	var row Result
	goldentest.Fill(&row)
	text, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "row.json", text)
}
