package e2e

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/host/proc"
)

// loggedProcess is a process whose log can be waited on.
type loggedProcess struct {
	command *exec.Cmd
	done    chan struct{}
	mu      sync.Mutex
	log     bytes.Buffer
}

func (l *loggedProcess) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Write(b)
}

func (l *loggedProcess) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.String()
}

func (l *loggedProcess) alive() bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

func (l *loggedProcess) kill() {
	l.command.Process.Kill()
	<-l.done
}

// awaitLine waits for a line that has all of the words, or for the process's end.
func (l *loggedProcess) awaitLine(t *testing.T, words ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); l.alive(); time.Sleep(time.Millisecond) {
		for line := range strings.Lines(l.text()) {
			all := true
			for _, w := range words {
				all = all && strings.Contains(line, w)
			}
			if all {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("it never said %q: %s", words, l.text())
		}
	}
}

// A sidecar with a store of record hands over to a new process with requests under
// way, and either is killed at each event of the hand-over in turn. Whoever is left
// has the store; no key runs twice, and what a client was told stays true.
func TestHandover(t *testing.T) {
	sidecar, _ := buildPrograms(t, t.TempDir())
	events := []string{"before", "begun", "hello", "ready", "serving", "stopping", "never"}
	for n, event := range events {
		for v, victim := range []string{"old", "new"} {
			if event == "never" && v > 0 || event == "before" && v > 0 || testing.Short() && event != "hello" && event != "serving" && event != "never" {
				continue // all of them without -short
			}
			t.Run(event+" "+victim, func(t *testing.T) {
				testHandover(t, sidecar, 60100+10*n+v, event, victim)
			})
		}
	}
}

func testHandover(t *testing.T, sidecar string, place int, event, victim string) {
	dir := t.TempDir()
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	defer release()
	w, s := serversHoldingFirst(t, hold)
	config, listen, err := s.Config(dir, "n1", place)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "record.toml")
	if err := os.WriteFile(file, []byte(strings.Replace(recordFile, "[wait]\n", "[wait]\nlease = \"1s\"\n", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(config string) *loggedProcess {
		l := &loggedProcess{command: exec.Command(sidecar), done: make(chan struct{})}
		l.command.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "MARTENDRUM_RECORD="+file, "TMPDIR="+dir)
		l.command.Stderr = l
		if err := l.command.Start(); err != nil {
			t.Fatal(err)
		}
		go func() {
			l.command.Wait()
			close(l.done)
		}()
		t.Cleanup(func() {
			l.kill()
			if t.Failed() {
				t.Logf("pid %d: %s", l.command.Process.Pid, l.text())
			}
		})
		return l
	}
	old := run(config)
	awaitHealthy(t, listen)
	firstRequest, secondRequest := clientRequest{class: "activate", key: "first"}, clientRequest{class: "activate", key: "second"}
	told := make(chan clientResponse, 1)
	go func() {
		a, _ := sendRequest(listen, firstRequest, nil)
		told <- a
	}()
	for deadline := time.Now().Add(testTimeout); w.runCount(firstRequest) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no server got it")
		}
	}
	var next *loggedProcess
	at := func(e string) {
		switch {
		case e != event:
		case victim == "old":
			old.kill()
		default:
			next.kill()
		}
	}
	at("before")
	next = run(config)
	at("begun")
	if next.alive() {
		old.awaitLine(t, "msg=hand-over", "kind=hello")
		at("hello")
	}
	next.awaitLine(t, "msg=ready")
	at("ready")
	// It takes clients, beside the old one or alone.
	for deadline := time.Now().Add(testTimeout); next.alive(); time.Sleep(time.Millisecond) {
		if h, err := proc.Health(t.Context(), listen, time.Second); err == nil && h.Launch == strconv.Itoa(next.command.Process.Pid) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the new process takes no clients")
		}
	}
	at("serving")
	if next.alive() {
		old.command.Process.Signal(syscall.SIGTERM)
		old.awaitLine(t, "stopping")
	}
	at("stopping")
	release()
	first := <-told
	if event == "stopping" && victim == "new" {
		<-old.done // it was told to end, and nobody has taken its place
	}
	if !old.alive() && !next.alive() {
		next = run(config)
	}
	awaitHealthy(t, listen)
	// Until its dead owner's time is over, a key is in flight.
	settled := func(request clientRequest) (a clientResponse) {
		for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
			a, err := sendRequest(listen, request, nil)
			if err == nil && (a.status == http.StatusOK || a.status == http.StatusConflict && strings.HasPrefix(a.recordState, "may-have-run")) {
				return a
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s comes to no end: %+v %v", request.key, a, err)
			}
		}
	}
	a1, a2 := settled(firstRequest), settled(secondRequest)
	if w.runCount(firstRequest) != 1 || w.runCount(secondRequest) != 1 {
		t.Errorf("the keys ran %d and %d times; want once each", w.runCount(firstRequest), w.runCount(secondRequest))
	}
	if first.status == http.StatusOK && (a1.status != http.StatusOK || a1.body != first.body) {
		t.Errorf("told %+v at first, and %+v when asked again", first, a1)
	}
	if victim == "new" && first.status != http.StatusOK {
		t.Errorf("the old process was left alone, and its client was told %+v", first)
	}
	if a2.status != http.StatusOK {
		t.Errorf("the second key: %+v", a2)
	}
	// There is no further owner, as long as one of the two lives.
	other, _, err := s.Config(dir, "n2", place+5)
	if err != nil {
		t.Fatal(err)
	}
	third := run(other)
	<-third.done
	if !strings.Contains(third.text(), "locked by process") {
		t.Errorf("a third process on the same store: %s", third.text())
	}
	if event == "never" && (first.status != http.StatusOK || !next.alive() || !strings.Contains(next.text(), "msg=ready")) {
		t.Errorf("nothing was killed: %+v; %s", first, next.text())
	}
}
