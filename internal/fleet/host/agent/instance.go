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
	// maxHealth is how long a health call may take.
	maxHealth = 800 * time.Millisecond
	// closeInterval is how often an instance is looked at while it starts or changes.
	closeInterval = 50 * time.Millisecond
	// retryInterval is how soon what the record kept from being done is tried again.
	retryInterval = time.Second
	// hupAfter is the least age of a process that gets SIGHUP: a sidecar that has
	// just begun may not listen for it yet, and would end.
	hupAfter = 1200 * time.Millisecond
	// hupWithin is how soon a sidecar must tell that it runs a new configuration.
	hupWithin = 5 * time.Second
)

// instance is one sidecar. Its goroutine, run, alone moves life and proc; the
// agent's lock guards them all the same, for those who look.
type instance struct {
	cfg  InstanceConfig
	wake chan struct{}

	row    store.Instance
	life   *supervisor.Supervisor
	proc   *Process
	step   *api.Step // under way, nil for none
	dirty  bool      // the record may lack its row or steps
	gone   int64     // generation of a process that ended on its own, the latest
	sum    string    // of the configuration that the process says it runs
	record string    // how it says that its store of record does
	hands  bool      // it says that it can hand over
	late   string    // why a new process beside an old one is to be given up

	ring ring // of its figures

	prev    *Process       // the process being replaced, nil for none
	prevRow store.Instance // the row as it told of prev

	applier *distribution.Applier // of distributed settings; nil: the host does not subscribe
	attempt *settingsAttempt      // of the applier, nil for none
	// attemptCrashes counts the processes that ended in an attempt since the last answer.
	attemptCrashes int
	program        string // the release of the latest process, "" if none is known
	// settledAt is the revision at which the instance last waited for no settings.
	settledAt distribution.Revision
	// pendingReported says that the relay was told of settings that the instance waits for.
	pendingReported bool

	wantSum string    // of the configuration last written for it
	hupAt   time.Time // of the step's SIGHUP
	retryAt time.Time
}

func (i *instance) poke() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// run looks after one instance until the agent ends.
func (a *Agent) run(i *instance) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var healthAt time.Time
	for first := true; ; first = false {
		a.mu.Lock()
		now := time.Now()
		if first && i.gone != 0 && i.proc == nil && i.row.Desired == api.Running && i.gone == i.row.Generation {
			// It ended while nobody looked: a crash like another.
			i.life.Want(now, true, i.row.Generation)
			i.life.Adopt(now, i.gone)
			i.life.Exited(now, i.row.LastExit)
		}
		i.life.SetSideBySide(a.beside(i))
		kinds := i.life.Want(now, i.row.Desired == api.Running, i.row.Generation)
		if i.late != "" {
			kinds = append(kinds, i.life.GiveUp(now, i.late)...)
			i.late = ""
		}
		held := a.back.holds(now.Sub(a.started), i)
		if now.Before(i.retryAt) || held {
			kinds = withoutLaunch(kinds) // asked for again then
		}
		a.mu.Unlock()
		a.act(i, kinds)
		a.observe(i)
		settingsDue := a.applySettings(i)

		a.mu.Lock()
		p, next := i.proc, i.life.Next()
		near := held || i.step != nil || i.attempt != nil || i.life.Phase() == supervisor.Starting
		a.mu.Unlock()
		if p != nil && !time.Now().Before(healthAt) {
			a.health(i, p)
			each := time.Duration(a.cfg.Limits.HealthInterval)
			each = each*9/10 + rand.N(each/5) // so that many agents' instances don't fall into step
			if near {
				each = min(each, closeInterval)
			}
			healthAt = time.Now().Add(each)
			a.observe(i)
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
			wait = min(wait, closeInterval)
		}
		if time.Now().Before(i.retryAt) {
			until(i.retryAt)
		}
		timer.Reset(wait)
		a.mu.Lock()
		prev := i.prev
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
			a.act(i, a.exited(i, p))
			healthAt = time.Time{}
		case <-prevDone:
			a.act(i, a.oldExited(i, prev))
		}
	}
}

// act carries out what life asks for.
func (a *Agent) act(i *instance, kinds []supervisor.Action) {
	for len(kinds) > 0 {
		k := kinds[0]
		kinds = kinds[1:]
		switch k {
		case supervisor.Launch:
			kinds = append(kinds, a.launch(i)...)
		case supervisor.Terminate:
			a.signal(i, i.proc, syscall.SIGTERM)
		case supervisor.Kill:
			a.signal(i, i.proc, syscall.SIGKILL)
		case supervisor.TerminatePrevious:
			a.signal(i, i.prev, syscall.SIGTERM)
		case supervisor.KillPrevious:
			a.signal(i, i.prev, syscall.SIGKILL)
		}
	}
}

