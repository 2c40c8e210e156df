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
func buildPrograms(t *testing.T, dir string) (sidecar, tool string) {
	t.Helper()
	sidecar, tool = filepath.Join(dir, "sidecar-record"), filepath.Join(dir, "martendrum")
	for _, args := range [][]string{{"build", "-tags", "record", "-o", sidecar, "martendrum/cmd/sidecar"}, {"build", "-o", tool, "martendrum/cmd/martendrum"}} {
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", args, err, out)
		}
	}
	return sidecar, tool
}

// awaitHealthy waits until a sidecar's health call is answered well.
func awaitHealthy(t *testing.T, listen string) proc.Healthy {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		h, err := proc.Health(t.Context(), listen, time.Second)
		if err == nil {
			return h
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
	group.behave = onFirstRequest(behavior{hold: hold})
	servers, err := shop.NewWith(2, group.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	return group, servers
}

// Two sidecars and the commands on one database: a repeat is answered at the other one,
// a start does not need the database, and one that it may not use is said at start.
func TestProgramsOnPostgres(t *testing.T) {
	dir := t.TempDir()
	sidecar, tool := buildPrograms(t, dir)
	w := newServerGroup()
	s, err := shop.NewWith(2, w.handle)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	pg, err := pgserver.Start(pgserver.Config{User: "kasir", Password: "rahasia"})
	if err != nil {
		t.Fatal(err)
	}
	defer pg.Close()
	os.WriteFile(filepath.Join(dir, "password"), []byte("rahasia\n"), 0o600)
	file := filepath.Join(dir, "record.toml")
	os.WriteFile(file, []byte(strings.Replace(recordFile, `store = "sqlite"`,
		fmt.Sprintf("store = \"postgres\"\n[postgres]\nurl = %q\npassword_file = \"password\"", pg.URL()), 1)), 0o600)
	run := func(n int) (*exec.Cmd, *bytes.Buffer, string) {
		config, listen, err := s.Config(dir, fmt.Sprint("n", n), 60010+n)
		if err != nil {
			t.Fatal(err)
		}
		c := exec.Command(sidecar)
		c.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "MARTENDRUM_RECORD="+file)
		out := new(bytes.Buffer)
		c.Stderr = out
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Process.Kill() })
		return c, out, listen
	}
	say := func(listen, want string) {
		t.Helper()
		for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			h, err := proc.Health(t.Context(), listen, time.Second)
			if err == nil && strings.Contains(h.Record, want) {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%+v %v; want %q", h, err, want)
			}
		}
	}
	request := clientRequest{class: "activate", key: "896211"}
	pg.SetRefuse(true)
	_, _, first := run(1)
	say(first, "postgres; ")
	if a, err := sendRequest(first, request, nil); err != nil || a.status != http.StatusServiceUnavailable || w.runCount(request) > 0 {
		t.Errorf("%+v %v", a, err)
	}
	pg.SetRefuse(false)
	_, _, second := run(2)
	say(second, "breaker=closed")
	say(first, "breaker=closed")
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		a, err := sendRequest(first, request, nil)
		if err == nil && a.status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v %v", a, err)
		}
	}
	if a, err := sendRequest(second, request, nil); err != nil || a.body != "done: activate 896211" || w.runCount(request) != 1 {
		t.Errorf("%+v %v, ran %d times", a, err, w.runCount(request))
	}
	for args, says := range map[string]string{"look activate 896211": "done: activate 896211", "list": "896211", "stats": "answered       1", "check": "no damage", "compact": "", "export": "896211"} {
		out, err := exec.Command(tool, append([]string{"record", "--config", file}, strings.Fields(args)...)...).CombinedOutput()
		if err != nil || !strings.Contains(string(out), says) {
			t.Errorf("%s: %v %s", args, err, out)
		}
	}
	os.WriteFile(filepath.Join(dir, "password"), []byte("wrong\n"), 0o600)
	third, out, _ := run(3)
	if err := third.Wait(); err == nil || !strings.Contains(out.String(), "password_file") {
		t.Errorf("%v %s", err, out)
	}
}

