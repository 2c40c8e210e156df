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
	keep := filepath.Join(t.TempDir(), "checkpoint")
	t.Setenv("MARTENDRUM_FLEET", "return")
	t.Setenv("MARTENDRUM_CHECKPOINT", keep)
	life := func(want string) {
		t.Helper()
		f.dir = t.TempDir() // nothing is left of the process before but the checkpoint
		p := f.startReadyProcess()
		if want != "" {
			eventually(t, want, func() bool { return strings.Contains(p.log.String(), want) })
		}
		for range 5 {
			if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
				t.Error(err)
			}
		}
		eventually(t, "the end of its return", func() bool { return strings.Contains(p.log.String(), "phase serving") })
		p.Process.Signal(syscall.SIGTERM)
		p.waitExit(t)
	}
	life("")
	good, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	life("checkpoint restored as a hint")
	for want, data := range map[string][]byte{"empty": nil, "torn or damaged": good[:len(good)/2]} {
		if err := os.WriteFile(keep, data, 0o600); err != nil {
			t.Fatal(err)
		}
		life(want)
		if now, _ := os.ReadFile(keep); len(now) < len(good)/2 {
			t.Errorf("%s: the file was not written anew", want)
		}
	}
	listen := f.listen
	f.listen = freeAddr(t)
	text := mustReplace(t, f.configText(t), listen, f.listen)
	f.writeConfig(t, text)
	before, _ := os.ReadFile(keep)
	life("of another sidecar")
	if now, _ := os.ReadFile(keep); string(now) != string(before) {
		t.Error("another's file was written over")
	}
}