func (a *Agent) signal(i *instance, p *Process, sig syscall.Signal) {
	if err := p.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Error("signal failed", "instance", i.cfg.Name, "signal", sig, "err", err)
	}
	a.mu.Lock()
	a.bump()
	a.mu.Unlock()
}

// beside says whether a new generation of i may start beside its process: for an
// upgrade, where that one says that it hands over. Whether the new release does shows
// when it is tried; a way back is only taken beside what serves where that is known.
func (a *Agent) beside(i *instance) bool {
	s := i.step
	return a.cfg.Sidecar.HandOver && i.hands && s != nil &&
		(s.Action == api.ActUpgrade && s.Kind == api.Change || (s.Action == api.ActUpgrade || s.Action == api.ActRollback) && a.hands[i.row.Release])
}

// putBack makes the process that was being replaced the instance's again, and the row's.
func (i *instance) putBack() {
	row, old := &i.row, &i.prevRow
	row.Launch, row.Process, row.Running, row.PID, row.Ticks, row.Boot, row.Launched =
		old.Launch, old.Process, old.Running, old.PID, old.Ticks, old.Boot, old.Launched
	i.proc, i.prev, i.prevRow = i.prev, nil, store.Instance{}
}

// launch starts a process of the wanted generation: it is written down first, and
// carries a name by which it is found if what follows can't be.
func (a *Agent) launch(i *instance) []supervisor.Action {
	a.mu.Lock()
	row := i.row
	if row.Generation != i.life.Generation() || row.Desired != api.Running {
		a.mu.Unlock() // it has changed since: the next round sees
		i.poke()
		return nil
	}
	row.Launch = fmt.Sprintf("%s/%s/%d/%s.%s", a.cfg.Name, row.Name, row.Generation, a.id, random())
	if i.gone == row.Generation {
		row.Restarts++
	}
	row.Process, row.Running, row.PID, row.Ticks, row.Boot = row.Generation, row.Release, 0, 0, ""
	row.Launched = time.Now()
	if err := a.commit(&store.Change{Instances: []store.Instance{row}}); err != nil {
		i.retryAt = time.Now().Add(retryInterval)
		a.mu.Unlock()
		return nil
	}
	if i.proc != nil { // beside it
		i.prev, i.prevRow = i.proc, i.row
	}
	i.row = row
	a.mu.Unlock()

	p, err := a.start(i, row)

	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if err != nil {
		i.row.Launch, i.row.Process, i.row.Running = "", 0, ""
		i.row.LastExit = err.Error()
		if i.prev != nil {
			i.putBack()
		} else {
			i.gone = row.Generation
		}
		kinds := i.life.LaunchFailed(now, err.Error())
		a.told(i, nil)
		return kinds
	}
	i.proc, i.sum, i.record, i.hands = p, "", "", false
	i.programStarted(i.row.Running, now)
	i.row.PID, i.row.Ticks, i.row.Boot = p.PID, p.Ticks, a.machine.Boot()
	kinds := i.life.Launched(now)
	a.told(i, nil)
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
	env := append(os.Environ(), "BALANCER_NAME="+row.Name, "BALANCER_LISTEN="+i.cfg.listen, "BALANCER_CONFIG="+a.configPath(row.Name),
		"MARTENDRUM_RECORD="+i.cfg.Record, "MARTENDRUM_FLEET="+a.cfg.Sidecar.Fleet) // also where it has none: not the agent's own
	if a.cfg.Sidecar.HandOver {
		env = append(env, "TMPDIR="+a.meetPath())
	}
	keep := ""
	if a.cfg.Recovery.Checkpoint {
		keep = filepath.Join(a.cfg.StateDir, "instances", row.Name+".checkpoint")
	}
	env = append(env, "MARTENDRUM_CHECKPOINT="+keep)
	return a.machine.Start(proc.Spec{
		Launch: row.Launch, Path: a.releases.Path(row.Release, release.Sidecar), Dir: a.cfg.StateDir, Env: env, Log: a.logPath(row.Name),
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
	base, err := os.ReadFile(i.cfg.Config)
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
	if err := writeFile(a.configPath(i.cfg.Name), data); err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i.wantSum = fmt.Sprintf("%x", sha256.Sum256(data))
	return i.wantSum, nil
}

// health makes a health call and takes what it tells.
func (a *Agent) health(i *instance, p *Process) {
	says, err := a.machine.Health(a.ctx, i.cfg.listen, maxHealth)
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
	if i.proc != p || a.ctx.Err() != nil {
		return
	}
	if err == nil && i.prev != nil && says.Launch != i.row.Launch {
		return // the one being replaced: both take clients for a while
	}
	before := i.life.Phase()
	i.life.Health(time.Now(), err == nil, why)
	if err == nil {
		i.sum, i.record, i.hands = says.ConfigSum, says.Record, says.Launch != ""
		a.hands[i.row.Running] = i.hands
	}
	if i.life.Phase() != before {
		a.bump()
	}
}

// exited takes a process's end, and returns what to do at once.
func (a *Agent) exited(i *instance, p *Process) []supervisor.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.proc != p {
		return nil
	}
	now := time.Now()
	how := p.Exit()
	if i.prev != nil {
		slog.Warn("a new process ended while the one before it was there", "instance", i.cfg.Name, "pid", p.PID, "how", how)
		i.putBack()
		i.row.LastExit, i.sum, i.hands = how, "", true
		kinds := i.life.Exited(now, how)
		a.told(i, nil)
		return i.ended(kinds)
	}
	if i.life.Phase() != supervisor.Draining {
		i.gone = i.row.Process
		slog.Warn("sidecar ended on its own", "instance", i.cfg.Name, "pid", p.PID, "how", how)
	}
	i.proc, i.sum, i.record = nil, "", ""
	i.row.Launch, i.row.PID, i.row.Process, i.row.Running, i.row.LastExit = "", 0, 0, "", how
	kinds := i.life.Exited(now, how)
	a.told(i, nil)
	return i.ended(kinds)
}

// oldExited takes the end of a process that was being replaced.
func (a *Agent) oldExited(i *instance, p *Process) []supervisor.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i.prev != p {
		return nil
	}
	i.row.LastExit = p.Exit()
	i.prev, i.prevRow = nil, store.Instance{}
	kinds := i.life.PreviousExited(time.Now())
	a.told(i, nil)
	return i.ended(kinds)
}

