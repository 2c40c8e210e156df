package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Rule names what a breach breaks.
type Rule string

// The rules.
const (
	RuleNoAnswer         Rule = "lost: no answer"
	RuleOverdue          Rule = "lost: answered too late"
	RuleWrong            Rule = "lost: a wrong answer"
	RuleClosed           Rule = "lost: read, then closed"
	RuleTruncated        Rule = "lost: cut short"
	RuleLeft             Rule = "lost: begun after the client left"
	RuleKill             Rule = "lost: found by the kill"
	RuleDuplicate        Rule = "duplicate"
	RuleRejected         Rule = "rejected though it may have run"
	RuleDrain            Rule = "drain"
	RuleLateNotification Rule = "notification time"
	RuleSlowStart        Rule = "slow start"
	RuleDeadline         Rule = "deadline forwarded"
	RuleStall            Rule = "half a request not ended"
	RuleReady            Rule = "not ready in time"
	RuleCrash            Rule = "crash"
)

// Breach is one broken rule.
type Breach struct {
	Rule Rule
	At   time.Duration
	What string
}

// String implements fmt.Stringer.
func (b Breach) String() string { return fmt.Sprintf("%8.3f %s: %s", b.At.Seconds(), b.Rule, b.What) }

// Allowances of the rules.
const (
	maxOverdue                = 500 * time.Millisecond // an answer that is late by less is not lost
	maxAttemptAfterDisconnect = 100 * time.Millisecond // from a client's disconnect to an attempt's first byte
	deadlineSlack             = 150 * time.Millisecond
	socketSlack               = 50 * time.Millisecond // added to each time limit of the rules
	maxNotificationDelay      = 6 * time.Second       // from a change that discovery can send to its notification
	maxReady                  = 10 * time.Second
	unsolicitedGrace          = 100 * time.Millisecond // after a server's first duplicate answer
	maxStall                  = 3 * time.Second        // clients that stall get an error or a close within it
	// maxCountedDeadline and supervisorGrace: see EarliestKill.
	maxCountedDeadline = 3 * time.Second
	supervisorGrace    = 700 * time.Millisecond
)

// EarliestKill is how long after a signal to end a process may be killed at the earliest.
func EarliestKill(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + supervisorGrace
}

// judgement is the state of one call of Judge.
type judgement struct {
	script   *Script
	record   *Record
	requests map[string]*Request   // by id
	attempts map[string][]*Attempt // by request
	breaches []Breach
}

// Judge returns each breach of a rule, ordered by time.
func Judge(script *Script, record *Record) []Breach {
	j := &judgement{script: script, record: record, requests: make(map[string]*Request, len(record.Requests)), attempts: make(map[string][]*Attempt)}
	for n := range record.Requests {
		j.requests[record.Requests[n].ID] = &record.Requests[n]
	}
	for n := range record.Attempts {
		attempt := &record.Attempts[n]
		j.attempts[attempt.ID] = append(j.attempts[attempt.ID], attempt)
	}
	for _, list := range j.attempts {
		slices.SortFunc(list, func(a, b *Attempt) int { return cmp.Compare(a.First, b.First) })
	}
	for n := range record.Requests {
		j.judgeRequest(&record.Requests[n])
	}
	j.judgeDrains()
	j.judgeSlowStart()
	j.judgeStalls()
	j.judgeProcesses()
	slices.SortStableFunc(j.breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
	return j.breaches
}

func (j *judgement) breach(rule Rule, at time.Duration, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// processAt returns the process that a sidecar had at a time, nil if it had none.
func (j *judgement) processAt(sidecar int, at time.Duration) *Process {
	for n := range j.record.Processes {
		process := &j.record.Processes[n]
		if process.Sidecar == sidecar && process.Started <= at && (process.Exited == 0 || at <= process.Exited) {
			return process
		}
	}
	return nil
}

// ran says that an attempt may have run.
func (a *Attempt) ran() bool { return a.Last > 0 && !a.Rejected }

// judgeRequest judges one request with its attempts.
func (j *judgement) judgeRequest(r *Request) {
	attempts := j.attempts[r.ID]
	j.judgeEnd(r, attempts)
	for _, attempt := range attempts {
		j.judgeAttempt(r, attempt)
	}
	var ran []*Attempt
	for _, attempt := range attempts {
		if attempt.ran() {
			ran = append(ran, attempt)
		}
	}
	switch class := j.script.Class(r.Class); class.Idempotency {
	case NonIdempotent:
		j.judgeUnsafe(r, ran)
	case IdempotencyKeyed:
		j.judgeKeyed(r, ran, time.Duration(class.DedupWindow))
	}
}

// judgeUnsafe judges a request that must not run twice; ran are its attempts that may have
// run.
func (j *judgement) judgeUnsafe(r *Request, ran []*Attempt) {
	if len(ran) > 1 {
		j.breach(RuleDuplicate, ran[1].Last, "request %s (%s) came to %d servers", r.ID, r.Class, len(ran))
	}
	if len(ran) > 0 && (r.Status == 429 || r.Status == 503) {
		j.breach(RuleRejected, r.Finished, "request %s (%s) was answered %d and had come to server %d", r.ID, r.Class, r.Status, ran[0].Server)
	}
}

// judgeEnd judges how a request ended for its client.
func (j *judgement) judgeEnd(r *Request, attempts []*Attempt) {
	switch r.End {
	case EndAnswered:
		if over := r.Finished - r.Sent - r.Wait; over > maxOverdue+j.record.Lateness {
			j.breach(RuleOverdue, r.Finished, "request %s (%s) was answered %v after its time", r.ID, r.Class, over)
		}
		made := func(a *Attempt) bool { return a.Answer == r.Body }
		if r.Status == 200 && !slices.ContainsFunc(attempts, made) && !j.isFirstUnsolicited(r) {
			j.breach(RuleWrong, r.Finished, "request %s (%s) was answered %q, which no server made for it", r.ID, r.Class, r.Body)
		}
	case EndNothing:
		j.breach(RuleNoAnswer, r.Finished, "request %s (%s) got no answer within its time", r.ID, r.Class)
	case EndClosed:
		j.judgeClosed(r, attempts)
	case EndTruncated:
		if !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Truncated }) {
			j.breach(RuleTruncated, r.Finished, "request %s (%s): its answer was cut short, and no server's was", r.ID, r.Class)
		}
	}
}

