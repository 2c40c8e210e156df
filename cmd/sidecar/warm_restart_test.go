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

// A process that starts soon after a stop restores what the previous one had learned. It ignores
// a damaged snapshot and logs that.
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
		t.Errorf("no warm start:\n%s", log)
	}
	second.Process.Kill()
	second.waitExit(t)
	names, _ := filepath.Glob(filepath.Join(f.dir, "sidecar-*.snap"))
	if len(names) != 1 {
		t.Fatal(names)
	}
	if err := os.WriteFile(names[0], []byte("what is this"), 0o600); err != nil {
		t.Fatal(err)
	}
	third := f.startProcess()
	third.waitReady(t)
	log := third.log.String()
	for until := time.Now().Add(patience); !strings.Contains(log, "cold start") && time.Now().Before(until); log = third.log.String() {
		time.Sleep(time.Millisecond) // what it wrote before it was ready may still be on its way
	}
	if !strings.Contains(log, "cold start") || !strings.Contains(log, "damaged") {
		t.Errorf("the damaged file was not logged:\n%s", log)
	}
}
