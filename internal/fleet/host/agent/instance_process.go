package agent

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

// carryOut carries out what life asks for.
func (a *Agent) carryOut(i *instance, kinds []supervisor.Kind) {
	for len(kinds) > 0 {
		k := kinds[0]
		kinds = kinds[1:]
		switch k {
		case supervisor.Launch:
			kinds = append(kinds, a.launch(i)...)
		case supervisor.Term:
			a.signal(i, i.process, syscall.SIGTERM)
		case supervisor.Kill:
			a.signal(i, i.process, syscall.SIGKILL)
		case supervisor.TermOld:
			a.signal(i, i.previous, syscall.SIGTERM)
		case supervisor.KillOld:
			a.signal(i, i.previous, syscall.SIGKILL)
		}
	}
}

func (a *Agent) signal(i *instance, p *Process, sig syscall.Signal) {
	if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Error("signal failed", "instance", i.config.Name, "signal", sig, "err", err)
	}
	a.mu.Lock()
	a.notifyChanged()
	a.mu.Unlock()
}

// sideBySide says whether a new generation of i may start beside its process: for an
// upgrade, where that one says that it hands over. Whether the new release does shows
// when it is tried; a way back is only taken beside what serves where that is known.
func (a *Agent) sideBySide(i *instance) bool {
	s := i.step
	return a.config.Sidecar.HandOver && i.canHandover && s != nil &&
		(s.Action == api.ActUpgrade && s.Kind == api.Change || (s.Action == api.ActUpgrade || s.Action == api.ActRollback) && a.canHandover[i.stored.Release])
}

// restorePrevious makes the process that was being replaced the instance's again, and the row's.
func (i *instance) restorePrevious() {
	row, old := &i.stored, &i.storedPrevious
	row.Launch, row.Process, row.Running, row.PID, row.Ticks, row.Boot, row.Launched =
		old.Launch, old.Process, old.Running, old.PID, old.Ticks, old.Boot, old.Launched
	i.process, i.previous, i.storedPrevious = i.previous, nil, store.Instance{}
}

// launch starts a process of the wanted generation: it is written down first, and
// carries a name by which it is found if what follows can't be.
func (a *Agent) launch(i *instance) []supervisor.Kind {
	a.mu.Lock()
	row := i.stored
	if row.Generation != i.supervisor.Generation() || row.Desired != api.Running {
		a.mu.Unlock() // it has changed since: the next round sees
		i.wakeUp()
		return nil
	}
	row.Launch = fmt.Sprintf("%s/%s/%d/%s.%s", a.config.Name, row.Name, row.Generation, a.stateID, random())
	if i.exitedGeneration == row.Generation {
		row.Restarts++
	}
	row.Process, row.Running, row.PID, row.Ticks, row.Boot = row.Generation, row.Release, 0, 0, ""
	row.Launched = time.Now()
	if err := a.commit(&store.Change{Instances: []store.Instance{row}}); err != nil {
		i.launchRetryAt = time.Now().Add(retryInterval)
		a.mu.Unlock()
		return nil
	}
	if i.process != nil { // beside it
		i.previous, i.storedPrevious = i.process, i.stored
	}
	i.stored = row
	a.mu.Unlock()

	p, err := a.startProcess(i, row)

	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err != nil {
		i.stored.Launch, i.stored.Process, i.stored.Running = "", 0, ""
		i.stored.LastExit = err.Error()
		if i.previous != nil {
			i.restorePrevious()
		} else {
			i.exitedGeneration = row.Generation
		}
		kinds := i.supervisor.LaunchFailed(now, err.Error())
		a.persistOrMarkDirty(i, nil)
		return kinds
	}
	i.process, i.configHash, i.recordState, i.canHandover = p, "", "", false
	i.programStarted(i.stored.Running, now)
	i.stored.PID, i.stored.Ticks, i.stored.Boot = p.PID, p.Ticks, a.machine.Boot()
	kinds := i.supervisor.Launched(now)
	a.persistOrMarkDirty(i, nil)
	return kinds
}