// isFirstUnsolicited reports whether a request was answered with a duplicate of another
// answer, before this sidecar can have seen that its server sends duplicates. Such an answer
// can't be distinguished from the request's own; docs/design/acceptance.md names this limit.
// Any later duplicate is a breach.
func (j *judgement) isFirstUnsolicited(r *Request) bool {
	at := func(a Attempt) bool { return a.Repeated > 0 && a.Answer == r.Body }
	from := slices.IndexFunc(j.record.Attempts, at)
	if from < 0 {
		return false
	}
	duplicate := &j.record.Attempts[from]
	first := duplicate.Repeated
	for n := range j.record.Attempts {
		a := &j.record.Attempts[n]
		if request := j.requests[a.ID]; a.Server == duplicate.Server && a.Repeated > 0 && request != nil && request.Sidecar == r.Sidecar {
			first = min(first, a.Repeated)
		}
	}
	return duplicate.Repeated <= first+unsolicitedGrace+j.record.Lateness
}

// judgeClosed judges a request whose connection ended without a byte of an answer.
func (j *judgement) judgeClosed(r *Request, attempts []*Attempt) {
	process := j.processAt(r.Sidecar, r.Dialed) // whose connection it was
	if process != nil && process.Killed > 0 && r.Finished >= process.Killed {
		if len(attempts) > 0 {
			j.breach(RuleKill, r.Finished, "request %s (%s), sent %v after the signal to end, was open when the kill came", r.ID, r.Class, r.Sent-process.Signalled)
		}
		return
	}
	if len(attempts) > 0 {
		j.breach(RuleClosed, r.Finished, "request %s (%s) was forwarded and its connection closed without an answer", r.ID, r.Class)
		return
	}
	ending := process == nil || process.Ready == 0 || r.Dialed < process.Ready || process.Signalled > 0 && r.Finished >= process.Signalled
	if r.FirstOn && !ending && j.script.IdleConnections == 0 {
		j.breach(RuleClosed, r.Finished, "request %s (%s), the first on its connection, was closed without an answer", r.ID, r.Class)
	}
}

// judgeAttempt judges one attempt of a request.
func (j *judgement) judgeAttempt(r *Request, a *Attempt) {
	if r.End == EndLeft && a.First > r.Finished+maxAttemptAfterDisconnect+j.record.Lateness {
		j.breach(RuleLeft, a.First, "request %s (%s): an attempt began %v after its client had left", r.ID, r.Class, a.First-r.Finished)
	}
	left := r.Sent + r.Wait - a.First
	if a.Deadline > 0 && a.Deadline > max(left, 0)+deadlineSlack+j.record.Lateness {
		j.breach(RuleDeadline, a.First, "request %s (%s): server %d was given %v, and its client had %v left", r.ID, r.Class, a.Server, a.Deadline, left)
	}
}

// judgeKeyed judges a keyed request: a repeat comes within the window of the first attempt
// that may have run.
func (j *judgement) judgeKeyed(r *Request, ran []*Attempt, window time.Duration) {
	for n := 1; n < len(ran); n++ {
		if gap := ran[n].Last - ran[0].Last; gap > window+socketSlack+j.record.Lateness {
			j.breach(RuleDuplicate, ran[n].Last, "request %s (%s) was repeated %v after it may have run, its window is %v", r.ID, r.Class, gap, window)
		}
	}
}

// stateAt is the last change of a server at a time, nil if there was none.
func (j *judgement) stateAt(server int, at time.Duration) *Change {
	var last *Change
	for n := range j.record.Changes {
		c := &j.record.Changes[n]
		if c.Server == server && c.At <= at && (last == nil || c.At >= last.At) {
			last = c
		}
	}
	return last
}

