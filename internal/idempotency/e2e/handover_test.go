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

// loggedProcess is a process whose log is kept, so that a test can wait for a line of it.
type loggedProcess struct {
	command *exec.Cmd
	done    chan struct{} // closed when the process has exited
	mu      sync.Mutex
	log     bytes.Buffer
}

// Write implements io.Writer, for the process's standard error.
func (p *loggedProcess) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// text returns the log so far.
func (p *loggedProcess) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// alive reports whether the process has not exited.
func (p *loggedProcess) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill kills the process, if it has not exited, and waits for its exit.
func (p *loggedProcess) kill() {
	p.command.Process.Kill()
	<-p.done
}

// awaitLine waits until the log has a line that contains all of the words, or until the process
// exits.
func (p *loggedProcess) awaitLine(t *testing.T, words ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); p.alive(); time.Sleep(pollInterval) {
		for line := range strings.Lines(p.text()) {
			if containsAll(line, words) {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("the process logged no line with %q within %v; its log:\n%s", words, testTimeout, p.text())
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

// TestHandover replaces a sidecar process that has an idempotency store by a new one while a request
// is in flight, and kills the old or the new process at each event of the hand-over in turn.
// The remaining process must own the store, no key may run twice, and a repeat of a request that
// was answered must get the same answer.
func TestHandover(t *testing.T) {
	sidecar, _ := buildPrograms(t, t.TempDir())
	// "before" comes before the new process is started; with "never" no process is killed.
	events := []string{"before", "begun", "hello", "ready", "serving", "stopping", "never"}
	for eventIndex, event := range events {
		for victimIndex, victim := range []string{"old", "new"} {
			if event == "never" && victimIndex > 0 || event == "before" && victimIndex > 0 || testing.Short() && event != "hello" && event != "serving" && event != "never" {
				continue // the other events run without -short only
			}
			t.Run(event+" "+victim, func(t *testing.T) {
				testHandover(t, sidecar, 60100+10*eventIndex+victimIndex, event, victim)
			})
		}
	}
}

// handoverFixture is a sidecar with its store, servers and discovery, whose process is replaced.
type handoverFixture struct {
	program   string
	directory string
	storeFile string
	config    string
	listen    string
	servers   *serverGroup
	shop      *shop.Shop
	release   func() // lets the first request that a server received continue

	event, victim string // the event at which a process is killed, and which: "old" or "new"
	old, next     *loggedProcess
}

// newHandoverFixture starts the servers and discovery, and writes the sidecar's files. addressIndex
// selects the sidecar's loopback address; see shop.FreeAddr.
func newHandoverFixture(t *testing.T, program string, addressIndex int, event, victim string) *handoverFixture {
	t.Helper()
	f := &handoverFixture{program: program, directory: t.TempDir(), event: event, victim: victim}
	hold := make(chan struct{})
	f.release = sync.OnceFunc(func() { close(hold) })
	f.servers, f.shop = serversHoldingFirst(t, hold)
	t.Cleanup(f.release)
	var err error
	if f.config, f.listen, err = f.shop.Config(f.directory, "n1", addressIndex); err != nil {
		t.Fatal(err)
	}
	f.storeFile = filepath.Join(f.directory, "record.toml")
	content := strings.Replace(storeSettings, "[wait]\n", "[wait]\nlease = \"1s\"\n", 1)
	if err := os.WriteFile(f.storeFile, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// run starts a process of the sidecar, which is killed when the test ends at the latest.
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
			t.Logf("log of process %d:\n%s", p.command.Process.Pid, p.text())
		}
	})
	return p
}

// reach kills the victim if this is the event at which it is to be killed.
func (f *handoverFixture) reach(event string) {
	switch {
	case event != f.event:
	case f.victim == "old":
		f.old.kill()
	default:
		f.next.kill()
	}
}

// handOver starts the new process, waits for each event of the hand-over and stops the old process.
// A wait for a process ends early if that process has been killed.
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
	f.awaitNextHealthy(t)
	f.reach("serving")
	if f.next.alive() {
		f.old.command.Process.Signal(syscall.SIGTERM)
		f.old.awaitLine(t, "stopping")
	}
	f.reach("stopping")
}

