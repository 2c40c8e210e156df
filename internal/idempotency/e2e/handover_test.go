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
	"martendrum/internal/standin/shop"
)

// loggedProcess is a process whose log can be waited for.
type loggedProcess struct {
	command *exec.Cmd
	done    chan struct{}
	mu      sync.Mutex
	log     bytes.Buffer
}

// Write implements io.Writer, for the process's standard error.
func (p *loggedProcess) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

func (p *loggedProcess) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *loggedProcess) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *loggedProcess) kill() {
	p.command.Process.Kill()
	<-p.done
}

// awaitLine waits for a line that contains all of the words, or for the process's end.
func (p *loggedProcess) awaitLine(t *testing.T, words ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); p.alive(); time.Sleep(pollInterval) {
		for line := range strings.Lines(p.text()) {
			if containsAll(line, words) {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("it never logged %q: %s", words, p.text())
		}
	}
}

func containsAll(line string, words []string) bool {
	for _, word := range words {
		if !strings.Contains(line, word) {
			return false
		}
	}
	return true
}

// TestHandover hands over from a sidecar with an idempotency store to a new process while
// requests are in flight, and kills either at each event of the hand-over in turn. The
// process that is left has the store; no key runs twice, and what a client was answered
// still holds.
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

// handoverFixture is a sidecar of which one process is to replace another.
type handoverFixture struct {
	program   string
	directory string
	storeFile string
	config    string
	listen    string
	servers   *serverGroup
	shop      *shop.Shop
	release   func() // lets the servers' first request continue

	event, victim string // which process is killed when
	old, next     *loggedProcess
}

func newHandoverFixture(t *testing.T, program string, port int, event, victim string) *handoverFixture {
	t.Helper()
	f := &handoverFixture{program: program, directory: t.TempDir(), event: event, victim: victim}
	hold := make(chan struct{})
	f.release = sync.OnceFunc(func() { close(hold) })
	f.servers, f.shop = serversHoldingFirst(t, hold)
	t.Cleanup(f.release)
	var err error
	if f.config, f.listen, err = f.shop.Config(f.directory, "n1", port); err != nil {
		t.Fatal(err)
	}
	f.storeFile = filepath.Join(f.directory, "record.toml")
	content := strings.Replace(recordFile, "[wait]\n", "[wait]\nlease = \"1s\"\n", 1)
	if err := os.WriteFile(f.storeFile, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// run starts a process of the sidecar, which ends with the test.
func (f *handoverFixture) run(t *testing.T, config string) *loggedProcess {
	t.Helper()
	p := &loggedProcess{command: exec.Command(f.program), done: make(chan struct{})}
	p.command.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "MARTENDRUM_RECORD="+f.storeFile, "TMPDIR="+f.directory)
	p.command.Stderr = p
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("pid %d: %s", p.command.Process.Pid, p.text())
		}
	})
	return p
}

// reach kills the victim if the event is its.
func (f *handoverFixture) reach(event string) {
	switch {
	case event != f.event:
	case f.victim == "old":
		f.old.kill()
	default:
		f.next.kill()
	}
}

// handOver starts the new process and stops the old one, event by event.
func (f *handoverFixture) handOver(t *testing.T) {
	t.Helper()
	f.reach("before")
	f.next = f.run(t, f.config)
	f.reach("begun")
	if f.next.alive() {
		f.old.awaitLine(t, "msg=hand-over", "kind=hello")
		f.reach("hello")
	}
	f.next.awaitLine(t, "msg=ready")
	f.reach("ready")
	f.awaitNextServes(t)
	f.reach("serving")
	if f.next.alive() {
		f.old.command.Process.Signal(syscall.SIGTERM)
		f.old.awaitLine(t, "stopping")
	}
	f.reach("stopping")
}

// awaitNextServes waits until the new process accepts clients, beside the old one or alone.
func (f *handoverFixture) awaitNextServes(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); f.next.alive(); time.Sleep(pollInterval) {
		if health, err := proc.Health(t.Context(), f.listen, time.Second); err == nil && health.Launch == strconv.Itoa(f.next.command.Process.Pid) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the new process accepts no clients")
		}
	}
}

// awaitSettled repeats a key until it is not in flight, which it is until its dead owner's
// lease is over.
func (f *handoverFixture) awaitSettled(t *testing.T, request clientRequest) clientResponse {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		response, err := sendRequest(f.listen, request, nil)
		if err == nil && (response.status == http.StatusOK || response.status == http.StatusConflict && strings.HasPrefix(response.recordState, "may-have-run")) {
			return response
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s is not settled: %+v %v", request.key, response, err)
		}
	}
}

func testHandover(t *testing.T, program string, port int, event, victim string) {
	f := newHandoverFixture(t, program, port, event, victim)
	f.old = f.run(t, f.config)
	awaitHealthy(t, f.listen)
	firstRequest, secondRequest := clientRequest{class: "activate", key: "first"}, clientRequest{class: "activate", key: "second"}
	answered := make(chan clientResponse, 1)
	go func() {
		response, _ := sendRequest(f.listen, firstRequest, nil)
		answered <- response
	}()
	f.servers.awaitRun(t, firstRequest)
	f.handOver(t)
	f.release()
	first := <-answered
	if event == "stopping" && victim == "new" {
		<-f.old.done // it was told to end, and no process has replaced it
	}
	if !f.old.alive() && !f.next.alive() {
		f.next = f.run(t, f.config)
	}
	awaitHealthy(t, f.listen)
	f.checkKeys(t, firstRequest, secondRequest, first)
	f.checkNoThirdOwner(t, port)
	if event == "never" && (first.status != http.StatusOK || !f.next.alive() || !strings.Contains(f.next.text(), "msg=ready")) {
		t.Errorf("nothing was killed: %+v; %s", first, f.next.text())
	}
}

// checkKeys repeats the key that was in flight and sends another one.
func (f *handoverFixture) checkKeys(t *testing.T, firstRequest, secondRequest clientRequest, first clientResponse) {
	t.Helper()
	firstAgain, second := f.awaitSettled(t, firstRequest), f.awaitSettled(t, secondRequest)
	if f.servers.runCount(firstRequest) != 1 || f.servers.runCount(secondRequest) != 1 {
		t.Errorf("the keys ran %d and %d times; want once each", f.servers.runCount(firstRequest), f.servers.runCount(secondRequest))
	}
	if first.status == http.StatusOK && (firstAgain.status != http.StatusOK || firstAgain.body != first.body) {
		t.Errorf("answered %+v at first, and %+v when repeated", first, firstAgain)
	}
	if f.victim == "new" && first.status != http.StatusOK {
		t.Errorf("the old process was left alone, and its client was answered %+v", first)
	}
	if second.status != http.StatusOK {
		t.Errorf("the second key: %+v", second)
	}
}

// checkNoThirdOwner checks that no further process can own the store as long as one of
// the two lives.
func (f *handoverFixture) checkNoThirdOwner(t *testing.T, port int) {
	t.Helper()
	config, _, err := f.shop.Config(f.directory, "n2", port+5)
	if err != nil {
		t.Fatal(err)
	}
	third := f.run(t, config)
	<-third.done
	if !strings.Contains(third.text(), "locked by process") {
		t.Errorf("a third process on the same store: %s", third.text())
	}
}
