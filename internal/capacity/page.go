package capacity

import (
	"fmt"
	"strings"
)

// The markers around a table of the page.
const (
	markerBegin    = "<!-- table: "
	markerBeginEnd = " -->"
	markerEnd      = "<!-- end table -->"
)

// PageError is an error in the page, with its place.
type PageError struct {
	Line int // from 1; 0: the complete page
	What string
}

// Error implements error.
func (e *PageError) Error() string {
	if e.Line == 0 {
		return "capacity: the page: " + e.What
	}
	return fmt.Sprintf("capacity: the page, line %d: %s", e.Line, e.What)
}

// Advice returns what a maintainer can do.
func (e *PageError) Advice() string {
	return "write the tables with `go run ./internal/capacity/tables`, and change results only by measuring"
}

// Fill writes the tables into a page, between their markers. It fails where a marker has no
// table, and where a measurement has none on the page.
func Fill(page string, tables *Tables) (string, error) {
	var out strings.Builder
	shown := make(map[string]bool)
	inside, number := 0, 0 // the line of the marker whose table is being replaced; the line
	for line := range strings.Lines(page) {
		number++
		name, begins := markedTable(line)
		ends := strings.TrimSpace(line) == markerEnd
		switch {
		case begins && inside > 0:
			return "", &PageError{number, fmt.Sprintf("a table begins within that of line %d", inside)}
		case ends && inside == 0:
			return "", &PageError{number, "a table ends that has not begun"}
		case begins:
			table, err := tables.Make(name)
			if err != nil {
				return "", err
			}
			inside, shown[name] = number, true
			out.WriteString(line + "\n" + table + "\n")
		case ends:
			inside = 0
			out.WriteString(line)
		case inside == 0:
			out.WriteString(line)
		}
	}
	if inside > 0 {
		return "", &PageError{inside, "a table without end"}
	}
	return out.String(), allShown(shown)
}

// markedTable returns the name of the table that a marker line begins.
func markedTable(line string) (name string, begins bool) {
	rest, begins := strings.CutPrefix(strings.TrimSpace(line), markerBegin)
	if !begins {
		return "", false
	}
	return strings.CutSuffix(rest, markerBeginEnd)
}

// allShown returns an error if a measurement is missing on the page.
func allShown(shown map[string]bool) error {
	for _, measurement := range Measurements {
		for _, kind := range []string{"raw ", "fits "} {
			if !shown[kind+measurement.Name] {
				return &PageError{0, fmt.Sprintf("it lacks the table %q", kind+measurement.Name)}
			}
		}
	}
	return nil
}

// Check fails if the page's tables are not those of the results.
func Check(page string, tables *Tables) error {
	filled, err := Fill(page, tables)
	if err != nil {
		return err
	}
	if filled == page {
		return nil
	}
	is, should := strings.Split(page, "\n"), strings.Split(filled, "\n")
	for number := range is {
		if number >= len(should) || is[number] != should[number] {
			return &PageError{number + 1, fmt.Sprintf("it differs from the data: %q", is[number])}
		}
	}
	return &PageError{len(is), "it ends before its tables do"}
}
