package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/host/proc"
)

// checkAgainstProcesses compares the agents' reports of each instance with /proc and health calls:
// an instance that should run has exactly one process, of the reported pid, generation and release,
// which answers health calls if it is reported ready. An instance that should not run has no
// process.
func (w *world) checkAgainstProcesses(states []client.HostState) {
	w.t.Helper()
	found := proc.Find(w.prefix)
	for _, hs := range states {
		for _, i := range hs.Instances {
			var launches []string
			pid := 0
			for launch, f := range found {
				if strings.HasPrefix(launch, hs.Host.Name+"/"+i.Name+"/") {
					launches, pid = append(launches, launch), f.PID
				}
			}
			want := 1
			if i.Desired != api.Running {
				want = 0
			}
			if len(launches) != want {
				w.t.Errorf("%s with desired state %s has the processes %v, want %d", i.Name, i.Desired, launches, want)
				continue
			}
			if want == 0 {
				if i.PID != 0 || i.State != "stopped" {
					w.t.Errorf("%s without a process is reported %s with pid %d, want stopped with pid 0", i.Name, i.State, i.PID)
				}
				continue
			}
			// A process that continues to serve after a failed upgrade is reported at a later
			// generation than the one in the name of its launch.
			launched := strings.Contains(launches[0], fmt.Sprintf("/%d/", i.Generation)) || strings.Contains(i.Reason, "continues to serve")
			if pid != i.PID || !launched || i.Process != i.Generation {
				w.t.Errorf("%s is reported with pid %d at generation %d, desired generation %d; its process has pid %d and launch %v; want them to agree", i.Name, i.PID, i.Process, i.Generation, pid, launches)
			}
			if exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); err != nil || !strings.Contains(exe, "/"+i.Release+"/") || i.Running != i.Release {
				w.t.Errorf("%s is reported to run release %.12s, desired release %.12s; its process runs %s, error %v; want them to agree", i.Name, i.Running, i.Release, exe, err)
			}
			if _, err := proc.Health(context.Background(), i.Listen, 5*time.Second); (err == nil) != (i.State == "ready") {
				w.t.Errorf("%s is reported %s, but its health call gives error %v; want an error exactly if it is not ready", i.Name, i.State, err)
			}
		}
	}
}

// rowsByInstance checks that a report contains each target of the operation exactly once, and
// returns the report's rows by instance.
func (w *world) rowsByInstance(rep *client.Report, op api.Operation) map[string]client.InstanceResult {
	w.t.Helper()
	rows := make(map[string]client.InstanceResult)
	for _, r := range rep.Rows {
		if _, twice := rows[r.Instance]; twice {
			w.t.Errorf("report contains %s twice, want once", r.Instance)
		}
		rows[r.Instance] = r
	}
	if len(rows) != len(op.Targets) {
		w.t.Errorf("report contains %d instances, want %d", len(rows), len(op.Targets))
	}
	return rows
}
