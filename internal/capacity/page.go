package capacity

import (
	"fmt"
	"strings"
)

// The markers in the page that surround a table. The name of the table stands between markerBegin
// and markerBeginEnd.
const (
	markerBegin    = "<!-- table: "
	markerBeginEnd = " -->"
	markerEnd      = "<!-- end table -->"
)

// PageError is an error in the page, with its line.
type PageError struct {
	Line   int // counted from 1; 0: the page as a whole
	Reason string
}

// Error implements error.
func (e *PageError) Error() string {
	if e.Line == 0 {
		return "capacity: page: " + e.Reason
	}
	return fmt.Sprintf("capacity: page, line %d: %s", e.Line, e.Reason)
}

// Advice returns what a maintainer can do about the error.
func (e *PageError) Advice() string {
	return "write the tables with `go run ./internal/capacity/tables`, and change results only by measuring"
}

// Fill returns the page with the current tables between their markers. It returns a *PageError if
// the markers don't match or if the page lacks a table of a measurement, and the error of
// Tables.Make if a table can't be made.
func Fill(page string, tables *Tables) (string, error) {
	var out strings.Builder
	shown := make(map[string]bool)
	openMarkerLine, lineNumber := 0, 0 // openMarkerLine: the line of the marker whose table is being replaced; 0: none
	for line := range strings.Lines(page) {
		lineNumber++
		name, begins := tableName(line)
		ends := strings.TrimSpace(line) == markerEnd
		switch {
		case begins && openMarkerLine > 0:
			return "", &PageError{lineNumber, fmt.Sprintf("a table begins inside the table of line %d", openMarkerLine)}
		case ends && openMarkerLine == 0:
			return "", &PageError{lineNumber, "an end marker without a begin marker"}
		case begins:
			table, err := tables.Make(name)
			if err != nil {
				return "", err
			}
			openMarkerLine, shown[name] = lineNumber, true
			out.WriteString(line + "\n" + table + "\n")
		case ends:
			openMarkerLine = 0
			out.WriteString(line)
		case openMarkerLine == 0:
			out.WriteString(line)
		}
	}
	if openMarkerLine > 0 {
		return "", &PageError{openMarkerLine, "the table has no end marker"}
	}
	return out.String(), checkAllShown(shown)
}

// tableName returns the name in a marker that begins a table, and whether the line is such a marker.
func tableName(line string) (name string, begins bool) {
	rest, begins := strings.CutPrefix(strings.TrimSpace(line), markerBegin)
	if !begins {
		return "", false
	}
	return strings.CutSuffix(rest, markerBeginEnd)
}

// checkAllShown returns a *PageError if the page does not show both tables of each measurement.
func checkAllShown(shown map[string]bool) error {
	for _, measurement := range Measurements {
		for _, kind := range []string{"raw ", "fits "} {
			if !shown[kind+measurement.Name] {
				return &PageError{0, fmt.Sprintf("the table %q is missing", kind+measurement.Name)}
			}
		}
	}
	return nil
}

// Check returns a *PageError with the first line at which the page differs from the tables of the
// results, and any error of Fill.
func Check(page string, tables *Tables) error {
	filled, err := Fill(page, tables)
	if err != nil {
		return err
	}
	if filled == page {
		return nil
	}
	current, expected := strings.Split(page, "\n"), strings.Split(filled, "\n")
	for index := range current {
		if index >= len(expected) || current[index] != expected[index] {
			return &PageError{index + 1, fmt.Sprintf("the line differs from the data: %q", current[index])}
		}
	}
	return &PageError{len(current), "the page ends before its last table is complete"}
}
