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

// recoverInstance sets the recorded state of an instance from its running process. It is called
// for an instance that is not in the record; such an instance has a process only if the record was
// lost. The process's release becomes the desired one if the state folder has it.
func (a *Agent) recoverInstance(stored *store.Instance, found map[string]proc.Found, boot string) {
	for launch, process := range found {
		generation, ok := a.launchGeneration(launch, stored.Name)
		if !ok || generation < stored.Process { // the later of two processes is used; findPreviousProcess adopts the other
			continue
		}
		stored.Desired, stored.Generation = api.Running, generation
		setRunning(stored, launch, generation, process, boot)
		if stored.Running != "" && a.releases.Verify(stored.Running) == nil {
			stored.Release = stored.Running
		}
		slog.Warn("found a running process of an instance that is not in the record", "instance", stored.Name, "pid", process.PID, "generation", generation)
	}
}

// launchGeneration returns the generation in a launch ID. ok is false if the launch ID is not one
// of the instance with this name.
func (a *Agent) launchGeneration(launch, name string) (generation int64, ok bool) {
	rest, ok := strings.CutPrefix(launch, a.config.Name+"/"+name+"/")
	text, _, _ := strings.Cut(rest, "/")
	generation, err := strconv.ParseInt(text, 10, 64)
	return generation, ok && err == nil && generation >= 1
}

// setRunning sets the fields of stored that describe the instance's process to those of a process
// that was found. The folder of the process's program is named after the release.
func setRunning(stored *store.Instance, launch string, generation int64, process proc.Found, boot string) {
	stored.Launch, stored.Process, stored.PID, stored.Ticks, stored.Boot, stored.Running = launch, generation, process.PID, process.Ticks, boot, ""
	if hash := filepath.Base(filepath.Dir(process.Exe)); release.Valid(hash) {
		stored.Running = hash
	}
}

// findPreviousProcess adopts a process that was being replaced when the agent ended: a process of
// the instance whose launch ID is not launch, the recorded one. If the new process does not run,
// the previous one becomes the instance's process again. It reports whether inst.stored has changed.
func (a *Agent) findPreviousProcess(inst *instance, launch string, found map[string]proc.Found, boot string, now time.Time) bool {
	for other, process := range found {
		generation, ok := a.launchGeneration(other, inst.config.Name)
		if !ok || other == launch {
			continue
		}
		p, err := a.machine.Adopt(a.ctx, process.PID, process.Ticks)
		if err != nil {
			continue
		}
		slog.Info("found a process that was being replaced", "instance", inst.config.Name, "pid", process.PID, "launch", other)
		replaced := inst.stored
		setRunning(&replaced, other, generation, process, boot)
		if inst.process != nil {
			inst.previous, inst.storedPrevious = p, replaced
			inst.supervisor.AdoptPrevious(generation)
			return false
		}
		inst.process, inst.stored = p, replaced
		inst.supervisor.Adopt(now, generation)
		if inst.exitedGeneration != 0 {
			inst.supervisor.AdoptFailed(inst.exitedGeneration, inst.stored.LastExit)
			inst.exitedGeneration = 0
		}
		return true
	}
	return false
}

// findProcess adopts the process that is in the record. If that process no longer runs, it clears
// the process's fields of inst.stored. It reports whether inst.stored has changed.
func (a *Agent) findProcess(inst *instance, found map[string]proc.Found, boot string, now time.Time) bool {
	stored := &inst.stored
	if stored.Launch == "" {
		return false
	}
	pid, ticks := stored.PID, stored.Ticks
	if pid == 0 || stored.Boot != boot {
		// The record holds the launch, but no PID of this boot: the PID was not written, or is from
		// an earlier boot. The process, if it was started, can be found by the launch ID.
		pid, ticks = found[stored.Launch].PID, found[stored.Launch].Ticks
	}
	if pid != 0 {
		if p, err := a.machine.Adopt(a.ctx, pid, ticks); err == nil {
			inst.process = p
			inst.supervisor.Adopt(now, stored.Process)
			changed := stored.PID != pid
			stored.PID, stored.Ticks, stored.Boot = pid, ticks, boot
			return changed
		}
	}
	if stored.PID != 0 {
		// The process was started, and exited while no agent was running.
		stored.LastExit = "exited while no agent was running; its exit status is not known"
		inst.exitedGeneration = stored.Process
	}
	stored.Launch, stored.PID, stored.Process, stored.Running = "", 0, 0, ""
	return true
}
