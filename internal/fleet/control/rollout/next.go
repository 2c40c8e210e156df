package rollout

import "martendrum/internal/fleet/api"

// Next returns the steps to begin now, which then count as running. It returns nothing
// while the rollout waits. When the rollout ends, it returns a single Action without a
// Kind, and after that nothing.
func (m *Machine) Next() []Action {
	if m.result != "" {
		return nil
	}
	p := m.newStepPlanner()
	wait := m.running() > 0
	switch {
	case m.aborted || m.stuck:
	case m.stopReason == "":
		wait = p.planChanges() || m.moreStages || wait
	case m.rollsBack() && m.changing() == 0:
		wait = p.planRollbacks() || wait
	}
	if len(p.actions) == 0 && !wait {
		m.result = m.end()
		return []Action{{}}
	}
	return p.actions
}

// stepPlanner collects the steps of one call of Next within the policy's limits.
type stepPlanner struct {
	machine     *Machine
	unavailable int           // number of unavailable targets, including those that the collected steps take down
	inGroup     map[group]int // the same number for each group that has a limit
	actions     []Action
}

// newStepPlanner returns a planner that has counted the unavailable targets.
func (m *Machine) newStepPlanner() *stepPlanner {
	p := &stepPlanner{machine: m, inGroup: make(map[group]int)}
	for i := range m.targets {
		if t := &m.targets[i]; m.unavailable(t) {
			p.unavailable++
			for _, g := range t.groups(&m.policy) {
				p.inGroup[g]++
			}
		}
	}
	return p
}

// planChanges begins changes in the first batch with an unfinished target. It reports
// whether the rollout waits for a pending target of that batch.
func (p *stepPlanner) planChanges() (wait bool) {
	m := p.machine
	batch := -1
	for i := range m.targets[:m.openTargets] {
		t := &m.targets[i]
		if !m.unfinished(t) {
			continue
		}
		if batch < 0 {
			batch = t.Batch
		}
		if t.Batch == batch && t.State == Pending {
			wait = true
			if !m.silent[t.Host] {
				p.begin(i, api.Change)
			}
		}
	}
	return wait
}

// planRollbacks begins rollbacks. Those of unavailable targets come first, because they
// take no capacity away. It reports whether a target is still to be rolled back.
func (p *stepPlanner) planRollbacks() (wait bool) {
	m := p.machine
	for _, down := range []bool{true, false} {
		for i := range m.targets {
			t := &m.targets[i]
			if (t.State == Failed || t.State == Changed) && !t.rollbackStarted && !m.gaveUp[t.Host] && i >= m.rollbackStart() {
				wait = true
				if t.down == down && !m.silent[t.Host] {
					p.begin(i, api.Rollback)
				}
			}
		}
	}
	return wait
}

// begin adds a step for the target with index i, unless the step would make more targets
// unavailable than allowed.
func (p *stepPlanner) begin(i int, kind string) {
	m := p.machine
	t := &m.targets[i]
	if !m.unavailable(t) && !p.reserve(t) {
		return
	}
	t.State, t.Reason = Changing, ""
	if kind == api.Rollback {
		t.State, t.rollbackStarted = RollingBack, true
	}
	p.actions = append(p.actions, Action{Target: i, Kind: kind})
}

// reserve counts a target as unavailable if the limits of the policy and of all its
// groups allow it.
func (p *stepPlanner) reserve(t *Target) bool {
	if p.unavailable >= p.machine.policy.MaxUnavailable {
		return false
	}
	groups := t.groups(&p.machine.policy)
	for _, g := range groups {
		if p.inGroup[g] >= g.limit {
			return false
		}
	}
	for _, g := range groups {
		p.inGroup[g]++
	}
	p.unavailable++
	return true
}

// groups returns the groups of the target for which the policy limits how many may be
// unavailable at once.
func (t *Target) groups(p *api.Policy) (out []group) {
	for _, g := range []group{{"host", t.Host, p.MaxHost}, {"zone", t.Place.Zone, p.MaxZone}, {"shop", t.Place.Shop, p.MaxShop}} {
		if g.limit > 0 && g.name != "" {
			out = append(out, g)
		}
	}
	return out
}

// group is a host, a zone or a shop, with a limit on its unavailable targets.
type group struct {
	kind, name string // kind is "host", "zone" or "shop"
	limit      int
}

// running counts running steps, including those of silent hosts that the rollout
// still waits for.
func (m *Machine) running() (n int) {
	for i := range m.targets {
		t := &m.targets[i]
		if t.State == Changing || t.State == RollingBack || t.State == Unknown && !m.gaveUp[t.Host] {
			n++
		}
	}
	return n
}

// unavailable reports whether a target counts against the policy's MaxUnavailable.
func (m *Machine) unavailable(t *Target) bool {
	return t.down || m.silent[t.Host] || t.State == Changing || t.State == RollingBack || t.State == Unknown
}

// rollsBack reports whether the policy rolls changed targets back on failure.
func (m *Machine) rollsBack() bool {
	return m.policy.OnFailure == api.OnFailureRollback || m.policy.OnFailure == api.OnFailureRollbackStage
}

// rollbackStart is the index of the first target that a rollback includes.
func (m *Machine) rollbackStart() int {
	if m.policy.OnFailure == api.OnFailureRollbackStage {
		return m.stageStart
	}
	return 0
}

// changing counts running changes, including those of silent hosts that the rollout still
// waits for. Rollbacks begin only after all changes have ended.
func (m *Machine) changing() (n int) {
	for i := range m.targets {
		if t := &m.targets[i]; t.State == Changing || t.State == Unknown && !t.rollbackStarted && !m.gaveUp[t.Host] {
			n++
		}
	}
	return n
}

// end returns the result of a rollout in which no step runs and none can begin.
func (m *Machine) end() string {
	counts, notRolledBack := make(map[State]int), 0
	for i := range m.targets {
		s := m.targets[i].State
		counts[s]++
		if i >= m.rollbackStart() && (s == Changed || s == Failed || s == Unknown) {
			notRolledBack++
		}
	}
	switch {
	case m.aborted:
		return Aborted
	case counts[Changed] == len(m.targets):
		return Succeeded
	case counts[RollbackFailed] > 0, m.stopReason != "" && m.rollsBack() && notRolledBack > 0:
		return RollbackIncomplete
	case m.stopReason != "" && m.rollsBack():
		return AllRolledBack
	case m.stopReason != "" && m.policy.OnFailure == api.OnFailurePause:
		return Paused
	case m.stopReason != "":
		return Stopped
	case counts[Pending]+counts[Unknown] > 0:
		return Incomplete
	}
	return SomeFailed
}
