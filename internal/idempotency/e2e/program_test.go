package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/standin/pgserver"
	"martendrum/internal/standin/shop"
)

// recordFile is an operator's settings of the store.
const recordFile = `store = "sqlite"
[wait]
share = 0.5
[[class]]
name = "id-register"
key = "header:Idempotency-Key"
away = "pass"
[[class]]
name = "activate"
key = "json:/sim/iccid"
`

// buildPrograms builds the programs as operators do.
func buildPrograms(t *testing.T, directory string) (sidecar, tool string) {
	t.Helper()
	sidecar, tool = filepath.Join(directory, "sidecar-record"), filepath.Join(directory, "martendrum")
	for _, args := range [][]string{{"build", "-tags", "record", "-o", sidecar, "martendrum/cmd/sidecar"}, {"build", "-o", tool, "martendrum/cmd/martendrum"}} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
	}
	return sidecar, tool
}

// awaitHealthy waits until a sidecar is healthy.
func awaitHealthy(t *testing.T, listen string) proc.Healthy {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		health, err := proc.Health(t.Context(), listen, time.Second)
		if err == nil {
			return health
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// serversHoldingFirst starts servers that hold their first request until hold is closed;
// they end with the test.
func serversHoldingFirst(t *testing.T, hold <-chan struct{}) (*serverGroup, *shop.Shop) {
	t.Helper()
	group := newServerGroup()
	group.behave = onFirstRequest(behavior{hold: hold}) // a nil hold does not wait
	servers, err := shop.NewWith(2, group.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	return group, servers
}

// programFixture is the programs as operators build them, with the servers and the files
// that they use.
type programFixture struct {
	directory     string
	sidecar, tool string
	storeFile     string // the operator's settings of the store
	servers       *serverGroup
	shop          *shop.Shop
}

// newProgramFixture builds the programs. The servers' first request waits for hold, unless
// that is nil.
func newProgramFixture(t *testing.T, hold <-chan struct{}) *programFixture {
	t.Helper()
	f := &programFixture{directory: t.TempDir()}
	f.sidecar, f.tool = buildPrograms(t, f.directory)
	f.storeFile = filepath.Join(f.directory, "record.toml")
	f.servers, f.shop = serversHoldingFirst(t, hold)
	return f
}

// writeFile writes a file in the fixture's directory.
func (f *programFixture) writeFile(name, content string) {
	os.WriteFile(filepath.Join(f.directory, name), []byte(content), 0o600)
}

// run starts a sidecar, which is killed with the test, and returns its log.
func (f *programFixture) run(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	command, log := exec.Command(f.sidecar), new(bytes.Buffer)
	command.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "MARTENDRUM_RECORD="+f.storeFile)
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { command.Process.Kill() })
	return command, log
}

// record runs a subcommand of `martendrum record`.
func (f *programFixture) record(args ...string) (output string, err error) {
	out, err := exec.Command(f.tool, append([]string{"record", "--config", f.storeFile}, args...)...).CombinedOutput()
	return string(out), err
}

// expectRecord runs a subcommand and compares its exit code and a part of its output.
func (f *programFixture) expectRecord(t *testing.T, code int, says string, args ...string) {
	t.Helper()
	output, err := f.record(args...)
	got := 0
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		got = exit.ExitCode()
	}
	if got != code || !strings.Contains(output, says) {
		t.Errorf("record %v: exit %d, %s; want %d and %q", args, got, output, code, says)
	}
}

// runNumbered starts the n-th of several sidecars and returns where it listens.
func (f *programFixture) runNumbered(t *testing.T, n int) (command *exec.Cmd, log *bytes.Buffer, listen string) {
	t.Helper()
	config, listen, err := f.shop.Config(f.directory, fmt.Sprint("n", n), 60010+n)
	if err != nil {
		t.Fatal(err)
	}
	command, log = f.run(t, config)
	return command, log, listen
}