// notifiedAt returns when a change counts as notified to a sidecar, and whether it was
// written to it.
func (j *judgement) notifiedAt(sidecar int, c *Change) (at time.Duration, written bool) {
	limit := c.At + maxNotificationDelay
	for _, outage := range j.record.Outages {
		if outage.From < limit && outage.To > c.At {
			limit = max(limit, outage.To+maxNotificationDelay)
		}
	}
	for _, notified := range j.record.Notifications {
		if notified.Sidecar == sidecar && notified.Server == c.Server && notified.At >= c.At && notified.State == c.State && notified.At < limit {
			return notified.At, true
		}
	}
	return limit, false
}

// judgeDrains judges attempts at draining and removed servers.
func (j *judgement) judgeDrains() {
	grace := time.Duration(j.script.DrainGrace) + socketSlack + j.record.Lateness
	for n := range j.record.Attempts {
		a := &j.record.Attempts[n]
		r, c := j.requests[a.ID], j.stateAt(a.Server, a.First)
		if r == nil || c == nil || c.State == Up {
			continue
		}
		notified, written := j.notifiedAt(r.Sidecar, c)
		if a.First <= notified+grace {
			continue
		}
		rule := RuleDrain
		if !written {
			rule = RuleLateNotification
		}
		j.breach(rule, a.First, "request %s came to server %d, %s since %v and notified at %v", a.ID, a.Server, c.State, c.At, notified)
	}
}

// allowed returns how many requests a server in slow start may get within the overload
// duration, where its capacity allows n.
func allowed(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// judgeSlowStart judges the sum of what all sidecars send to a server that has just started.
func (j *judgement) judgeSlowStart() {
	for n := range j.record.Changes {
		c := &j.record.Changes[n]
		if c.State == Up && c.Since > 0 {
			j.judgeStart(c)
		}
	}
}

// judgeStart judges one start, at its first fall.
func (j *judgement) judgeStart(c *Change) {
	s := j.script
	slowStartEnds := c.Since + time.Duration(s.SlowStartDuration)
	var sends []*Attempt
	for n := range j.record.Attempts {
		if a := &j.record.Attempts[n]; a.Server == c.Server && a.First >= c.Since && a.First < slowStartEnds {
			sends = append(sends, a)
		}
	}
	slices.SortFunc(sends, func(a, b *Attempt) int { return cmp.Compare(a.First, b.First) })
	capacity := float64(s.Workers) / time.Duration(s.Work).Seconds()
	for first, a := range sends {
		capacityLimit := allowed(s.OverloadFactor * capacity * s.capacityFraction(a.First-c.Since) * time.Duration(s.OverloadDuration).Seconds())
		count, notified := 0, 0
		for _, b := range sends[first:] {
			if b.First >= a.First+time.Duration(s.OverloadDuration) {
				break
			}
			count++
			if r := j.requests[b.ID]; r != nil {
				if at, _ := j.notifiedAt(r.Sidecar, c); at <= b.First {
					notified++
				}
			}
		}
		if float64(count) > capacityLimit && notified*3 > count*2 {
			j.breach(RuleSlowStart, a.First, "server %d, started at %v, got %d requests within %v, allowed are %.0f", c.Server, c.Since, count, time.Duration(s.OverloadDuration), capacityLimit)
			return
		}
	}
}

// judgeStalls judges clients that stopped in the middle of a request.
func (j *judgement) judgeStalls() {
	for _, stall := range j.record.Stalls {
		ended := stall.Finished
		if ended == 0 {
			ended = j.record.Length
		}
		if elapsed := ended - stall.Stopped; elapsed > maxStall+socketSlack+j.record.Lateness {
			j.breach(RuleStall, ended, "a client of sidecar %d that stopped in the middle of a request was left for %v", stall.Sidecar, elapsed)
		}
	}
}

// judgeProcesses judges readiness and exits of the processes.
func (j *judgement) judgeProcesses() {
	for _, process := range j.record.Processes {
		until := cmp.Or(process.Signalled, process.Exited, j.record.Length)
		switch {
		case process.Ready > 0 && process.Ready-process.Started > maxReady:
			j.breach(RuleReady, process.Ready, "sidecar %d was ready after %v", process.Sidecar, process.Ready-process.Started)
		case process.Ready == 0 && until-process.Started > maxReady:
			j.breach(RuleReady, until, "sidecar %d was not ready %v after its start", process.Sidecar, until-process.Started)
		}
		bySignal := strings.HasPrefix(process.Exit, "signal: ") // that arrived before the process handled it
		if process.Exited > 0 && process.Killed == 0 && (process.Signalled == 0 || process.Exit != "" && !bySignal) {
			j.breach(RuleCrash, process.Exited, "sidecar %d exited: %s", process.Sidecar, cmp.Or(process.Exit, "no signal was sent"))
		}
		if process.Panics > 0 {
			j.breach(RuleCrash, process.Started, "sidecar %d logged %d panics", process.Sidecar, process.Panics)
		}
	}
}