// ended is what to do at once after a process's end: all but launches, which are left to
// the next round. That asks with what is wanted by then.
func (i *instance) ended(kinds []supervisor.Action) []supervisor.Action {
	i.poke()
	return withoutLaunch(kinds)
}

func withoutLaunch(kinds []supervisor.Action) []supervisor.Action {
	return slices.DeleteFunc(kinds, func(k supervisor.Action) bool { return k == supervisor.Launch })
}

// observe sees whether the step under way has come to its end.
func (a *Agent) observe(i *instance) {
	a.mu.Lock()
	s := i.step
	if s == nil || i.life.Generation() != i.row.Generation || i.life.Wanted() != (i.row.Desired == api.Running) {
		a.mu.Unlock()
		return
	}
	if s.Action == api.ActReload && s.Kind == api.Change || s.Action == api.ActSettings {
		a.mu.Unlock()
		a.reload(i, s)
		return
	}
	defer a.mu.Unlock()
	a.judge(i, s, time.Now())
}

func (a *Agent) judge(i *instance, s *api.Step, now time.Time) {
	l := i.life
	if i.row.Desired != api.Running {
		if l.Process() == 0 {
			a.end(i, s, true, i.row.LastExit)
		}
		return
	}
	begun := s.Started
	if a.started.After(begun) {
		begun = a.started // time that the agent was away is not the instance's
	}
	failed, how := l.Failed()
	switch {
	case l.Previous() != 0 && l.Phase() == supervisor.Ready: // the one before it still ends
	case l.Previous() != 0 && l.Phase() == supervisor.Starting && now.Sub(later(i.row.Launched, a.started)) > s.Ready:
		if i.late == "" {
			i.late = fmt.Sprintf("not ready within %v: %s", s.Ready, l.Reason())
			i.poke()
		}
	case l.Process() != 0 && l.Previous() == 0 && failed == s.Generation && failed != l.Process():
		// What serves is what is wanted now: a restart of the agent must not try again.
		l.AcceptServing()
		i.row.Process, i.row.Release, i.row.Previous = i.row.Generation, s.From, s.Before
		a.end(i, s, false, "the new process failed and the one before it serves on: "+how)
	case l.Process() == s.Generation && l.Phase() == supervisor.Ready:
		if now.Sub(l.Since()) >= s.Soak {
			a.end(i, s, true, "")
		}
	case i.gone >= s.Generation && l.Process() == 0:
		a.end(i, s, false, "it ended by itself: "+i.row.LastExit)
	case l.Process() == s.Generation && l.Phase() == supervisor.Unready:
		a.end(i, s, false, "it became unready while it was soaked: "+l.Reason())
	case l.Process() == s.Generation && now.Sub(later(i.row.Launched, a.started)) > s.Ready:
		a.end(i, s, false, fmt.Sprintf("not ready within %v: %s", s.Ready, l.Reason()))
	case now.Sub(begun) > time.Duration(a.cfg.Limits.KillAfter)+s.Ready+s.Soak+10*time.Second:
		a.end(i, s, false, "it could not be started in time: "+l.Reason()+a.unwritable)
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// end ends a step.
func (a *Agent) end(i *instance, s *api.Step, ok bool, reason string) {
	next := *s
	next.Status, next.Reason, next.Finished = api.StepFailed, reason, time.Now()
	if ok {
		next.Status = api.StepOK
	}
	a.steps[stepKey{s.Op, s.Instance, s.Kind}] = &next
	i.step, i.hupAt = nil, time.Time{}
	if s.Action == api.ActSettings {
		a.settled(i, s, ok)
	}
	a.told(i, &next)
}

// settled puts an instance's row right after a change of settings: what runs is what
// was taken over, and if that was not, what is wanted and its file are as before.
func (a *Agent) settled(i *instance, s *api.Step, ok bool) {
	if ok {
		if i.proc != nil {
			i.row.Running = s.To
		}
		return
	}
	i.row.Release, i.row.Previous = s.From, s.Before
	a.wg.Go(func() { // writes a file, without the lock
		if err := a.configure(i, s.From, random()); err != nil {
			slog.Error("an instance's file holds settings that it turned down", "instance", i.cfg.Name, "err", err)
		}
	})
}

// complaint is the last warning or error in a log.
func complaint(path string) string {
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
	p, hup := i.proc, i.hupAt
	waits := i.life.Phase() == supervisor.Starting && now.Sub(later(i.row.Launched, a.started)) < s.Ready ||
		p != nil && now.Sub(i.row.Launched) < hupAfter
	switch {
	case waits && hup.IsZero():
		a.mu.Unlock()
		return
	case p == nil || i.life.Phase() != supervisor.Ready:
		a.end(i, s, false, fmt.Sprintf("it is %s: %s", i.life.Phase(), i.life.Reason()))
		a.mu.Unlock()
		return
	case !hup.IsZero() && i.sum == "" && now.Sub(hup) > time.Second:
		a.end(i, s, true, "not confirmed: this release does not tell which configuration it runs")
		a.mu.Unlock()
		return
	case !hup.IsZero() && i.sum == i.wantSum:
		a.end(i, s, true, "")
		a.mu.Unlock()
		return
	case !hup.IsZero():
		if now.Sub(hup) > hupWithin {
			a.end(i, s, false, "it kept its earlier configuration: "+complaint(a.logPath(i.cfg.Name)))
		}
		a.mu.Unlock()
		return
	}
	hash := i.row.Running
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
		a.end(i, s, false, err.Error())
		return
	}
	i.hupAt = now
}

// status is the instance as the API tells it.
func (a *Agent) status(i *instance) api.Instance {
	out := api.Instance{
		Name: i.cfg.Name, Host: a.cfg.Name, Labels: maps.Clone(i.cfg.Labels), Listen: i.cfg.listen,
		Desired: i.row.Desired, State: string(i.life.Phase()), Reason: i.life.Reason(),
		Release: i.row.Release, Running: i.row.Running, Previous: i.row.Previous,
		Generation: i.row.Generation, Process: i.row.Process, PID: i.row.PID,
		Launched: i.row.Launched, Since: i.life.Since(), Restarts: i.row.Restarts, LastExit: i.row.LastExit,
		Record: i.record, AdminAddress: i.cfg.door, Rate: i.ring.rate(),
	}
	if l := a.leases.ByInstance[i.cfg.Name]; l.Live(time.Now()) {
		out.LeaseHolder = l.Holder
	}
	for _, o := range a.ops {
		if o.State != api.OpClosed && a.targets(&o.Operation, i.cfg.Name) {
			out.Operation = o.ID
		}
	}
	return out
}

func (a *Agent) targets(o *api.Operation, instance string) bool {
	for _, t := range o.Targets {
		if t.Host == a.cfg.Name && t.Instance == instance {
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
