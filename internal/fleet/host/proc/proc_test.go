package proc

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startCat starts cat, which exits at once, since its standard input is empty.
func startCat(t *testing.T, launch string) *Process {
	t.Helper()
	p, err := Start(Spec{Launch: launch, Path: "/bin/cat", Dir: "/", Log: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatalf("Start of /bin/cat: %v", err)
	}
	return p
}

// A process is identified by its PID and start time: it can be found by its launch ID and adopted,
// another start time is not adopted, and a process that has exited is neither alive nor found.
func TestFindAndAdopt(t *testing.T) {
	script := filepath.Join(t.TempDir(), "wait")
	os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 1000\n"), 0o700)
	launch := "proctest-" + filepath.Base(t.TempDir()) + t.Name() + time.Now().String()
	p, err := Start(Spec{Launch: launch + "/a", Path: script, Dir: "/", Env: os.Environ(), Log: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatalf("Start of the script: %v", err)
	}
	defer p.Signal(syscall.SIGKILL)
	var found map[string]Found
	for deadline := time.Now().Add(20 * time.Second); len(found) == 0 && time.Now().Before(deadline); { // between fork and exec the process has no launch ID
		found = Find(launch)
	}
	if f := found[launch+"/a"]; f.PID != p.PID || f.Ticks != p.Ticks || len(found) != 1 {
		t.Fatalf("Find() = %v, want only PID %d with start time %d", found, p.PID, p.Ticks)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := Adopt(ctx, p.PID, p.Ticks+1); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("Adopt with a different start time: got error %v, want %v", err, os.ErrProcessDone)
	}
	adopted, err := Adopt(ctx, p.PID, p.Ticks)
	if err != nil {
		t.Fatalf("Adopt: %v", err)
	}
	if err := adopted.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("SIGTERM to the adopted process: %v", err)
	}
	for _, done := range []<-chan struct{}{adopted.Done, p.Done} {
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("Done was not closed within 20 s after SIGTERM")
		}
	}
	if !strings.Contains(p.Exit(), "terminated") {
		t.Errorf("Exit() = %q, want it to contain \"terminated\"", p.Exit())
	}
	if Alive(p.PID, p.Ticks) || len(Find(launch)) > 0 {
		t.Errorf("after the exit of the process: Alive() = %v, Find() = %v; want false and no process", Alive(p.PID, p.Ticks), Find(launch))
	}
}

// Start returns an error if the program or the folder of the log does not exist. The exit of a
// process that succeeds is reported.
func TestStartFails(t *testing.T) {
	if _, err := Start(Spec{Path: "/none/such", Dir: "/", Log: filepath.Join(t.TempDir(), "log")}); err == nil {
		t.Error("Start of a program that does not exist: got no error, want one")
	}
	if _, err := Start(Spec{Path: "/bin/cat", Dir: "/", Log: "/none/log"}); err == nil || !strings.Contains(err.Error(), "log") {
		t.Errorf("Start with a log in a folder that does not exist: got error %v, want one that mentions the log", err)
	}
	p := startCat(t, "x")
	<-p.Done // its standard input is empty
	if p.Exit() != "exit status 0" {
		t.Errorf("Exit() = %q, want \"exit status 0\"", p.Exit())
	}
}

// A log that is rotated after each line stays, with its rotated part, within the limit of 2000 bytes
// plus one line of 100 bytes.
func TestRotate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	log, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatalf("creating the log: %v", err)
	}
	defer log.Close()
	line := bytes.Repeat([]byte("x"), 99)
	for range 1000 {
		log.Write(append(line, '\n'))
		if err := Rotate(path, 2000); err != nil {
			t.Fatalf("Rotate: %v", err)
		}
		total := int64(0)
		for _, p := range []string{path, path + ".1"} {
			if st, err := os.Stat(p); err == nil {
				total += st.Size()
			}
		}
		if total > 2000+100 {
			t.Fatalf("the log and its rotated part have %d bytes, want 2100 at most", total)
		}
	}
}
