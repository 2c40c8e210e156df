package main

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"martendrum/internal/goldentest"
)

// TestMetricNamesOfEarlierBuild checks that the metrics have the names and labels of an earlier
// build.
func TestMetricNamesOfEarlierBuild(t *testing.T) {
	p := newFixture(t, 128).startReadyProcess()
	response, err := http.Get("http://" + p.adminAddr + "/api/telemetry")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		if blank := strings.LastIndexByte(line, ' '); blank > 0 && !strings.HasPrefix(line, "#") {
			names = append(names, line[:blank])
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) < 20 {
		t.Fatalf("got %d names of metrics, want at least 20, in %q", len(names), text)
	}
	goldentest.Compare(t, "metric-names.txt", []byte(strings.Join(names, "\n")+"\n"))
}