// awaitNextHealthy waits until the new process answers a health check, or exits. Until it is killed
// or stopped the old process accepts clients as well, so that some health checks reach that one.
func (f *handoverFixture) awaitNextHealthy(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); f.next.alive(); time.Sleep(pollInterval) {
		if health, err := proc.Health(t.Context(), f.listen, time.Second); err == nil && health.Launch == strconv.Itoa(f.next.command.Process.Pid) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the new process answered no health check within %v", testTimeout)
		}
	}
}

// awaitSettled repeats a request until its key is no longer in flight: answered, or one that may
// have run. The key of a killed process stays in flight until that process's lease expires.
func (f *handoverFixture) awaitSettled(t *testing.T, request clientRequest) clientResponse {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		response, err := sendRequest(f.listen, request, nil)
		if err == nil && (response.status == http.StatusOK || response.status == http.StatusConflict && strings.HasPrefix(response.recordState, "may-have-run")) {
			return response
		}
		if time.Now().After(deadline) {
			t.Fatalf("key %q is still in flight: last response %+v, error: %v", request.key, response, err)
		}
	}
}

// testHandover performs one hand-over with one process killed at an event, and then checks the keys
// and the ownership of the store.
func testHandover(t *testing.T, program string, addressIndex int, event, victim string) {
	f := newHandoverFixture(t, program, addressIndex, event, victim)
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
		<-f.old.done // it was told to stop, and the new process was killed
	}
	if !f.old.alive() && !f.next.alive() {
		f.next = f.run(t, f.config)
	}
	awaitHealthy(t, f.listen)
	f.checkKeys(t, firstRequest, secondRequest, first)
	f.checkNoThirdOwner(t, addressIndex)
	if event == "never" && (first.status != http.StatusOK || !f.next.alive() || !strings.Contains(f.next.text(), "msg=ready")) {
		t.Errorf("without a kill the first request got %+v, want status 200; want a new process that is ready, its log:\n%s", first, f.next.text())
	}
}

// checkKeys repeats the request that was in flight during the hand-over, sends one with another key,
// and checks that each key ran once and that the answers agree.
func (f *handoverFixture) checkKeys(t *testing.T, firstRequest, secondRequest clientRequest, first clientResponse) {
	t.Helper()
	firstAgain, second := f.awaitSettled(t, firstRequest), f.awaitSettled(t, secondRequest)
	if f.servers.runCount(firstRequest) != 1 || f.servers.runCount(secondRequest) != 1 {
		t.Errorf("the keys ran %d and %d times, want once each", f.servers.runCount(firstRequest), f.servers.runCount(secondRequest))
	}
	if first.status == http.StatusOK && (firstAgain.status != http.StatusOK || firstAgain.body != first.body) {
		t.Errorf("first response was %+v, response to the repeat %+v; want the same answer", first, firstAgain)
	}
	if f.victim == "new" && first.status != http.StatusOK {
		t.Errorf("the old process was not killed, and its client got %+v, want status 200", first)
	}
	if second.status != http.StatusOK {
		t.Errorf("request with the second key got %+v, want status 200", second)
	}
}

// checkNoThirdOwner checks that a third process can't open the store while one of the two processes
// runs.
func (f *handoverFixture) checkNoThirdOwner(t *testing.T, addressIndex int) {
	t.Helper()
	config, _, err := f.shop.Config(f.directory, "n2", addressIndex+5)
	if err != nil {
		t.Fatal(err)
	}
	third := f.run(t, config)
	<-third.done
	if !strings.Contains(third.text(), "locked by process") {
		t.Errorf("a third process on the same store did not report that the store is locked; its log:\n%s", third.text())
	}
}
