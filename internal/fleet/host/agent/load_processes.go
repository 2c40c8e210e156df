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

// recoverInstance adopts the running process of an instance that the record does not have: the
// record was lost. Its release becomes the desired one if it is in the state folder.
func (a *Agent) recoverInstance(stored *store.Instance, found map[string]proc.Found, boot string) {
	for launch, process := range found {
		generation, ok := a.generation(launch, stored.Name)
		if !ok || generation < stored.Process { // of two processes the later one counts; findPreviousProcess adopts the other
			continue
		}
		stored.Desired, stored.Generation = api.Running, generation
		setRunning(stored, launch, generation, process, boot)
		if stored.Running != "" && a.releases.Verify(stored.Running) == nil {
			stored.Release = stored.Running
		}
		slog.Warn("running instance found that the record does not have", "instance", stored.Name, "pid", process.PID, "generation", generation)
	}
}

// generation returns the generation in the name of a launch, if it is one of this instance.
func (a *Agent) generation(launch, name string) (generation int64, ok bool) {
	rest, ok := strings.CutPrefix(launch, a.config.Name+"/"+name+"/")
	text, _, _ := strings.Cut(rest, "/")
	generation, err := strconv.ParseInt(text, 10, 64)
	return generation, ok && err == nil && generation >= 1
}

// setRunning records a process that was found as the instance's process.
func setRunning(stored *store.Instance, launch string, generation int64, process proc.Found, boot string) {
	stored.Launch, stored.Process, stored.PID, stored.Ticks, stored.Boot, stored.Running = launch, generation, process.PID, process.Ticks, boot, ""
	if hash := filepath.Base(filepath.Dir(process.Exe)); release.Valid(hash) {
		stored.Running = hash
	}
}

// findPreviousProcess adopts a process that was being replaced when the agent ended: its launch is
// not the recorded one. If the new process does not run, the previous one is the instance's
// process again. It says whether i.stored has changed.
func (a *Agent) findPreviousProcess(i *instance, launch string, found map[string]proc.Found, boot string, now time.Time) bool {
	for other, process := range found {
		generation, ok := a.generation(other, i.config.Name)
		if !ok || other == launch {
			continue
		}
		p, err := a.machine.Adopt(a.ctx, process.PID, process.Ticks)
		if err != nil {
			continue
		}
		slog.Info("process found that was being replaced", "instance", i.config.Name, "pid", process.PID, "launch", other)
		replaced := i.stored
		setRunning(&replaced, other, generation, process, boot)
		if i.process != nil {
			i.previous, i.storedPrevious = p, replaced
			i.supervisor.AdoptPrevious(generation)
			return false
		}
		i.process, i.stored = p, replaced
		i.supervisor.Adopt(now, generation)
		if i.exitedGeneration != 0 {
			i.supervisor.AdoptFailed(i.exitedGeneration, i.stored.LastExit)
			i.exitedGeneration = 0
		}
		return true
	}
	return false
}

// findProcess adopts the process that the record names, or records its end. It says whether
// i.stored has changed.
func (a *Agent) findProcess(i *instance, found map[string]proc.Found, boot string, now time.Time) bool {
	stored := &i.stored
	if stored.Launch == "" {
		return false
	}
	pid, ticks := stored.PID, stored.Ticks
	if pid == 0 || stored.Boot != boot {
		// The launch was recorded; whether the process was started is not known.
		pid, ticks = found[stored.Launch].PID, found[stored.Launch].Ticks
	}
	if pid != 0 {
		if p, err := a.machine.Adopt(a.ctx, pid, ticks); err == nil {
			i.process = p
			i.supervisor.Adopt(now, stored.Process)
			changed := stored.PID != pid
			stored.PID, stored.Ticks, stored.Boot = pid, ticks, boot
			return changed
		}
	}
	if stored.PID != 0 {
		// It ran, and exited while no agent ran.
		stored.LastExit = "ended while the agent was away"
		i.exitedGeneration = stored.Process
	}
	stored.Launch, stored.PID, stored.Process, stored.Running = "", 0, 0, ""
	return true
}
