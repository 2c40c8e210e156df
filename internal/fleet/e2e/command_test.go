package e2e

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/host/proc"
)

// The command of an operation is killed as it begins with the first, second, third or fourth
// instance. Other operators see the operation, martendrum resume continues where it stopped, and no
// instance is changed twice.
func TestResumeAfterCommandKilled(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.startAll()
	for kill := 1; kill <= 4; kill++ {
		id := w.killRestartAtBegin(kill)
		if out, _, _ := w.command("operations"); !strings.Contains(out, id) {
			t.Errorf("martendrum operations does not list operation %s:\n%s", id, out)
		}
		// Once the lease at a host has expired, another operation on its instances is rejected with
		// an error that names the operation to resume. A command renews its lease at each host
		// independently, so the leases may expire at different times.
		for _, host := range w.hosts {
			eventually(t, "the lease at "+host.name+" to expire", func() bool {
				_, errs, _ := w.command("restart", "--host", host.name, "--soak", "0s")
				return strings.Contains(errs, "martendrum resume "+id)
			})
		}
		out, errs, code := w.command("resume", id, "--json")
		if code != 0 {
			t.Fatalf("martendrum resume: exit code %d, want 0\n%s%s", code, out, errs)
		}
		if _, _, code := w.command("resume", id); code != 2 && code != 1 {
			t.Errorf("martendrum resume of an operation that has ended: exit code %d, want 1 or 2", code)
		}
		for _, hs := range w.waitReady() {
			for _, i := range hs.Instances {
				if i.Generation != int64(kill)+1 {
					t.Errorf("command killed at instance %d: %s is at generation %d, want %d", kill, i.Name, i.Generation, kill+1)
				}
			}
		}
	}
	w.checkAbortKeepsPending()
}

// killRestartAtBegin runs a command that restarts all instances, kills it as it begins with the
// n-th one, and returns the operation's id.
func (w *world) killRestartAtBegin(n int) (id string) {
	w.t.Helper()
	cmd := exec.Command(filepath.Join(w.binaries, "martendrum"), "--fleet", w.inventoryPath, "restart", "--all", "--lease", "1s", "--soak", "100ms")
	pipe, err := cmd.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	begun := 0
	for sc := bufio.NewScanner(pipe); begun < n && sc.Scan(); {
		if rest, ok := strings.CutPrefix(sc.Text(), "operation "); ok {
			id, _, _ = strings.Cut(rest, ":")
		}
		if strings.Contains(sc.Text(), " begin ") {
			begun++
		}
	}
	cmd.Process.Kill()
	cmd.Wait()
	if begun < n {
		w.t.Fatalf("the command began with %d instances before it ended, want %d", begun, n)
	}
	return id
}

// checkAbortKeepsPending aborts a restart of all instances after the first one. It checks that the
// instances whose step had not begun are reported pending, and that the next operation can restart
// all instances.
func (w *world) checkAbortKeepsPending() {
	w.t.Helper()
	t := w.t
	ctx, cancel := context.WithCancel(context.Background())
	op := w.newOperation(api.ActRestart, nil)
	opt := runOptions()
	opt.TTL = time.Second
	opt.Progress = func(e client.Event) {
		if e.Kind == "ok" {
			cancel()
		}
	}
	rep, err := w.fleet.Start(ctx, op, opt)
	if err != nil || rep.Result != "interrupted" {
		t.Fatalf("cancelled restart: report %+v, error %v, want result \"interrupted\"", rep, err)
	}
	if out, errs, code := w.command("abort", op.ID); code != 0 {
		t.Fatalf("martendrum abort: exit code %d, want 0\n%s%s", code, out, errs)
	}
	eventually(t, "the operation to be reported aborted", func() bool {
		rep, err = w.fleet.Report(context.Background(), op.ID)
		return err == nil && rep.Result == "aborted"
	})
	outcomes := make(map[rollout.State]int)
	for _, r := range rep.Rows {
		outcomes[r.Outcome]++
	}
	if outcomes[rollout.Changed] == 0 || outcomes[rollout.Pending] == 0 || outcomes[rollout.Changed]+outcomes[rollout.Pending] != 4 {
		t.Errorf("outcomes after the abort = %v, want 4 instances, some %s and some %s", outcomes, rollout.Changed, rollout.Pending)
	}
	if out, errs, code := w.command("restart", "--all", "--soak", "0s", "--batch", "100%"); code != 0 {
		t.Errorf("next operation: exit code %d, want 0\n%s%s", code, out, errs)
	}
}

