package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestCheckpointsNotTrusted checks that a sidecar logs why it ignores a checkpoint that is empty,
// torn or written by another sidecar, and serves without it. It replaces an empty or torn file by its
// own checkpoint, but leaves the file of another sidecar unchanged. The learned state in a checkpoint
// is only a hint, so a sidecar can start without it.
func TestCheckpointsNotTrusted(t *testing.T) {
	f := newFixture(t, 256)
	path := filepath.Join(t.TempDir(), "checkpoint")
	t.Setenv("MARTENDRUM_FLEET", "return")
	t.Setenv("MARTENDRUM_CHECKPOINT", path)
	runOnce := func(wantLog string) {
		t.Helper()
		f.dir = t.TempDir() // so that only the checkpoint is left of the previous process
		p := f.startReadyProcess()
		if wantLog != "" {
			eventually(t, "a log message that contains "+wantLog, func() bool { return strings.Contains(p.log.String(), wantLog) })
		}
		for range 5 {
			if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
				t.Errorf("request to a sidecar that logs %q: %v", wantLog, err)
			}
		}
		eventually(t, "the log message phase serving", func() bool { return strings.Contains(p.log.String(), "phase serving") })
		p.Process.Signal(syscall.SIGTERM)
		p.waitExit(t)
	}
	runOnce("")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the checkpoint of the first process: %v", err)
	}
	runOnce("checkpoint restored as a hint")
	for wantLog, data := range map[string][]byte{"empty": nil, "torn or damaged": good[:len(good)/2]} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		runOnce(wantLog)
		if now, _ := os.ReadFile(path); len(now) < len(good)/2 {
			t.Errorf("checkpoint reported as %q: got a file of %d bytes after the exit, want it replaced by at least %d", wantLog, len(now), len(good)/2)
		}
	}
	listen := f.listen
	f.listen = freeAddr(t)
	text := mustReplace(t, f.configText(t), listen, f.listen)
	f.writeConfig(t, text)
	before, _ := os.ReadFile(path)
	runOnce("of another sidecar")
	if now, _ := os.ReadFile(path); string(now) != string(before) {
		t.Error("the checkpoint of another sidecar was overwritten, want it unchanged")
	}
}
