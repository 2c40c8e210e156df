package agent

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
)

const (
	// healthTimeout is how long a health call may take.
	healthTimeout = 800 * time.Millisecond
	// activeInterval is how often an instance is looked at while it starts or changes.
	activeInterval = 50 * time.Millisecond
	// retryInterval is how soon what the record kept from being done is tried again.
	retryInterval = time.Second
	// minReloadAge is the least age of a process that gets SIGHUP: a sidecar that has
	// just begun may not listen for it yet, and would end.
	minReloadAge = 1200 * time.Millisecond
	// reloadTimeout is how soon a sidecar must tell that it runs a new configuration.
	reloadTimeout = 5 * time.Second
)

// instance is one sidecar. Its goroutine, run, alone moves life and proc; the
// agent's lock guards them all the same, for those who look.
type instance struct {
	config InstanceConfig
	wake   chan struct{}

	stored           store.Instance
	supervisor       *supervisor.Supervisor
	process          *Process
	step             *api.Step // under way, nil for none
	dirty            bool      // the record may lack its row or steps
	exitedGeneration int64     // generation of a process that ended on its own, the latest
	configHash       string    // of the configuration that the process says it runs
	recordState      string    // how it says that its store of record does
	canHandover      bool      // it says that it can hand over
	abandonReason    string    // why a new process beside an old one is to be given up

	history sampleHistory // of its figures

	previous       *Process       // the process being replaced, nil for none
	storedPrevious store.Instance // the row as it told of prev

	applier *distribution.Applier // of distributed settings; nil: the host does not subscribe
	attempt *settingsAttempt      // of the applier, nil for none
	// attemptCrashes counts the processes that ended in an attempt since the last answer.
	attemptCrashes int
	program        string // the release of the latest process, "" if none is known
	// settledAt is the revision at which the instance last waited for no settings.
	settledAt distribution.Revision
	// pendingReported says that the relay was told of settings that the instance waits for.
	pendingReported bool

	writtenConfigHash string    // of the configuration last written for it
	reloadSentAt      time.Time // of the step's SIGHUP
	launchRetryAt     time.Time
}

func (i *instance) wakeUp() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// superviseInstance looks after one instance until the agent ends.
func (a *Agent) superviseInstance(i *instance) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var healthAt time.Time
	for first := true; ; first = false {
		a.mu.Lock()
		now := time.Now()
		if first && i.exitedGeneration != 0 && i.process == nil && i.stored.Desired == api.Running && i.exitedGeneration == i.stored.Generation {
			// It ended while nobody looked: a crash like another.
			i.supervisor.Want(now, true, i.stored.Generation)
			i.supervisor.Adopt(now, i.exitedGeneration)
			i.supervisor.Exited(now, i.stored.LastExit)
		}
		i.supervisor.SetSideBySide(a.sideBySide(i))
		kinds := i.supervisor.Want(now, i.stored.Desired == api.Running, i.stored.Generation)
		if i.abandonReason != "" {
			kinds = append(kinds, i.supervisor.GiveUp(now, i.abandonReason)...)
			i.abandonReason = ""
		}
		held := a.powerReturn.mustWait(now.Sub(a.started), i)
		if now.Before(i.launchRetryAt) || held {
			kinds = withoutLaunch(kinds) // asked for again then
		}
		a.mu.Unlock()
		a.carryOut(i, kinds)
		a.checkStep(i)
		settingsDue := a.applySettings(i)

		a.mu.Lock()
		p, next := i.process, i.supervisor.Next()
		near := held || i.step != nil || i.attempt != nil || i.supervisor.Phase() == supervisor.Starting
		a.mu.Unlock()
		if p != nil && !time.Now().Before(healthAt) {
			a.health(i, p)
			each := time.Duration(a.config.Limits.HealthInterval)
			each = each*9/10 + rand.N(each/5) // so that many agents' instances don't fall into step
			if near {
				each = min(each, activeInterval)
			}
			healthAt = time.Now().Add(each)
			a.checkStep(i)
			settingsDue = a.applySettings(i)
		}
		wait := time.Hour
		until := func(t time.Time) {
			if !t.IsZero() {
				wait = min(wait, max(time.Until(t), time.Millisecond))
			}
		}
		until(next)
		until(settingsDue)
		if p != nil {
			until(healthAt)
		}
		if near {
			wait = min(wait, activeInterval)
		}
		if time.Now().Before(i.launchRetryAt) {
			until(i.launchRetryAt)
		}
		timer.Reset(wait)
		a.mu.Lock()
		prev := i.previous
		a.mu.Unlock()
		var done, prevDone <-chan struct{}
		if p != nil {
			done = p.Done
		}
		if prev != nil {
			prevDone = prev.Done
		}
		select {
		case <-a.ctx.Done():
			return
		case <-i.wake:
			healthAt = time.Time{}
		case <-timer.C:
		case <-done:
			a.carryOut(i, a.processExited(i, p))
			healthAt = time.Time{}
		case <-prevDone:
			a.carryOut(i, a.previousExited(i, prev))
		}
	}
}

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

	p, err := a.start(i, row)

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

