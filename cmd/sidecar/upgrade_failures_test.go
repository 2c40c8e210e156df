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
	t.Run("files of a killed process", testFilesOfKilledProcess)
	t.Run("the old process hangs", testOldProcessHangs)
	t.Run("the old process is killed during the hand-over", testOldProcessKilledDuringHandover)
	t.Run("the new process dies after it accepted", testNewProcessDiesAfterAccepting)
	t.Run("the new process has a broken configuration", testNewProcessHasBrokenConfig)
	t.Run("two new processes start at once", testTwoNewProcesses)
	t.Run("a directory is in the place of the lock file", testDirectoryInPlaceOfLock)
}

// checkServed checks that requests on new connections are answered.
func (f *fixture) checkServed(t *testing.T) {
	t.Helper()
	for range 20 {
		client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
		if err := sendAlternating(client, f.listen); err != nil {
			t.Errorf("not served: %v", err)
		}
	}
}

func testFilesOfKilledProcess(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	old.Process.Kill()
	old.waitExit(t)
	next := f.startReadyProcess()
	f.checkServed(t)
	next.waitSocketQuota(t, 256)
	third := f.startProcess() // the process that found the files can hand over itself
	third.waitReady(t)
	third.waitSocketQuota(t, 128)
}

func testOldProcessHangs(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	old.Process.Signal(syscall.SIGSTOP)
	next := f.startReadyProcess()
	next.waitSocketQuota(t, 128)
	old.Process.Kill()
	old.waitExit(t)
	next.waitSocketQuota(t, 256)
	f.checkServed(t)
}

func testOldProcessKilledDuringHandover(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	next := f.startProcess()
	eventually(t, "an offer", func() bool { return strings.Contains(next.log.String(), "sockets=128") })
	old.Process.Kill()
	old.waitExit(t)
	next.waitReady(t)
	next.waitSocketQuota(t, 256)
	f.checkServed(t)
}

func testNewProcessDiesAfterAccepting(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	next := f.startReadyProcess()
	next.Process.Kill()
	next.waitExit(t)
	old.waitSocketQuota(t, 256)
	f.checkServed(t)
}

func testNewProcessHasBrokenConfig(t *testing.T) {
	f := newFixture(t, 256)
	f.startReadyProcess()
	f.writeConfig(t, "{")
	next := f.startProcess()
	if next.waitExit(t) == nil {
		t.Error("it started")
	}
	f.checkServed(t)
}

func testTwoNewProcesses(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	first := f.startProcess()
	first.waitReady(t)
	second := f.startProcess()
	if second.waitExit(t) == nil || !strings.Contains(second.log.String(), "another new process") {
		t.Errorf("the second one: %s", second.log)
	}
	f.checkServed(t)
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	f.checkServed(t)
}

func testDirectoryInPlaceOfLock(t *testing.T) {
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
	f.checkServed(t)
	if !strings.Contains(next.log.String(), "on its own") {
		t.Error("nothing was said about it")
	}
}
