package rollout

import "martendrum/internal/fleet/api"

// Next returns the steps to begin now, or the end. It returns nothing while there
// is something to wait for.
func (m *Machine) Next() []Action {
	if m.result != "" {
		return nil
	}
	p := m.newStepPlanner()
	wait := m.running() > 0
	switch {
	case m.aborted || m.stuck:
	case m.tripped == "":
		wait = p.planChanges() || m.more || wait
	case m.back() && m.changing() == 0:
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
	unavailable int           // targets, with those that the collected steps take down
	inGroup     map[group]int // the same by group with a limit
	actions     []Action
}

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

// planChanges begins changes in the first batch with a target that has not come to its
// end. It says whether a target of that batch is still pending.
func (p *stepPlanner) planChanges() (wait bool) {
	m := p.machine
	batch := -1
	for i := range m.targets[:m.open] {
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

// planRollbacks begins rollbacks, those of targets that are down first: putting them
// right takes nothing away. It says whether a target is still to be rolled back.
func (p *stepPlanner) planRollbacks() (wait bool) {
	m := p.machine
	for _, down := range []bool{true, false} {
		for i := range m.targets {
			t := &m.targets[i]
			if (t.State == Failed || t.State == Changed) && !t.back && !m.gaveUp[t.Host] && i >= m.backFrom() {
				wait = true
				if t.down == down && !m.silent[t.Host] {
					p.begin(i, api.Rollback)
				}
			}
		}
	}
	return wait
}

// begin begins a step unless it would make more targets unavailable than allowed.
func (p *stepPlanner) begin(i int, kind string) {
	m := p.machine
	t := &m.targets[i]
	if !m.unavailable(t) && !p.reserve(t) {
		return
	}
	t.State, t.Reason = Changing, ""
	if kind == api.Rollback {
		t.State, t.back = RollingBack, true
	}
	p.actions = append(p.actions, Action{Target: i, Kind: kind})
}

// reserve counts a target as unavailable, in all its groups or not at all.
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

// groups are those of which the policy allows only so many unavailable at once.
func (t *Target) groups(p *api.Policy) (out []group) {
	for _, g := range []group{{"host", t.Host, p.MaxHost}, {"zone", t.Place.Zone, p.MaxZone}, {"shop", t.Place.Shop, p.MaxShop}} {
		if g.limit > 0 && g.name != "" {
			out = append(out, g)
		}
	}
	return out
}

type group struct {
	kind, name string
	limit      int
}

// running counts steps under way, those of silent hosts that are still waited for
// among them.
func (m *Machine) running() (n int) {
	for i := range m.targets {
		t := &m.targets[i]
		if t.State == Changing || t.State == RollingBack || t.State == Unknown && !m.gaveUp[t.Host] {
			n++
		}
	}
	return n
}

// unavailable says whether a target counts as such.
func (m *Machine) unavailable(t *Target) bool {
	return t.down || m.silent[t.Host] || t.State == Changing || t.State == RollingBack || t.State == Unknown
}

// back says whether what was changed is taken back, and backFrom from which target on.
func (m *Machine) back() bool {
	return m.policy.OnFailure == api.OnFailureRollback || m.policy.OnFailure == api.OnFailureRollbackStage
}

func (m *Machine) backFrom() int {
	if m.policy.OnFailure == api.OnFailureRollbackStage {
		return m.from
	}
	return 0
}

// changing counts changes under way: they end before anything is taken back.
func (m *Machine) changing() (n int) {
	for i := range m.targets {
		if t := &m.targets[i]; t.State == Changing || t.State == Unknown && !t.back && !m.gaveUp[t.Host] {
			n++
		}
	}
	return n
}

func (m *Machine) end() string {
	n, forward := make(map[State]int), 0
	for i := range m.targets {
		s := m.targets[i].State
		n[s]++
		if i >= m.backFrom() && (s == Changed || s == Failed || s == Unknown) {
			forward++
		}
	}
	switch {
	case m.aborted:
		return Aborted
	case n[Changed] == len(m.targets):
		return Succeeded
	case n[RollbackFailed] > 0, m.tripped != "" && m.back() && forward > 0:
		return BackFailed
	case m.tripped != "" && m.back():
		return WentBack
	case m.tripped != "" && m.policy.OnFailure == api.OnFailurePause:
		return Paused
	case m.tripped != "":
		return Stopped
	case n[Pending]+n[Unknown] > 0:
		return Incomplete
	}
	return SomeFailed
}
