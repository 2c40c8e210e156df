package distribution

import (
	"slices"
	"testing"
)

func TestRevisionsAreOrderedByEpochFirst(t *testing.T) {
	want := []Revision{{}, {0, 7}, {1, 0}, {1, 9}, {2, 3}}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, Revision.Compare)
	if !slices.Equal(got, want) {
		t.Errorf("revisions sorted by Compare: got %v, want %v", got, want)
	}
	if !want[4].After(want[3]) || want[3].After(want[3]) || !want[0].IsZero() || want[1].IsZero() {
		t.Errorf("2.3 after 1.9, 1.9 after 1.9, 0.0 is zero, 0.7 is zero: got %v, %v, %v, %v; want true, false, true, false",
			want[4].After(want[3]), want[3].After(want[3]), want[0].IsZero(), want[1].IsZero())
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
