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
		t.Errorf("revisions sorted by Compare: %v, want %v", have, want)
	}
	if !want[4].After(want[3]) || want[3].After(want[3]) || !want[0].IsZero() || want[1].IsZero() {
		t.Error("After or IsZero is wrong for one of the revisions 2.3, 1.9, 0.7 and 0.0")
	}
}

func TestParseRevision(t *testing.T) {
	if revision, err := ParseRevision("3.14"); err != nil || revision != (Revision{3, 14}) {
		t.Errorf("ParseRevision(\"3.14\") = %v, %v; want 3.14", revision, err)
	}
	for _, text := range []string{"", "3", "3.", ".3", "3.1.4", "-3.1", "3.-1", "3.x", " 3.1", "+3.1", "03.1"} {
		if _, err := ParseRevision(text); !isInvalid(err) {
			t.Errorf("ParseRevision(%q): got error %v, want an InvalidError", text, err)
		}
	}
}
