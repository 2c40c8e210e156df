package agent

import (
	"log/slog"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// recoverInstance takes over an instance that no record names and that runs: the record was
// lost. What it runs stays, and is what is wanted, if that release is kept here.
func (a *Agent) recoverInstance(row *store.Instance, found map[string]proc.Found, boot string) {
	for launch, f := range found {
		generation, ok := a.generation(launch, row.Name)
		if !ok || generation < row.Process { // of two the later one; find looks after the other
			continue
		}
		row.Desired, row.Generation = api.Running, generation
		setRunning(row, launch, generation, f, boot)
		if row.Running != "" && a.releases.Verify(row.Running) == nil {
			row.Release = row.Running
		}
		slog.Warn("an instance that no record names was found running", "instance", row.Name, "pid", f.PID, "generation", generation)
	}
}

// generation is the generation in the name of a launch of that instance.
func (a *Agent) generation(launch, name string) (generation int64, ok bool) {
	rest, ok := strings.CutPrefix(launch, a.config.Name+"/"+name+"/")
	text, _, _ := strings.Cut(rest, "/")
	generation, err := strconv.ParseInt(text, 10, 64)
	return generation, ok && err == nil && generation >= 1
}

// setRunning makes a process that was found the row's.
func setRunning(row *store.Instance, launch string, generation int64, f proc.Found, boot string) {
	row.Launch, row.Process, row.PID, row.Ticks, row.Boot, row.Running = launch, generation, f.PID, f.Ticks, boot, ""
	if hash := filepath.Base(filepath.Dir(f.Exe)); release.Valid(hash) {
		row.Running = hash
	}
}

// findPreviousProcess looks for a process that was being replaced when the agent ended: its launch
// is not the row's any more. It is the instance's process again if the new one has not
// come about. It says whether the row has changed.
func (a *Agent) findPreviousProcess(i *instance, launch string, found map[string]proc.Found, boot string, now time.Time) bool {
	for other, f := range found {
		generation, ok := a.generation(other, i.config.Name)
		if !ok || other == launch {
			continue
		}
		p, err := a.machine.Adopt(a.ctx, f.PID, f.Ticks)
		if err != nil {
			continue
		}
		slog.Info("a process that was being replaced was found", "instance", i.config.Name, "pid", f.PID, "launch", other)
		old := i.stored
		setRunning(&old, other, generation, f, boot)
		if i.process != nil {
			i.previous, i.storedPrevious = p, old
			i.supervisor.AdoptOld(generation)
			return false
		}
		i.process, i.stored = p, old
		i.supervisor.Adopt(now, generation)
		if i.exitedGeneration != 0 {
			i.supervisor.AdoptFailed(i.exitedGeneration, i.stored.LastExit)
			i.exitedGeneration = 0
		}
		return true
	}
	return false
}

// findProcess looks for the process that the record speaks of, and says whether the row
// has changed.
func (a *Agent) findProcess(i *instance, found map[string]proc.Found, boot string, now time.Time) bool {
	row := &i.stored
	if row.Launch == "" {
		return false
	}
	pid, ticks := row.PID, row.Ticks
	if pid == 0 || row.Boot != boot {
		// Written before its start, which may have come about or not.
		pid, ticks = found[row.Launch].PID, found[row.Launch].Ticks
	}
	if pid != 0 {
		if p, err := a.machine.Adopt(a.ctx, pid, ticks); err == nil {
			i.process = p
			i.supervisor.Adopt(now, row.Process)
			fresh := row.PID != pid
			row.PID, row.Ticks, row.Boot = pid, ticks, boot
			return fresh
		}
	}
	if row.PID != 0 {
		// It ran, and ended while nobody looked.
		row.LastExit = "ended while the agent was away"
		i.exitedGeneration = row.Process
	}
	row.Launch, row.PID, row.Process, row.Running = "", 0, 0, ""
	return true
}
