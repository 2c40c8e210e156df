package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// pagesOf returns the pages of a complete snapshot, with one resource each.
func pagesOf(t *testing.T, log *State, interest *Interest) []Update {
	t.Helper()
	reader := NewReader(testLimits())
	var pages []Update
	for {
		query := reader.Query(Revision{}, interest)
		query.Bytes = 1
		page, err := log.Read(query)
		if err != nil {
			t.Fatalf("State.Read of a page: %v", err)
		}
		copied := page
		copied.Resources = slices.Clone(page.Resources)
		pages = append(pages, copied)
		if complete, err := reader.AddPage(page); err != nil || complete != nil {
			return pages
		}
	}
}

// snapshotLog returns a log with four resources of the service x.
func snapshotLog(t *testing.T) *State {
	log := newLog(testLimits())
	for n := range 4 {
		publish(t, log, put(fmt.Sprintf("r%d", n), "x", content(n)))
	}
	return log
}

// A page that does not follow the previous one is ignored, such as a late page of an update that the
// reader has since discarded.
func TestReaderIgnoresPageAfterGap(t *testing.T) {
	log := snapshotLog(t)
	interest := interestIn("h", "x")
	pages := pagesOf(t, log, &interest)
	reader := NewReader(testLimits())
	for _, n := range []int{0, 2} {
		if complete, err := reader.AddPage(pages[n]); complete != nil || err != nil {
			t.Fatalf("AddPage of page %d = %v, %v; want no update yet", n, complete, err)
		}
	}
	if complete, err := reader.AddPage(pages[3]); complete != nil || err != nil {
		t.Fatalf("AddPage of the last page after a gap = %+v, %v; want no update", complete, err)
	}
	replica := NewReplica(interest)
	complete := readComplete(t, log, reader, replica.Revision(), &interest, 1, nil)
	if _, err := replica.Apply(complete); err != nil {
		t.Fatal(err)
	}
	requireReplica(t, log, replica, interest)
}

// The last page of a snapshot is not accepted without the pages before it.
func TestReaderIgnoresLastPageAfterReset(t *testing.T) {
	log := snapshotLog(t)
	pages := pagesOf(t, log, nil)
	reader := NewReader(testLimits())
	if complete, err := reader.AddPage(pages[len(pages)-1]); complete != nil || err != nil {
		t.Fatalf("AddPage of only the last page = %+v, %v; want no update", complete, err)
	}
}

func TestReaderAcceptsRepeatedPages(t *testing.T) {
	log := snapshotLog(t)
	interest := interestIn("h", "x")
	reader, replica := NewReader(testLimits()), NewReplica(interest)
	var complete *Update
	for _, page := range pagesOf(t, log, &interest) {
		for range 2 {
			page := page
			page.Resources = slices.Clone(page.Resources)
			got, err := reader.AddPage(page)
			if err != nil {
				t.Fatalf("AddPage of a repeated page: %v", err)
			}
			if got != nil && complete == nil {
				complete = got
			}
		}
	}
	if complete == nil {
		t.Fatal("update is not complete after all pages")
	}
	if _, err := replica.Apply(*complete); err != nil {
		t.Fatal(err)
	}
	requireReplica(t, log, replica, interest)
}

func TestReaderBoundsWhatItAssembles(t *testing.T) {
	log := newLog(testLimits())
	for n := range 9 {
		publish(t, log, put(fmt.Sprintf("r%d", n), "x", content(n)))
	}
	limits := Limits{Resources: 2, History: 2}
	for name, bytes := range map[string]int{"pages": 1, "one page": 0} {
		reader := NewReader(limits)
		var err error
		for n := 0; err == nil && n < 10; n++ {
			query := reader.Query(Revision{}, nil)
			query.Bytes = bytes
			page, readErr := log.Read(query)
			if readErr != nil {
				t.Fatal(readErr)
			}
			_, err = reader.AddPage(page)
		}
		if !isLimit(err) {
			t.Errorf("AddPage of more resources than the limits allow (%s): got error %v, want a LimitError", name, err)
		}
		if query := reader.Query(Revision{}, nil); !query.Began.IsZero() || !query.After.IsZero() {
			t.Errorf("next query after a LimitError (%s) = %+v, want the start of a new update", name, query)
		}
	}
}

func TestReaderRestartsAfterCompaction(t *testing.T) {
	log := newLog(Limits{Resources: 20, History: 4})
	interest := interestIn("h", "x")
	for n := range 8 {
		publish(t, log, put(fmt.Sprintf("r%d", n), "x", content(n)))
	}
	replica, pages := NewReplica(interest), 0
	complete := readComplete(t, log, NewReader(testLimits()), Revision{}, &interest, 1, func() {
		if pages++; pages <= 3 {
			publish(t, log, remove(fmt.Sprintf("r%d", pages)))
			publish(t, log, put("r0", "x", content(10+pages)))
		}
	})
	if _, err := replica.Apply(complete); err != nil {
		t.Fatal(err)
	}
	requireReplica(t, log, replica, interest)
}

// A delta can contain more resource names than the limit of resources, because resources that were
// added and removed since are in it too.
func TestReaderAcceptsAllNamesOfTheHistory(t *testing.T) {
	limits := Limits{Resources: 2, History: 50}
	log := newLog(limits)
	publish(t, log, put("first", "x", content(1)))
	held := log.Revision()
	for n := range 20 {
		name := fmt.Sprintf("r%d", n)
		publish(t, log, put(name, "x", content(n)))
		publish(t, log, remove(name))
	}
	for _, bytes := range []int{0, 1} {
		complete := readComplete(t, log, NewReader(limits), held, nil, bytes, nil)
		if len(complete.Resources) != 20 || len(complete.Changes) != 40 {
			t.Errorf("update has %d resources and %d changes, want 20 and 40", len(complete.Resources), len(complete.Changes))
		}
	}
}