// The programs as operators build them: the sidecar is killed with a request under way,
// its successor does not send it again, staff settles it, and the key goes through.
func TestPrograms(t *testing.T) {
	dir := t.TempDir()
	sidecar, tool := buildPrograms(t, dir)
	hold := make(chan struct{})
	w, s := serversHoldingFirst(t, hold)
	defer close(hold)
	config, listen, err := s.Config(dir, "n1", 60001)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "record.toml")
	os.WriteFile(file, []byte(recordFile), 0o600)
	run := func(env ...string) (*exec.Cmd, *bytes.Buffer) {
		c := exec.Command(sidecar)
		c.Env = append(append(os.Environ(), "BALANCER_CONFIG="+config, "MARTENDRUM_RECORD="+file), env...)
		var out bytes.Buffer
		c.Stderr = &out
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Process.Kill() })
		return c, &out
	}
	first, _ := run()
	if h := awaitHealthy(t, listen); !strings.HasPrefix(h.Record, "sqlite; breaker=closed; queued=0") {
		t.Errorf("%+v", h)
	}
	request := clientRequest{class: "activate", key: "896210"}
	done := make(chan clientResponse, 1)
	go func() {
		a, _ := sendRequest(listen, request, nil)
		done <- a
	}()
	for deadline := time.Now().Add(testTimeout); w.runCount(request) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no server got it")
		}
	}
	command := func(code int, says string, args ...string) {
		t.Helper()
		out, err := exec.Command(tool, append([]string{"record", "--config", file}, args...)...).CombinedOutput()
		got := 0
		if e, ok := errors.AsType[*exec.ExitError](err); ok {
			got = e.ExitCode()
		}
		if got != code || !strings.Contains(string(out), says) {
			t.Errorf("record %v: exit %d, %s; want %d and %q", args, got, out, code, says)
		}
	}
	command(0, "in-flight", "look", "activate", "896210")
	command(1, "only what may have run", "settle", "activate", "896210", "--ran")
	command(3, fmt.Sprint("locked by process ", first.Process.Pid), "compact")
	first.Process.Kill()
	first.Wait()
	if a := <-done; a.status != 0 {
		t.Errorf("%+v", a)
	}
	second, log := run()
	awaitHealthy(t, listen)
	if a, err := sendRequest(listen, request, nil); err != nil || a.status != http.StatusConflict || !strings.HasPrefix(a.recordState, "may-have-run") {
		t.Errorf("%+v %v", a, err)
	}
	command(0, "896210", "list", "--state", "may-have-run")
	command(0, `"state": "may-have-run"`, "list", "--json", "--class", "activate")
	command(2, "--state x", "list", "--state", "x")
	command(1, "may-have-run   1", "stats")
	command(2, "ran never-ran", "settle", "activate", "896210")
	command(0, "nothing was changed", "settle", "activate", "896210", "--never-ran", "--dry-run")
	command(0, "settled by sari", "settle", "activate", "896210", "--never-ran", "--who", "sari", "--note", "asked the registry")
	if a, err := sendRequest(listen, request, nil); err != nil || a.status != http.StatusOK {
		t.Errorf("%+v %v", a, err)
	}
	command(0, "done: activate 896210", "look", "activate", "896210")
	command(1, "no key", "look", "activate", "other")
	command(0, `"answer"`, "export")
	command(0, "no damage", "check")
	command(0, `"answered": 1`, "stats", "--json")
	command(2, "unknown command", "explode")
	second.Process.Signal(os.Interrupt)
	if err := second.Wait(); err != nil {
		t.Errorf("%v %s", err, log)
	}
	command(0, "", "compact")

	// What can't be used is said at start, with what to do.
	db := filepath.Join(dir, "record.db")
	data, _ := os.ReadFile(db)
	os.WriteFile(db, bytes.Repeat([]byte("noise"), 5000), 0o600)
	third, out := run()
	if err := third.Wait(); err == nil || !strings.Contains(out.String(), db) || !strings.Contains(out.String(), "move them aside") {
		t.Errorf("%v %s", err, out)
	}
	command(3, db, "list")
	os.WriteFile(db, data, 0o600)
	command(0, "896210", "list")
	for text, want := range map[string]string{
		"store = \"oracle\"":                        "store: \"oracle\"",
		recordFile + "colour = 1":                   "record.toml:11: unknown key",
		recordFile + "away = \"pass\"":              "class activate: away: its requests must not run twice",
		strings.Replace(recordFile, "id-r", "r", 1): "the settings have no class of that name",
		strings.Replace(recordFile, "json:", "", 1): "class activate: key",
		strings.Replace(recordFile, "0.5", "5", 1):  "wait.share",
	} {
		os.WriteFile(file, []byte(text), 0o600)
		c, out := run()
		if err := c.Wait(); err == nil || !strings.Contains(out.String(), want) {
			t.Errorf("%v %s; want it to say %q", err, out, want)
		}
	}
}
