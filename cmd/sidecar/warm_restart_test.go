package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestWarmRestart checks that a process that starts soon after a stop restores the learned state of
// the previous one, and that it ignores a damaged snapshot and logs that.
func TestWarmRestart(t *testing.T) {
	f := newFixture(t, 256)
	first := f.startProcess()
	first.waitReady(t)
	for range 10 {
		if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
			t.Fatal(err)
		}
	}
	first.Process.Signal(syscall.SIGTERM)
	first.waitExit(t)
	second := f.startProcess()
	second.waitReady(t)
	if log := second.log.String(); !strings.Contains(log, "warm start") || !strings.Contains(log, "servers=1") {
		t.Errorf("log has no message warm start with servers=1:\n%s", log)
	}
	second.Process.Kill()
	second.waitExit(t)
	names, _ := filepath.Glob(filepath.Join(f.dir, "sidecar-*.snap"))
	if len(names) != 1 {
		t.Fatalf("snapshot files: got %q, want one", names)
	}
	if err := os.WriteFile(names[0], []byte("not a snapshot"), 0o600); err != nil {
		t.Fatal(err)
	}
	third := f.startProcess()
	third.waitReady(t)
	log := third.log.String()
	for until := time.Now().Add(eventTimeout); !strings.Contains(log, "cold start") && time.Now().Before(until); log = third.log.String() {
		time.Sleep(time.Millisecond) // a message logged before the process was ready may not have been read yet
	}
	if !strings.Contains(log, "cold start") || !strings.Contains(log, "damaged") {
		t.Errorf("log has no message cold start for the damaged snapshot:\n%s", log)
	}
}