// awaitStatus waits until a sidecar's status of the store has a text.
func awaitStatus(t *testing.T, listen, want string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		health, err := proc.Health(t.Context(), listen, time.Second)
		if err == nil && strings.Contains(health.Record, want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v %v; want %q", health, err, want)
		}
	}
}

// TestProgramsOnPostgres runs two sidecars and the commands on one database: a repeat is
// answered at the other sidecar, a start does not need the database, and one that it may
// not use is reported at start.
func TestProgramsOnPostgres(t *testing.T) {
	f := newProgramFixture(t, nil)
	database, err := pgserver.Start(pgserver.Config{User: "kasir", Password: "rahasia"})
	if err != nil {
		t.Fatal(err)
	}
	defer database.Close()
	f.writeFile("password", "rahasia\n")
	f.writeFile("record.toml", strings.Replace(recordFile, `store = "sqlite"`,
		fmt.Sprintf("store = \"postgres\"\n[postgres]\nurl = %q\npassword_file = \"password\"", database.URL()), 1))
	request := clientRequest{class: "activate", key: "896211"}
	database.SetRejecting(true)
	_, _, first := f.runNumbered(t, 1)
	awaitStatus(t, first, "postgres; ")
	if response, err := sendRequest(first, request, nil); err != nil || response.status != http.StatusServiceUnavailable || f.servers.runCount(request) > 0 {
		t.Errorf("%+v %v", response, err)
	}
	database.SetRejecting(false)
	_, _, second := f.runNumbered(t, 2)
	awaitStatus(t, second, "breaker=closed")
	awaitStatus(t, first, "breaker=closed")
	awaitServed(t, first, request)
	if response, err := sendRequest(second, request, nil); err != nil || response.body != "done: activate 896211" || f.servers.runCount(request) != 1 {
		t.Errorf("%+v %v, ran %d times", response, err, f.servers.runCount(request))
	}
	for args, says := range map[string]string{"look activate 896211": "done: activate 896211", "list": "896211", "stats": "answered       1", "check": "no damage", "compact": "", "export": "896211"} {
		if output, err := f.record(strings.Fields(args)...); err != nil || !strings.Contains(output, says) {
			t.Errorf("%s: %v %s", args, err, output)
		}
	}
	f.writeFile("password", "wrong\n")
	third, log, _ := f.runNumbered(t, 3)
	if err := third.Wait(); err == nil || !strings.Contains(log.String(), "password_file") {
		t.Errorf("%v %s", err, log)
	}
}

// awaitServed sends a request until it is served.
func awaitServed(t *testing.T, address string, request clientRequest) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		response, err := sendRequest(address, request, nil)
		if err == nil && response.status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v %v", response, err)
		}
	}
}

// TestPrograms kills a sidecar with a request in flight: its successor does not send it
// again, staff settles it, and the key is forwarded. Then it makes the store unusable.
func TestPrograms(t *testing.T) {
	hold := make(chan struct{})
	f := newProgramFixture(t, hold)
	defer close(hold)
	config, listen, err := f.shop.Config(f.directory, "n1", 60001)
	if err != nil {
		t.Fatal(err)
	}
	f.writeFile("record.toml", recordFile)
	request := clientRequest{class: "activate", key: "896210"}
	f.testKilledInFlight(t, config, listen, request)
	second, log := f.run(t, config)
	awaitHealthy(t, listen)
	f.testSettle(t, listen, request)
	second.Process.Signal(os.Interrupt)
	if err := second.Wait(); err != nil {
		t.Errorf("%v %s", err, log)
	}
	f.expectRecord(t, 0, "", "compact")
	f.testDamagedFile(t, config)
	f.testInvalidSettings(t, config)
}

