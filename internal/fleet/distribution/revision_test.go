package distribution

import (
	"slices"
	"testing"
)

func TestRevisionsAreOrderedByEpochFirst(t *testing.T) {
	want := []Revision{{}, {0, 7}, {1, 0}, {1, 9}, {2, 3}}
	have := slices.Clone(want)
	slices.Reverse(have)
	slices.SortFunc(have, Revision.Compare)
	if !slices.Equal(have, want) {
		t.Errorf("%v", have)
	}
	if !want[4].After(want[3]) || want[3].After(want[3]) || !want[0].IsZero() || want[1].IsZero() {
		t.Error("After, IsZero")
	}
}

func TestParseRevision(t *testing.T) {
	if revision, err := ParseRevision("3.14"); err != nil || revision != (Revision{3, 14}) {
		t.Errorf("%v, %v", revision, err)
	}
	for _, text := range []string{"", "3", "3.", ".3", "3.1.4", "-3.1", "3.-1", "3.x", " 3.1", "+3.1", "03.1"} {
		if _, err := ParseRevision(text); !isInvalid(err) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
