package main

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
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
	second.awaitLog(t, "warm start", "servers=1")
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
	third.awaitLog(t, "cold start", "damaged")
}
