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

// checkAgainstProcesses compares what the agents report of each instance with what is seen on
// sockets and in /proc: one process, alive, of that generation and release,
// answering where it should.
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
				w.t.Errorf("%s is wanted %s and has the processes %v", i.Name, i.Desired, launches)
				continue
			}
			if want == 0 {
				if i.PID != 0 || i.State != "stopped" {
					w.t.Errorf("%s is reported %s, pid %d; it does not run", i.Name, i.State, i.PID)
				}
				continue
			}
			// A process that serves on after a failed upgrade counts as of a later
			// generation than the one that it was launched as.
			launched := strings.Contains(launches[0], fmt.Sprintf("/%d/", i.Generation)) || strings.Contains(i.Reason, "serves on")
			if pid != i.PID || !launched || i.Process != i.Generation {
				w.t.Errorf("%s is reported as pid %d of generation %d (wanted %d); it is pid %d, %v", i.Name, i.PID, i.Process, i.Generation, pid, launches)
			}
			if exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); err != nil || !strings.Contains(exe, "/"+i.Release+"/") || i.Running != i.Release {
				w.t.Errorf("%s is reported to run %.12s (wanted %.12s) and runs %s, %v", i.Name, i.Running, i.Release, exe, err)
			}
			if _, err := proc.Health(context.Background(), i.Listen, 5*time.Second); (err == nil) != (i.State == "ready") {
				w.t.Errorf("%s is reported %s; its health call: %v", i.Name, i.State, err)
			}
		}
	}
}

// rowsByInstance checks that a report has each target exactly once, and returns its rows by
// instance.
func (w *world) rowsByInstance(rep *client.Report, op api.Operation) map[string]client.InstanceResult {
	w.t.Helper()
	rows := make(map[string]client.InstanceResult)
	for _, r := range rep.Rows {
		if _, twice := rows[r.Instance]; twice {
			w.t.Errorf("%s is in the report twice", r.Instance)
		}
		rows[r.Instance] = r
	}
	if len(rows) != len(op.Targets) {
		w.t.Errorf("%d of %d instances are in the report", len(rows), len(op.Targets))
	}
	return rows
}