// Each command prints the expected text and exits with the documented code.
func TestCommandOutputAndExitCodes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 1)
	w.startAll()
	for _, c := range []struct {
		args       string
		wantCode   int
		wantOutput string // part of standard output or standard error
	}{
		{"list", 0, "h1-i0"},
		{"list --instance h1*", 0, "h1-i0"},
		{"list --json --state ready --label half=0", 0, `"name": "h0-i0"`},
		{"list --label half", 2, "KEY=VALUE"},
		{"restart", 2, "no instances are selected"},
		{"restart --all --instance x", 2, "no instances are selected"},
		{"restart nobody", 1, "no instance matches"},
		{"restart --all --batch 0", 2, "--batch"},
		{"restart --all --batch 200%", 2, "percentage"},
		{"restart --all --on-failure explode", 2, "on-failure"},
		{"restart --all --on-failure rollback", 2, "valid for upgrade only"},
		{"restart --all --dry-run --batch 50%", 0, "nothing was changed"},
		{"upgrade --all", 2, "binary"},
		{"upgrade --all --binary /none", 2, "/none"},
		{"upgrade --all --binary " + w.inventoryPath, 2, "is not a program"},
		{"inspect h0-i0", 0, "generation"},
		{"inspect nobody", 2, "no host has"},
		{"logs h0-i0", 0, "ready"},
		{"report nothing", 2, "known at no host"},
		{"resume nothing", 1, "known at no host"},
		{"rollback h0-i0 --json", 1, "no earlier release"},
		{"drain h0-i0", 0, "succeeded"},
		{"start h0-i0", 1, "undrain"},
		{"restart h0-i0", 0, "left drained"},
		{"undrain h0-i0", 0, "succeeded"},
		{"stop h0-i0", 0, "succeeded"},
		{"start h0-i0", 0, "succeeded"},
		{"reload --all", 0, "succeeded"},
		{"operations", 0, "undrain"},
		{"audit " + w.hosts[0].name, 0, "op.close"},
		{"completion bash", 0, "martendrum"},
		{"explode", 2, "unknown command"},
		{"--fleet /none list", 2, "MARTENDRUM_FLEET"},
	} {
		out, errs, code := w.command(strings.Fields(c.args)...)
		if code != c.wantCode || !strings.Contains(out+errs, c.wantOutput) {
			t.Errorf("martendrum %s: exit code %d, want %d and output that contains %q:\n%s%s", c.args, code, c.wantCode, c.wantOutput, out, errs)
		}
	}
	for _, hs := range w.waitReady() {
		w.checkAgainstProcesses([]client.HostState{hs})
	}
	w.commandsWithHostsUnavailable()
}

// commandsWithHostsUnavailable kills the two agents one after the other and checks the output and
// exit codes of commands in each state.
func (w *world) commandsWithHostsUnavailable() {
	w.t.Helper()
	t := w.t
	w.hosts[0].kill()
	if _, errs, code := w.command("restart", "--all"); code != 3 || !strings.Contains(errs, "--skip-unreachable") {
		t.Errorf("martendrum restart --all with an unreachable host: exit code %d, want 3 and \"--skip-unreachable\":\n%s", code, errs)
	}
	if out, _, code := w.command("restart", "--all", "--skip-unreachable"); code != 0 || !strings.Contains(out, "h1-i0") {
		t.Errorf("martendrum restart --all --skip-unreachable: exit code %d, want 0 and instance h1-i0:\n%s", code, out)
	}
	if _, errs, code := w.command("list"); code != 1 || !strings.Contains(errs, "1 of 2 hosts") {
		t.Errorf("martendrum list with an unreachable host: exit code %d, want 1 and \"1 of 2 hosts\":\n%s", code, errs)
	}
	w.hosts[1].kill()
	if _, _, code := w.command("list"); code != 3 {
		t.Errorf("martendrum list with all hosts unreachable: exit code %d, want 3", code)
	}
}

// The command martendrum dev starts three sidecars without any configuration, and leaves neither
// processes nor files behind after an interrupt.
func TestDevStartsAndStopsCleanly(t *testing.T) {
	t.Parallel()
	cmd := exec.Command(filepath.Join(programs(t), "martendrum"), "dev")
	before := proc.Find("dev/shop-") // processes of a developer's own martendrum dev
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatalf("starting martendrum dev: %v", err)
	}
	watchdog := time.AfterFunc(eventuallyTimeout, func() { cmd.Process.Kill() })
	defer watchdog.Stop()
	inv, sc := "", bufio.NewScanner(pipe)
	for inv == "" && sc.Scan() {
		_, inv, _ = strings.Cut(sc.Text(), "MARTENDRUM_FLEET=")
	}
	w := &world{t: t, binaries: programs(t), inventoryPath: inv}
	eventually(t, "three sidecars to be ready", func() bool {
		out, _, _ := w.command("list", "--state", "ready")
		return strings.Count(out, "shop-") == 3
	})
	if out, errs, code := w.command("restart", "--all", "--soak", "0s", "--batch", "3"); code != 0 {
		t.Errorf("martendrum restart --all: exit code %d, want 0\n%s%s", code, out, errs)
	}
	cmd.Process.Signal(os.Interrupt)
	for sc.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("martendrum dev after an interrupt: %v, want exit code 0", err)
	}
	for launch, f := range proc.Find("dev/shop-") {
		if _, own := before[launch]; !own {
			t.Errorf("martendrum dev left a sidecar running: %s %v", launch, f)
		}
	}
	if _, err := os.Stat(filepath.Dir(inv)); !os.IsNotExist(err) {
		t.Errorf("folder of martendrum dev after its end: got error %v, want it not to exist", err)
	}
}
