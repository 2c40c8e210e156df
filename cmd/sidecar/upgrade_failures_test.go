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
	served := func(t *testing.T, s *shop) {
		t.Helper()
		for range 20 {
			if err := visit(client(), s.listen); err != nil {
				t.Errorf("not served: %v", err)
			}
		}
	}
	t.Run("a killed process leaves its files", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		old.Process.Kill()
		old.ends(t)
		next := s.running()
		served(t, s)
		next.holds(t, 256)
		third := s.start() // and can hand over itself
		third.ready(t)
		third.holds(t, 128)
	})
	t.Run("the old one hangs", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		old.Process.Signal(syscall.SIGSTOP)
		next := s.running()
		next.holds(t, 128)
		old.Process.Kill()
		old.ends(t)
		next.holds(t, 256)
		served(t, s)
	})
	t.Run("the old one is killed in the midst", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		next := s.start()
		eventually(t, "an offer", func() bool { return strings.Contains(next.log.String(), "sockets=128") })
		old.Process.Kill()
		old.ends(t)
		next.ready(t)
		next.holds(t, 256)
		served(t, s)
	})
	t.Run("the new one dies after its yes", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		next := s.running()
		next.Process.Kill()
		next.ends(t)
		old.holds(t, 256)
		served(t, s)
	})
	t.Run("the new one's configuration is broken", func(t *testing.T) {
		s := newShop(t, 256)
		s.running()
		s.configure(t, "{")
		next := s.start()
		if next.ends(t) == nil {
			t.Error("it started")
		}
		served(t, s)
	})
	t.Run("two new ones at once", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		one := s.start()
		one.ready(t)
		two := s.start()
		if two.ends(t) == nil || !strings.Contains(two.log.String(), "another new process") {
			t.Errorf("the second one: %s", two.log)
		}
		served(t, s)
		old.Process.Signal(syscall.SIGTERM)
		old.ends(t)
		served(t, s)
	})
	t.Run("a file in the way", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		names, err := filepath.Glob(filepath.Join(s.dir, "sidecar-*.lock"))
		if err != nil || len(names) != 1 {
			t.Fatal(names, err)
		}
		old.Process.Kill()
		old.ends(t)
		os.Remove(names[0])
		if err := os.Mkdir(names[0], 0o700); err != nil {
			t.Fatal(err)
		}
		next := s.running()
		served(t, s)
		if !strings.Contains(next.log.String(), "on its own") {
			t.Error("nothing was said about it")
		}
	})
}
