package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Whichever process fails at whichever step, clients are served.
func TestUpgradeFailures(t *testing.T) {
	client := func() *http.Client {
		return &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	}
	served := func(t *testing.T, f *fixture) {
		t.Helper()
		for range 20 {
			if err := sendAlternating(client(), f.listen); err != nil {
				t.Errorf("not served: %v", err)
			}
		}
	}
	t.Run("a killed process leaves its files", func(t *testing.T) {
		f := newFixture(t, 256)
		old := f.startReadyProcess()
		old.Process.Kill()
		old.waitExit(t)
		next := f.startReadyProcess()
		served(t, f)
		next.waitSocketQuota(t, 256)
		third := f.startProcess() // and can hand over itself
		third.waitReady(t)
		third.waitSocketQuota(t, 128)
	})
	t.Run("the old one hangs", func(t *testing.T) {
		f := newFixture(t, 256)
		old := f.startReadyProcess()
		old.Process.Signal(syscall.SIGSTOP)
		next := f.startReadyProcess()
		next.waitSocketQuota(t, 128)
		old.Process.Kill()
		old.waitExit(t)
		next.waitSocketQuota(t, 256)
		served(t, f)
	})
	t.Run("the old one is killed in the midst", func(t *testing.T) {
		f := newFixture(t, 256)
		old := f.startReadyProcess()
		next := f.startProcess()
		eventually(t, "an offer", func() bool { return strings.Contains(next.log.String(), "sockets=128") })
		old.Process.Kill()
		old.waitExit(t)
		next.waitReady(t)
		next.waitSocketQuota(t, 256)
		served(t, f)
	})
	t.Run("the new one dies after its yes", func(t *testing.T) {
		f := newFixture(t, 256)
		old := f.startReadyProcess()
		next := f.startReadyProcess()
		next.Process.Kill()
		next.waitExit(t)
		old.waitSocketQuota(t, 256)
		served(t, f)
	})
	t.Run("the new one's configuration is broken", func(t *testing.T) {
		f := newFixture(t, 256)
		f.startReadyProcess()
		f.writeConfig(t, "{")
		next := f.startProcess()
		if next.waitExit(t) == nil {
			t.Error("it started")
		}
		served(t, f)
	})
	t.Run("two new ones at once", func(t *testing.T) {
		f := newFixture(t, 256)
		old := f.startReadyProcess()
		one := f.startProcess()
		one.waitReady(t)
		two := f.startProcess()
		if two.waitExit(t) == nil || !strings.Contains(two.log.String(), "another new process") {
			t.Errorf("the second one: %s", two.log)
		}
		served(t, f)
		old.Process.Signal(syscall.SIGTERM)
		old.waitExit(t)
		served(t, f)
	})
	t.Run("a file in the way", func(t *testing.T) {
		f := newFixture(t, 256)
		old := f.startReadyProcess()
		names, err := filepath.Glob(filepath.Join(f.dir, "sidecar-*.lock"))
		if err != nil || len(names) != 1 {
			t.Fatal(names, err)
		}
		old.Process.Kill()
		old.waitExit(t)
		os.Remove(names[0])
		if err := os.Mkdir(names[0], 0o700); err != nil {
			t.Fatal(err)
		}
		next := f.startReadyProcess()
		served(t, f)
		if !strings.Contains(next.log.String(), "on its own") {
			t.Error("nothing was said about it")
		}
	})
}
