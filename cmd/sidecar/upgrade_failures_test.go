package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestUpgradeFailures checks that clients are served whichever process fails at whichever step of a
// hand-over.
func TestUpgradeFailures(t *testing.T) {
	t.Run("files of a killed process", testFilesOfKilledProcess)
	t.Run("the old process hangs", testOldProcessHangs)
	t.Run("the old process is killed during the hand-over", testOldProcessKilledDuringHandover)
	t.Run("the new process dies after it accepted", testNewProcessDiesAfterAccepting)
	t.Run("the new process has a broken configuration", testNewProcessHasBrokenConfig)
	t.Run("two new processes start at once", testTwoNewProcesses)
	t.Run("a directory is in the place of the lock file", testDirectoryInPlaceOfLock)
}

// checkServed checks that 20 requests on new connections are answered.
func (f *fixture) checkServed(t *testing.T) {
	t.Helper()
	for range 20 {
		client := &http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		if err := sendAlternating(client, f.listen); err != nil {
			t.Errorf("request on a new connection: %v", err)
		}
	}
}

// testFilesOfKilledProcess checks that a process takes over the files that a killed process left
// behind: it serves with the full limits and can hand over itself.
func testFilesOfKilledProcess(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	old.Process.Kill()
	old.waitExit(t)
	next := f.startReadyProcess()
	f.checkServed(t)
	next.waitSocketQuota(t, 256)
	third := f.startProcess() // the process that found the files hands over to it
	third.waitReady(t)
	third.waitSocketQuota(t, 128)
}

// testOldProcessHangs checks that a new process serves with half of the limits beside a suspended
// old one, and with the full limits after the old one is killed.
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

// testOldProcessKilledDuringHandover kills the old process after it has divided the limits, and
// checks that the new one gets the full limits.
func testOldProcessKilledDuringHandover(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	next := f.startProcess()
	eventually(t, "the new process to be offered half of the limits", func() bool { return strings.Contains(next.log.String(), "sockets=128") })
	old.Process.Kill()
	old.waitExit(t)
	next.waitReady(t)
	next.waitSocketQuota(t, 256)
	f.checkServed(t)
}

// testNewProcessDiesAfterAccepting kills the new process after it has begun to accept clients, and
// checks that the old one gets the full limits back.
func testNewProcessDiesAfterAccepting(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	next := f.startReadyProcess()
	next.Process.Kill()
	next.waitExit(t)
	old.waitSocketQuota(t, 256)
	f.checkServed(t)
}

// testNewProcessHasBrokenConfig checks that the new process exits with an error and the old one
// still serves.
func testNewProcessHasBrokenConfig(t *testing.T) {
	f := newFixture(t, 256)
	f.startReadyProcess()
	f.writeConfig(t, "{")
	next := f.startProcess()
	if next.waitExit(t) == nil {
		t.Error("the process with a broken configuration exited with status 0, want an error")
	}
	f.checkServed(t)
}

// testTwoNewProcesses checks that a second new process exits with an error while the first one
// takes over.
func testTwoNewProcesses(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	first := f.startProcess()
	first.waitReady(t)
	second := f.startProcess()
	if second.waitExit(t) == nil || !strings.Contains(second.log.String(), "another new process") {
		t.Errorf("second new process: got status 0 or a log without \"another new process\", want an error with it; log:\n%s", second.log)
	}
	f.checkServed(t)
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	f.checkServed(t)
}

// testDirectoryInPlaceOfLock checks that a process that can't create its lock file serves without
// hand-over and logs that.
func testDirectoryInPlaceOfLock(t *testing.T) {
	f := newFixture(t, 256)
	old := f.startReadyProcess()
	names, err := filepath.Glob(filepath.Join(f.dir, "sidecar-*.lock"))
	if err != nil || len(names) != 1 {
		t.Fatalf("lock files: got %q, error %v, want one file", names, err)
	}
	old.Process.Kill()
	old.waitExit(t)
	os.Remove(names[0])
	if err := os.Mkdir(names[0], 0o700); err != nil {
		t.Fatal(err)
	}
	next := f.startReadyProcess()
	f.checkServed(t)
	next.awaitLog(t, "no hand-over is possible")
}