// testKilledInFlight kills a sidecar while a server has its request.
func (f *programFixture) testKilledInFlight(t *testing.T, config, listen string, request clientRequest) {
	t.Helper()
	first, _ := f.run(t, config)
	if health := awaitHealthy(t, listen); !strings.HasPrefix(health.Record, "sqlite; breaker=closed; queued=0") {
		t.Errorf("%+v", health)
	}
	done := make(chan clientResponse, 1)
	go func() {
		response, _ := sendRequest(listen, request, nil)
		done <- response
	}()
	f.servers.awaitRun(t, request)
	f.expectRecord(t, 0, "in-flight", "look", "activate", "896210")
	f.expectRecord(t, 1, "only what may have run", "settle", "activate", "896210", "--ran")
	f.expectRecord(t, 3, fmt.Sprint("locked by process ", first.Process.Pid), "compact")
	first.Process.Kill()
	first.Wait()
	if response := <-done; response.status != 0 {
		t.Errorf("%+v", response)
	}
}

// testSettle settles the key that may have run, with the commands around it.
func (f *programFixture) testSettle(t *testing.T, listen string, request clientRequest) {
	t.Helper()
	if response, err := sendRequest(listen, request, nil); err != nil || response.status != http.StatusConflict || !strings.HasPrefix(response.recordState, "may-have-run") {
		t.Errorf("%+v %v", response, err)
	}
	f.expectRecord(t, 0, "896210", "list", "--state", "may-have-run")
	f.expectRecord(t, 0, `"state": "may-have-run"`, "list", "--json", "--class", "activate")
	f.expectRecord(t, 2, "--state x", "list", "--state", "x")
	f.expectRecord(t, 1, "may-have-run   1", "stats")
	f.expectRecord(t, 2, "ran never-ran", "settle", "activate", "896210")
	f.expectRecord(t, 0, "nothing was changed", "settle", "activate", "896210", "--never-ran", "--dry-run")
	f.expectRecord(t, 0, "settled by sari", "settle", "activate", "896210", "--never-ran", "--who", "sari", "--note", "asked the registry")
	if response, err := sendRequest(listen, request, nil); err != nil || response.status != http.StatusOK {
		t.Errorf("%+v %v", response, err)
	}
	f.expectRecord(t, 0, "done: activate 896210", "look", "activate", "896210")
	f.expectRecord(t, 1, "no key", "look", "activate", "other")
	f.expectRecord(t, 0, `"answer"`, "export")
	f.expectRecord(t, 0, "no damage", "check")
	f.expectRecord(t, 0, `"answered": 1`, "stats", "--json")
	f.expectRecord(t, 2, "unknown command", "explode")
}

// testDamagedFile checks that a damaged file stops the start and the commands, with the
// next step, and restores it.
func (f *programFixture) testDamagedFile(t *testing.T, config string) {
	t.Helper()
	path := filepath.Join(f.directory, "record.db")
	content, _ := os.ReadFile(path)
	os.WriteFile(path, bytes.Repeat([]byte("noise"), 5000), 0o600)
	third, log := f.run(t, config)
	if err := third.Wait(); err == nil || !strings.Contains(log.String(), path) || !strings.Contains(log.String(), "move them aside") {
		t.Errorf("%v %s", err, log)
	}
	f.expectRecord(t, 3, path, "list")
	os.WriteFile(path, content, 0o600)
	f.expectRecord(t, 0, "896210", "list")
}

// testInvalidSettings checks that invalid settings stop the start, with the place.
func (f *programFixture) testInvalidSettings(t *testing.T, config string) {
	t.Helper()
	for content, want := range map[string]string{
		"store = \"oracle\"":                        "store: \"oracle\"",
		recordFile + "colour = 1":                   "record.toml:11: unknown key",
		recordFile + "away = \"pass\"":              "class activate: away: its requests must not run twice",
		strings.Replace(recordFile, "id-r", "r", 1): "the settings have no class of that name",
		strings.Replace(recordFile, "json:", "", 1): "class activate: key",
		strings.Replace(recordFile, "0.5", "5", 1):  "wait.share",
	} {
		f.writeFile("record.toml", content)
		command, log := f.run(t, config)
		if err := command.Wait(); err == nil || !strings.Contains(log.String(), want) {
			t.Errorf("%v %s; want it to say %q", err, log, want)
		}
	}
}
