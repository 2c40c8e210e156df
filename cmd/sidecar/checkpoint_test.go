package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Learned state is a hint for the next process; a file that is torn, empty or another
// sidecar's is reported as such, and the sidecar serves all the same.
func TestCheckpointsNotTrusted(t *testing.T) {
	f := newFixture(t, 256)
	path := filepath.Join(t.TempDir(), "checkpoint")
	t.Setenv("MARTENDRUM_FLEET", "return")
	t.Setenv("MARTENDRUM_CHECKPOINT", path)
	runOnce := func(want string) {
		t.Helper()
		f.dir = t.TempDir() // only the checkpoint is left of the previous process
		p := f.startReadyProcess()
		if want != "" {
			eventually(t, want, func() bool { return strings.Contains(p.log.String(), want) })
		}
		for range 5 {
			if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
				t.Error(err)
			}
		}
		eventually(t, "the phase serving", func() bool { return strings.Contains(p.log.String(), "phase serving") })
		p.Process.Signal(syscall.SIGTERM)
		p.waitExit(t)
	}
	runOnce("")
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	runOnce("checkpoint restored as a hint")
	for want, data := range map[string][]byte{"empty": nil, "torn or damaged": good[:len(good)/2]} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		runOnce(want)
		if now, _ := os.ReadFile(path); len(now) < len(good)/2 {
			t.Errorf("%s: the file was not replaced", want)
		}
	}
	listen := f.listen
	f.listen = freeAddr(t)
	text := mustReplace(t, f.configText(t), listen, f.listen)
	f.writeConfig(t, text)
	before, _ := os.ReadFile(path)
	runOnce("of another sidecar")
	if now, _ := os.ReadFile(path); string(now) != string(before) {
		t.Error("the file of another sidecar was overwritten")
	}
}
