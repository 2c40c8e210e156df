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

// storeSettings is the content of an operator's settings file for the store.
const storeSettings = `store = "sqlite"
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

// buildPrograms builds the sidecar with the idempotency store and the martendrum tool into a
// directory, and returns their paths.
func buildPrograms(t *testing.T, directory string) (sidecar, tool string) {
	t.Helper()
	sidecar, tool = filepath.Join(directory, "sidecar-record"), filepath.Join(directory, "martendrum")
	for _, args := range [][]string{{"build", "-tags", "record", "-o", sidecar, "martendrum/cmd/sidecar"}, {"build", "-o", tool, "martendrum/cmd/martendrum"}} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			t.Fatalf("go %v: %v\n%s", args, err, out)
		}
	}
	return sidecar, tool
}

// awaitHealthy waits until the health check of the sidecar at an address succeeds, and returns its
// result.
func awaitHealthy(t *testing.T, listen string) proc.HealthReport {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		health, err := proc.Health(t.Context(), listen, time.Second)
		if err == nil {
			return health
		}
		if time.Now().After(deadline) {
			t.Fatalf("the sidecar at %s is not healthy after %v: %v", listen, testTimeout, err)
		}
	}
}

// serversHoldingFirst starts two servers and a discovery that lists them. The servers answer their
// first request when hold is closed, or at once if hold is nil. They are stopped when the test ends.
func serversHoldingFirst(t *testing.T, hold <-chan struct{}) (*serverGroup, *shop.Shop) {
	t.Helper()
	group := newServerGroup()
	group.behave = onFirstRequest(behavior{hold: hold})
	servers, err := shop.NewWith(2, group.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	return group, servers
}

// programFixture consists of the programs as operators build them, and the servers and files that
// they use.
type programFixture struct {
	directory     string
	sidecar, tool string // the programs' paths
	storeFile     string // path of the settings file for the store
	servers       *serverGroup
	shop          *shop.Shop
}

// newProgramFixture builds the programs and starts the servers. The servers answer their first
// request when hold is closed, or at once if hold is nil.
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

// run starts a sidecar with the configuration file at the path config, and returns its process and
// its log. The log may be read only after the process has exited. The process is killed when the
// test ends.
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

// record runs a subcommand of `martendrum record` and returns its combined output. err is an
// *exec.ExitError if the exit code is not 0.
func (f *programFixture) record(args ...string) (output string, err error) {
	out, err := exec.Command(f.tool, append([]string{"record", "--config", f.storeFile}, args...)...).CombinedOutput()
	return string(out), err
}

// expectRecord runs a subcommand of `martendrum record` and checks its exit code and that its output
// contains wantText.
func (f *programFixture) expectRecord(t *testing.T, wantCode int, wantText string, args ...string) {
	t.Helper()
	output, err := f.record(args...)
	code := 0
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		code = exit.ExitCode()
	}
	if code != wantCode || !strings.Contains(output, wantText) {
		t.Errorf("martendrum record %v: exit code %d, output %s; want code %d and output with %q", args, code, output, wantCode, wantText)
	}
}

// runNumbered starts the n-th of several sidecars, with an address of its own, and returns its process,
// its log and the address at which it listens.
func (f *programFixture) runNumbered(t *testing.T, n int) (command *exec.Cmd, log *bytes.Buffer, listen string) {
	t.Helper()
	config, listen, err := f.shop.Config(f.directory, fmt.Sprint("n", n), 60010+n)
	if err != nil {
		t.Fatal(err)
	}
	command, log = f.run(t, config)
	return command, log, listen
}

// awaitStatus waits until the store's status, in a sidecar's health check, contains a text.
func awaitStatus(t *testing.T, listen, want string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		health, err := proc.Health(t.Context(), listen, time.Second)
		if err == nil && strings.Contains(health.Record, want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("last health check got %+v, error %v; want a store status with %q", health, err, want)
		}
	}
}

// TestProgramsOnPostgres runs two sidecars and the subcommands of `martendrum record` on one database. A
// repeat at the other sidecar must get the stored answer. A sidecar must start while the database is
// unavailable, but must not start if the database rejects its password.
func TestProgramsOnPostgres(t *testing.T) {
	f := newProgramFixture(t, nil)
	database, err := pgserver.Start(pgserver.Config{User: "kasir", Password: "rahasia"})
	if err != nil {
		t.Fatal(err)
	}
	defer database.Close()
	f.writeFile("password", "rahasia\n")
	f.writeFile("record.toml", strings.Replace(storeSettings, `store = "sqlite"`,
		fmt.Sprintf("store = \"postgres\"\n[postgres]\nurl = %q\npassword_file = \"password\"", database.URL()), 1))
	request := clientRequest{class: "activate", key: "896211"}
	database.SetRejecting(true)
	_, _, first := f.runNumbered(t, 1)
	awaitStatus(t, first, "postgres; ")
	if response, err := sendRequest(first, request, nil); err != nil || response.status != http.StatusServiceUnavailable || f.servers.runCount(request) > 0 {
		t.Errorf("request without a database: got %+v, error %v, ran %d times; want status 503 and no run", response, err, f.servers.runCount(request))
	}
	database.SetRejecting(false)
	_, _, second := f.runNumbered(t, 2)
	awaitStatus(t, second, "breaker=closed")
	awaitStatus(t, first, "breaker=closed")
	awaitServed(t, first, request)
	if response, err := sendRequest(second, request, nil); err != nil || response.body != "done: activate 896211" || f.servers.runCount(request) != 1 {
		t.Errorf("repeat at the second sidecar: got %+v, error %v, ran %d times; want the stored answer and 1 run", response, err, f.servers.runCount(request))
	}
	for args, wantText := range map[string]string{"look activate 896211": "done: activate 896211", "list": "896211", "stats": "answered       1", "check": "no damage", "compact": "", "export": "896211"} {
		if output, err := f.record(strings.Fields(args)...); err != nil || !strings.Contains(output, wantText) {
			t.Errorf("martendrum record %s: %v, output %s; want success and output with %q", args, err, output, wantText)
		}
	}
	f.writeFile("password", "wrong\n")
	third, log, _ := f.runNumbered(t, 3)
	if err := third.Wait(); err == nil || !strings.Contains(log.String(), "password_file") {
		t.Errorf("start with a wrong password: %v, log %s; want a failure that names password_file", err, log)
	}
}

// awaitServed sends a request repeatedly until it is answered with status 200.
func awaitServed(t *testing.T, address string, request clientRequest) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		response, err := sendRequest(address, request, nil)
		if err == nil && response.status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("request is not served after %v: last response %+v, error %v", testTimeout, response, err)
		}
	}
}

// TestPrograms kills a sidecar with a request in flight. The next process must not send the request
// again until an operator has settled its key as never run. The test then damages the store's
// file, and writes invalid settings for the store.
func TestPrograms(t *testing.T) {
	hold := make(chan struct{})
	f := newProgramFixture(t, hold)
	defer close(hold)
	config, listen, err := f.shop.Config(f.directory, "n1", 60001)
	if err != nil {
		t.Fatal(err)
	}
	f.writeFile("record.toml", storeSettings)
	request := clientRequest{class: "activate", key: "896210"}
	f.testKilledInFlight(t, config, listen, request)
	second, log := f.run(t, config)
	awaitHealthy(t, listen)
	f.testSettle(t, listen, request)
	second.Process.Signal(os.Interrupt)
	if err := second.Wait(); err != nil {
		t.Errorf("exit of the sidecar after an interrupt: %v, log %s; want exit code 0", err, log)
	}
	f.expectRecord(t, 0, "", "compact")
	f.testDamagedFile(t, config)
	f.testInvalidSettings(t, config)
}

// testKilledInFlight kills a sidecar while a server handles its request. Before that it checks the
// subcommands on a key in flight and on a locked store.
func (f *programFixture) testKilledInFlight(t *testing.T, config, listen string, request clientRequest) {
	t.Helper()
	first, _ := f.run(t, config)
	if health := awaitHealthy(t, listen); !strings.HasPrefix(health.Record, "sqlite; breaker=closed; queued=0") {
		t.Errorf("health check of the first sidecar: got %+v, want an SQLite store that is idle", health)
	}
	done := make(chan clientResponse, 1)
	go func() {
		response, _ := sendRequest(listen, request, nil)
		done <- response
	}()
	f.servers.awaitRun(t, request)
	f.expectRecord(t, 0, "in-flight", "look", "activate", "896210")
	f.expectRecord(t, 1, "only a key whose request may have run", "settle", "activate", "896210", "--ran")
	f.expectRecord(t, 3, fmt.Sprint("locked by process ", first.Process.Pid), "compact")
	first.Process.Kill()
	first.Wait()
	if response := <-done; response.status != 0 {
		t.Errorf("client of the killed sidecar: got %+v, want no response", response)
	}
}

// testSettle checks that the request may have run, settles its key as never run with the subcommands,
// and checks that the request is then sent.
func (f *programFixture) testSettle(t *testing.T, listen string, request clientRequest) {
	t.Helper()
	if response, err := sendRequest(listen, request, nil); err != nil || response.status != http.StatusConflict || !strings.HasPrefix(response.recordState, "may-have-run") {
		t.Errorf("repeat before the key is settled: got %+v, error %v; want status 409 and may-have-run", response, err)
	}
	f.expectRecord(t, 0, "896210", "list", "--state", "may-have-run")
	f.expectRecord(t, 0, `"state": "may-have-run"`, "list", "--json", "--class", "activate")
	f.expectRecord(t, 2, "--state x", "list", "--state", "x")
	f.expectRecord(t, 1, "may-have-run   1", "stats")
	f.expectRecord(t, 2, "ran never-ran", "settle", "activate", "896210")
	f.expectRecord(t, 0, "nothing was changed", "settle", "activate", "896210", "--never-ran", "--dry-run")
	f.expectRecord(t, 0, "settled by sari", "settle", "activate", "896210", "--never-ran", "--who", "sari", "--note", "asked the registry")
	if response, err := sendRequest(listen, request, nil); err != nil || response.status != http.StatusOK {
		t.Errorf("repeat after the key is settled: got %+v, error %v; want status 200", response, err)
	}
	f.expectRecord(t, 0, "done: activate 896210", "look", "activate", "896210")
	f.expectRecord(t, 1, "no key", "look", "activate", "other")
	f.expectRecord(t, 0, `"answer"`, "export")
	f.expectRecord(t, 0, "no damage", "check")
	f.expectRecord(t, 0, `"answered": 1`, "stats", "--json")
	f.expectRecord(t, 2, "unknown command", "explode")
}

// testDamagedFile checks that neither a sidecar nor a subcommand uses a damaged file, and that the
// error names the file and what to do. Then it restores the file.
func (f *programFixture) testDamagedFile(t *testing.T, config string) {
	t.Helper()
	path := filepath.Join(f.directory, "record.db")
	content, _ := os.ReadFile(path)
	os.WriteFile(path, bytes.Repeat([]byte("noise"), 5000), 0o600)
	third, log := f.run(t, config)
	if err := third.Wait(); err == nil || !strings.Contains(log.String(), path) || !strings.Contains(log.String(), "move them aside") {
		t.Errorf("start with a damaged file: %v, log %s; want a failure that names %s and the next step", err, log, path)
	}
	f.expectRecord(t, 3, path, "list")
	os.WriteFile(path, content, 0o600)
	f.expectRecord(t, 0, "896210", "list")
}

// testInvalidSettings checks that a sidecar does not start with invalid settings for the store, and
// that its log names the invalid setting.
func (f *programFixture) testInvalidSettings(t *testing.T, config string) {
	t.Helper()
	for content, want := range map[string]string{
		"store = \"oracle\"":                           "store: \"oracle\"",
		storeSettings + "colour = 1":                   "record.toml:11: unknown key",
		storeSettings + "away = \"pass\"":              "class activate: away: its requests must not run twice",
		strings.Replace(storeSettings, "id-r", "r", 1): "the settings have no class of that name",
		strings.Replace(storeSettings, "json:", "", 1): "class activate: key",
		strings.Replace(storeSettings, "0.5", "5", 1):  "wait.share",
	} {
		f.writeFile("record.toml", content)
		command, log := f.run(t, config)
		if err := command.Wait(); err == nil || !strings.Contains(log.String(), want) {
			t.Errorf("start with the settings %q: %v, log %s; want a failure that contains %q", content, err, log, want)
		}
	}
}
