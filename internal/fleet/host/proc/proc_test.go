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

// start starts a process that exits at once, since its standard input is empty.
func start(t *testing.T, launch string) *Proc {
	t.Helper()
	p, err := Start(Spec{Launch: launch, Path: "/bin/cat", Dir: "/", Log: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A process is identified by PID and start time. One that has exited is not reported as
// alive, and no other process is mistaken for it.
func TestFindAndAdopt(t *testing.T) {
	script := filepath.Join(t.TempDir(), "wait")
	os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 1000\n"), 0o700)
	launch := "proctest-" + filepath.Base(t.TempDir()) + t.Name() + time.Now().String()
	p, err := Start(Spec{Launch: launch + "/a", Path: script, Dir: "/", Env: os.Environ(), Log: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Signal(syscall.SIGKILL)
	var found map[string]Found
	for until := time.Now().Add(20 * time.Second); len(found) == 0 && time.Now().Before(until); { // it has no launch ID between fork and exec
		found = Find(launch)
	}
	if f := found[launch+"/a"]; f.PID != p.PID || f.Ticks != p.Ticks || len(found) != 1 {
		t.Fatalf("found %v; it is %d of %d", found, p.PID, p.Ticks)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := Adopt(ctx, p.PID, p.Ticks+1); !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("one of another start time was adopted: %v", err)
	}
	a, err := Adopt(ctx, p.PID, p.Ticks)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for _, done := range []<-chan struct{}{a.Done, p.Done} {
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("its exit was not seen")
		}
	}
	if !strings.Contains(p.Exit(), "terminated") {
		t.Error(p.Exit())
	}
	if Alive(p.PID, p.Ticks) || len(Find(launch)) > 0 {
		t.Error("it is still alive")
	}
}

func TestStartFails(t *testing.T) {
	if _, err := Start(Spec{Path: "/none/such", Dir: "/", Log: filepath.Join(t.TempDir(), "log")}); err == nil {
		t.Error("no error")
	}
	if _, err := Start(Spec{Path: "/bin/cat", Dir: "/", Log: "/none/log"}); err == nil || !strings.Contains(err.Error(), "log") {
		t.Error(err)
	}
	p := start(t, "x")
	<-p.Done // its standard input is empty
	if p.Exit() != "exit status 0" {
		t.Error(p.Exit())
	}
}

func TestRotate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	line := bytes.Repeat([]byte("x"), 99)
	for range 1000 {
		f.Write(append(line, '\n'))
		if err := Rotate(path, 2000); err != nil {
			t.Fatal(err)
		}
		total := int64(0)
		for _, p := range []string{path, path + ".1"} {
			if st, err := os.Stat(p); err == nil {
				total += st.Size()
			}
		}
		if total > 2000+100 {
			t.Fatalf("%d bytes", total)
		}
	}
}
