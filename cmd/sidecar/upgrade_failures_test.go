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
	served := func(t *testing.T, s *fixture) {
		t.Helper()
		for range 20 {
			if err := sendAlternating(client(), s.listen); err != nil {
				t.Errorf("not served: %v", err)
			}
		}
	}
	t.Run("a killed process leaves its files", func(t *testing.T) {
		s := newFixture(t, 256)
		old := s.startReadyProcess()
		old.Process.Kill()
		old.waitExit(t)
		next := s.startReadyProcess()
		served(t, s)
		next.waitSocketQuota(t, 256)
		third := s.startProcess() // and can hand over itself
		third.waitReady(t)
		third.waitSocketQuota(t, 128)
	})
	t.Run("the old one hangs", func(t *testing.T) {
		s := newFixture(t, 256)
		old := s.startReadyProcess()
		old.Process.Signal(syscall.SIGSTOP)
		next := s.startReadyProcess()
		next.waitSocketQuota(t, 128)
		old.Process.Kill()
		old.waitExit(t)
		next.waitSocketQuota(t, 256)
		served(t, s)
	})
	t.Run("the old one is killed in the midst", func(t *testing.T) {
		s := newFixture(t, 256)
		old := s.startReadyProcess()
		next := s.startProcess()
		eventually(t, "an offer", func() bool { return strings.Contains(next.log.String(), "sockets=128") })
		old.Process.Kill()
		old.waitExit(t)
		next.waitReady(t)
		next.waitSocketQuota(t, 256)
		served(t, s)
	})
	t.Run("the new one dies after its yes", func(t *testing.T) {
		s := newFixture(t, 256)
		old := s.startReadyProcess()
		next := s.startReadyProcess()
		next.Process.Kill()
		next.waitExit(t)
		old.waitSocketQuota(t, 256)
		served(t, s)
	})
	t.Run("the new one's configuration is broken", func(t *testing.T) {
		s := newFixture(t, 256)
		s.startReadyProcess()
		s.writeConfig(t, "{")
		next := s.startProcess()
		if next.waitExit(t) == nil {
			t.Error("it started")
		}
		served(t, s)
	})
	t.Run("two new ones at once", func(t *testing.T) {
		s := newFixture(t, 256)
		old := s.startReadyProcess()
		one := s.startProcess()
		one.waitReady(t)
		two := s.startProcess()
		if two.waitExit(t) == nil || !strings.Contains(two.log.String(), "another new process") {
			t.Errorf("the second one: %s", two.log)
		}
		served(t, s)
		old.Process.Signal(syscall.SIGTERM)
		old.waitExit(t)
		served(t, s)
	})
	t.Run("a file in the way", func(t *testing.T) {
		s := newFixture(t, 256)
		old := s.startReadyProcess()
		names, err := filepath.Glob(filepath.Join(s.dir, "sidecar-*.lock"))
		if err != nil || len(names) != 1 {
			t.Fatal(names, err)
		}
		old.Process.Kill()
		old.waitExit(t)
		os.Remove(names[0])
		if err := os.Mkdir(names[0], 0o700); err != nil {
			t.Fatal(err)
		}
		next := s.startReadyProcess()
		served(t, s)
		if !strings.Contains(next.log.String(), "on its own") {
			t.Error("nothing was said about it")
		}
	})
}
