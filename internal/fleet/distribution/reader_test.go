package distribution

import (
	"fmt"
	"slices"
	"testing"
)

// pagesOf returns the pages of a complete snapshot, one resource each.
func pagesOf(t *testing.T, log *State, interest *Interest) []Update {
	t.Helper()
	reader := NewReader(testLimits())
	var pages []Update
	for {
		query := reader.Query(Revision{}, interest)
		query.Bytes = 1
		page, err := log.Read(query)
		if err != nil {
			t.Fatal(err)
		}
		stored := page
		stored.Resources = slices.Clone(page.Resources)
		pages = append(pages, stored)
		if complete, err := reader.Take(page); err != nil || complete != nil {
			return pages
		}
	}
}

func snapshotLog(t *testing.T) *State {
	log := newLog(testLimits())
	for n := range 4 {
		publish(t, log, put(fmt.Sprintf("r%d", n), "x", content(n)))
	}
	return log
}

// A late page, received after the reader restarted, is not accepted as the next one.
func TestReaderIgnoresPageThatSkips(t *testing.T) {
	log := snapshotLog(t)
	interest := interestIn("h", "x")
	pages := pagesOf(t, log, &interest)
	reader := NewReader(testLimits())
	for _, n := range []int{0, 2} {
		if complete, err := reader.Take(pages[n]); complete != nil || err != nil {
			t.Fatalf("page %d: %v, %v", n, complete, err)
		}
	}
	if complete, err := reader.Take(pages[3]); complete != nil || err != nil {
		t.Fatalf("the last page: %+v, %v", complete, err)
	}
	replica := NewReplica(interest)
	complete := readComplete(t, log, reader, replica.Revision(), &interest, 1, nil)
	if _, err := replica.Take(complete); err != nil {
		t.Fatal(err)
	}
	requireReplica(t, log, replica, interest)
}

// The last page of a snapshot alone is no snapshot.
func TestReaderIgnoresLastPageAfterReset(t *testing.T) {
	log := snapshotLog(t)
	pages := pagesOf(t, log, nil)
	reader := NewReader(testLimits())
	if complete, err := reader.Take(pages[len(pages)-1]); complete != nil || err != nil {
		t.Fatalf("%+v, %v", complete, err)
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
			got, err := reader.Take(page)
			if err != nil {
				t.Fatal(err)
			}
			if got != nil && complete == nil {
				complete = got
			}
		}
	}
	if complete == nil {
		t.Fatal("the update was never complete")
	}
	if _, err := replica.Take(*complete); err != nil {
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
			_, err = reader.Take(page)
		}
		if !isLimit(err) {
			t.Errorf("%s: %v", name, err)
		}
		if query := reader.Query(Revision{}, nil); !query.Began.IsZero() || !query.After.IsZero() {
			t.Errorf("%s: the pages are not forgotten: %+v", name, query)
		}
	}
}

func TestReaderRestartsAfterCompaction(t *testing.T) {
	log := newLog(Limits{Resources: 20, History: 4})
	interest := interestIn("h", "x")
	for n := range 8 {
		publish(t, log, put(fmt.Sprintf("r%d", n), "x", content(n)))
	}
	replica, rounds := NewReplica(interest), 0
	complete := readComplete(t, log, NewReader(testLimits()), Revision{}, &interest, 1, func() {
		if rounds++; rounds <= 3 {
			publish(t, log, remove(fmt.Sprintf("r%d", rounds)))
			publish(t, log, put("r0", "x", content(10+rounds)))
		}
	})
	if _, err := replica.Take(complete); err != nil {
		t.Fatal(err)
	}
	requireReplica(t, log, replica, interest)
}

// A history longer than the number of resources can hold more names than there are resources.
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
			t.Errorf("%d resources, %d changes", len(complete.Resources), len(complete.Changes))
		}
	}
}