// startProcess checks the release, writes the configuration and starts the process.
func (a *Agent) startProcess(i *instance, row store.Instance) (*Process, error) {
	if err := a.releases.Verify(row.Release); err != nil {
		return nil, err
	}
	if err := a.configure(i, row.Release, random()); err != nil {
		return nil, err
	}
	env := append(os.Environ(), "BALANCER_NAME="+row.Name, "BALANCER_LISTEN="+i.config.listen, "BALANCER_CONFIG="+a.configPath(row.Name),
		"MARTENDRUM_RECORD="+i.config.Record, "MARTENDRUM_FLEET="+a.config.Sidecar.Fleet) // also where it has none: not the agent's own
	if a.config.Sidecar.HandOver {
		env = append(env, "TMPDIR="+a.handoverPath())
	}
	keep := ""
	if a.config.Recovery.Checkpoint {
		keep = filepath.Join(a.config.StateDir, "instances", row.Name+".checkpoint")
	}
	env = append(env, "MARTENDRUM_CHECKPOINT="+keep)
	return a.machine.Start(proc.Spec{
		Launch: row.Launch, Path: a.releases.Path(row.Release, release.Sidecar), Dir: a.config.StateDir, Env: env, Log: a.logPath(row.Name),
	})
}

// processExited takes a process's end, and returns what to do at once.
func (a *Agent) processExited(i *instance, p *Process) []supervisor.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.process != p {
		return nil
	}
	now := time.Now()
	how := p.Exit()
	if i.previous != nil {
		slog.Warn("a new process ended while the one before it was there", "instance", i.config.Name, "pid", p.PID, "how", how)
		i.restorePrevious()
		i.stored.LastExit, i.configHash, i.canHandover = how, "", true
		kinds := i.supervisor.Exited(now, how)
		a.persistOrMarkDirty(i, nil)
		return i.afterExit(kinds)
	}
	if i.supervisor.Phase() != supervisor.Draining {
		i.exitedGeneration = i.stored.Process
		slog.Warn("sidecar ended on its own", "instance", i.config.Name, "pid", p.PID, "how", how)
	}
	i.process, i.configHash, i.recordState = nil, "", ""
	i.stored.Launch, i.stored.PID, i.stored.Process, i.stored.Running, i.stored.LastExit = "", 0, 0, "", how
	kinds := i.supervisor.Exited(now, how)
	a.persistOrMarkDirty(i, nil)
	return i.afterExit(kinds)
}

// previousExited takes the end of a process that was being replaced.
func (a *Agent) previousExited(i *instance, p *Process) []supervisor.Kind {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.previous != p {
		return nil
	}
	i.stored.LastExit = p.Exit()
	i.previous, i.storedPrevious = nil, store.Instance{}
	kinds := i.supervisor.OldExited(time.Now())
	a.persistOrMarkDirty(i, nil)
	return i.afterExit(kinds)
}

// afterExit is what to do at once after a process's end: all but launches, which are left to
// the next round. That asks with what is wanted by then.
func (i *instance) afterExit(kinds []supervisor.Kind) []supervisor.Kind {
	i.wakeUp()
	return withoutLaunch(kinds)
}

func withoutLaunch(kinds []supervisor.Kind) []supervisor.Kind {
	return slices.DeleteFunc(kinds, func(k supervisor.Kind) bool { return k == supervisor.Launch })
}

// checkHealth makes a health call and takes what it tells.
func (a *Agent) checkHealth(i *instance, p *Process) {
	says, err := a.machine.Health(a.ctx, i.config.listen, healthTimeout)
	why := ""
	if err != nil {
		why = err.Error()
	}
	select {
	case <-p.Done:
		return // of whoever listens there now
	default:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.process != p || a.ctx.Err() != nil {
		return
	}
	if err == nil && i.previous != nil && says.Launch != i.stored.Launch {
		return // the one being replaced: both take clients for a while
	}
	before := i.supervisor.Phase()
	i.supervisor.Health(time.Now(), err == nil, why)
	if err == nil {
		i.configHash, i.recordState, i.canHandover = says.ConfigSum, says.Record, says.Launch != ""
		a.canHandover[i.stored.Running] = i.canHandover
	}
	if i.supervisor.Phase() != before {
		a.notifyChanged()
	}
}