// start checks the release, writes the configuration and starts the process.
func (a *Agent) start(i *instance, row store.Instance) (*Process, error) {
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

// configure writes an instance's configuration, with the distributed settings that it
// accepted last.
func (a *Agent) configure(i *instance, hash, seed string) error {
	a.mu.Lock()
	var settings []distribution.Resource
	if i.applier != nil {
		settings = i.applier.Accepted()
	}
	a.mu.Unlock()
	_, err := a.configureWith(i, hash, settings, seed)
	return err
}

// configureWith writes an instance's configuration with the given distributed settings, and
// returns its sum.
func (a *Agent) configureWith(i *instance, hash string, settings []distribution.Resource, seed string) (sum string, err error) {
	base, err := os.ReadFile(i.config.Config)
	if err != nil {
		return "", err
	}
	overlay, err := os.ReadFile(a.releases.Path(hash, release.Overlay))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	data, err := render(base, overlay, settings, seed)
	if err != nil {
		return "", err
	}
	if err := writeFile(a.configPath(i.config.Name), data); err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i.writtenConfigHash = fmt.Sprintf("%x", sha256.Sum256(data))
	return i.writtenConfigHash, nil
}

// health makes a health call and takes what it tells.
func (a *Agent) health(i *instance, p *Process) {
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

// checkStep sees whether the step under way has come to its end.
func (a *Agent) checkStep(i *instance) {
	a.mu.Lock()
	s := i.step
	if s == nil || i.supervisor.Generation() != i.stored.Generation || i.supervisor.Wanted() != (i.stored.Desired == api.Running) {
		a.mu.Unlock()
		return
	}
	if s.Action == api.ActReload && s.Kind == api.Change || s.Action == api.ActSettings {
		a.mu.Unlock()
		a.reload(i, s)
		return
	}
	defer a.mu.Unlock()
	a.evaluateStep(i, s, time.Now())
}

func (a *Agent) evaluateStep(i *instance, s *api.Step, now time.Time) {
	l := i.supervisor
	if i.stored.Desired != api.Running {
		if l.Process() == 0 {
			a.endStep(i, s, true, i.stored.LastExit)
		}
		return
	}
	begun := s.Started
	if a.started.After(begun) {
		begun = a.started // time that the agent was away is not the instance's
	}
	failed, how := l.Failed()
	switch {
	case l.Old() != 0 && l.Phase() == supervisor.Ready: // the one before it still ends
	case l.Old() != 0 && l.Phase() == supervisor.Starting && now.Sub(later(i.stored.Launched, a.started)) > s.Ready:
		if i.abandonReason == "" {
			i.abandonReason = fmt.Sprintf("not ready within %v: %s", s.Ready, l.Reason())
			i.wakeUp()
		}
	case l.Process() != 0 && l.Old() == 0 && failed == s.Generation && failed != l.Process():
		// What serves is what is wanted now: a restart of the agent must not try again.
		l.KeepPrevious()
		i.stored.Process, i.stored.Release, i.stored.Previous = i.stored.Generation, s.From, s.Before
		a.endStep(i, s, false, "the new process failed and the one before it serves on: "+how)
	case l.Process() == s.Generation && l.Phase() == supervisor.Ready:
		if now.Sub(l.Since()) >= s.Soak {
			a.endStep(i, s, true, "")
		}
	case i.exitedGeneration >= s.Generation && l.Process() == 0:
		a.endStep(i, s, false, "it ended by itself: "+i.stored.LastExit)
	case l.Process() == s.Generation && l.Phase() == supervisor.Unready:
		a.endStep(i, s, false, "it became unready while it was soaked: "+l.Reason())
	case l.Process() == s.Generation && now.Sub(later(i.stored.Launched, a.started)) > s.Ready:
		a.endStep(i, s, false, fmt.Sprintf("not ready within %v: %s", s.Ready, l.Reason()))
	case now.Sub(begun) > time.Duration(a.config.Limits.KillAfter)+s.Ready+s.Soak+10*time.Second:
		a.endStep(i, s, false, "it could not be started in time: "+l.Reason()+a.unwritable)
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// endStep ends a step.
func (a *Agent) endStep(i *instance, s *api.Step, ok bool, reason string) {
	next := *s
	next.Status, next.Reason, next.Finished = api.StepFailed, reason, time.Now()
	if ok {
		next.Status = api.StepOK
	}
	a.steps[stepKey{s.Op, s.Instance, s.Kind}] = &next
	i.step, i.reloadSentAt = nil, time.Time{}
	if s.Action == api.ActSettings {
		a.settingsStepEnded(i, s, ok)
	}
	a.persistOrMarkDirty(i, &next)
}

// settingsStepEnded puts an instance's row right after a change of settings: what runs is what
// was taken over, and if that was not, what is wanted and its file are as before.
func (a *Agent) settingsStepEnded(i *instance, s *api.Step, ok bool) {
	if ok {
		if i.process != nil {
			i.stored.Running = s.To
		}
		return
	}
	i.stored.Release, i.stored.Previous = s.From, s.Before
	a.wg.Go(func() { // writes a file, without the lock
		if err := a.configure(i, s.From, random()); err != nil {
			slog.Error("an instance's file holds settings that it turned down", "instance", i.config.Name, "err", err)
		}
	})
}

// lastLogProblem is the last warning or error in a log.
func lastLogProblem(path string) string {
	b, _, err := readTail(path, -16<<10, 16<<10)
	if err == nil {
		lines := strings.Split(string(b), "\n")
		for _, line := range slices.Backward(lines) {
			if strings.Contains(line, "level=ERROR") || strings.Contains(line, "level=WARN") {
				return fmt.Sprintf("%.300s", line)
			}
		}
	}
	return "its log tells why"
}

// reload brings a reload on its way: configuration, SIGHUP, and the sidecar's own
// word that it runs it. To do all that again after a restart of the agent does no harm.
func (a *Agent) reload(i *instance, s *api.Step) {
	a.mu.Lock()
	now := time.Now()
	p, hup := i.process, i.reloadSentAt
	waits := i.supervisor.Phase() == supervisor.Starting && now.Sub(later(i.stored.Launched, a.started)) < s.Ready ||
		p != nil && now.Sub(i.stored.Launched) < minReloadAge
	switch {
	case waits && hup.IsZero():
		a.mu.Unlock()
		return
	case p == nil || i.supervisor.Phase() != supervisor.Ready:
		a.endStep(i, s, false, fmt.Sprintf("it is %s: %s", i.supervisor.Phase(), i.supervisor.Reason()))
		a.mu.Unlock()
		return
	case !hup.IsZero() && i.configHash == "" && now.Sub(hup) > time.Second:
		a.endStep(i, s, true, "not confirmed: this release does not tell which configuration it runs")
		a.mu.Unlock()
		return
	case !hup.IsZero() && i.configHash == i.writtenConfigHash:
		a.endStep(i, s, true, "")
		a.mu.Unlock()
		return
	case !hup.IsZero():
		if now.Sub(hup) > reloadTimeout {
			a.endStep(i, s, false, "it kept its earlier configuration: "+lastLogProblem(a.logPath(i.config.Name)))
		}
		a.mu.Unlock()
		return
	}
	hash := i.stored.Running
	if s.Action == api.ActSettings {
		hash = s.To
	}
	a.mu.Unlock()
	err := a.configure(i, hash, random())
	if err == nil {
		err = p.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.endStep(i, s, false, err.Error())
		return
	}
	i.reloadSentAt = now
}

// instanceStatus is the instance as the API tells it.
func (a *Agent) instanceStatus(i *instance) api.Instance {
	out := api.Instance{
		Name: i.config.Name, Host: a.config.Name, Labels: maps.Clone(i.config.Labels), Listen: i.config.listen,
		Desired: i.stored.Desired, State: string(i.supervisor.Phase()), Reason: i.supervisor.Reason(),
		Release: i.stored.Release, Running: i.stored.Running, Previous: i.stored.Previous,
		Generation: i.stored.Generation, Process: i.stored.Process, PID: i.stored.PID,
		Launched: i.stored.Launched, Since: i.supervisor.Since(), Restarts: i.stored.Restarts, LastExit: i.stored.LastExit,
		Record: i.recordState, AdminAddress: i.config.adminAddress, Rate: i.history.rate(),
	}
	if l := a.leases.ByInstance[i.config.Name]; l.Live(time.Now()) {
		out.LeaseHolder = l.Holder
	}
	for _, o := range a.operations {
		if o.State != api.OpClosed && a.isTarget(&o.Operation, i.config.Name) {
			out.Operation = o.ID
		}
	}
	return out
}

func (a *Agent) isTarget(o *api.Operation, instance string) bool {
	for _, t := range o.Targets {
		if t.Host == a.config.Name && t.Instance == instance {
			return true
		}
	}
	return false
}

// readTail reads the end of a file, or from an offset on.
func readTail(path string, offset int64, limit int) ([]byte, int64, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, 0, err
	}
	if offset < 0 {
		offset = max(0, st.Size()+offset)
	}
	if offset > st.Size() {
		offset = 0 // it was rotated
	}
	buf := make([]byte, min(int64(limit), st.Size()-offset))
	n, err := f.ReadAt(buf, offset)
	if n < len(buf) && err != nil {
		return nil, 0, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return buf[:n], offset + int64(n), nil
}
