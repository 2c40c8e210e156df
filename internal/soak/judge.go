package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Rule names a rule. Its text is printed with each breach of it.
type Rule string

// The rules. Each is described at the method of judgement that reports its breaches.
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

// Breach is one breach of a rule.
type Breach struct {
	Rule Rule
	At   time.Duration // since the start of the run
	What string        // what happened, in words
}

// String implements fmt.Stringer. It starts with the time in seconds.
func (b Breach) String() string { return fmt.Sprintf("%8.3f %s: %s", b.At.Seconds(), b.Rule, b.What) }

// Limits and allowances of the rules.
const (
	maxOverdue                = 500 * time.Millisecond // an answer that is late by less does not count as lost
	maxAttemptAfterDisconnect = 100 * time.Millisecond // from a client's disconnect to an attempt's first byte
	deadlineSlack             = 150 * time.Millisecond // by which a forwarded deadline may exceed the client's
	socketSlack               = 50 * time.Millisecond  // added to the limits of drains, stalls and repeats
	maxNotificationDelay      = 6 * time.Second        // from a change, or the end of an outage after it, to the notification
	maxReady                  = 10 * time.Second       // from a process's start to its readiness
	unsolicitedGrace          = 100 * time.Millisecond // see isFirstUnsolicited
	maxStall                  = 3 * time.Second        // within which a stalled client gets an error or its connection is closed
	// maxCountedDeadline and supervisorGrace: see EarliestKill.
	maxCountedDeadline = 3 * time.Second
	supervisorGrace    = 700 * time.Millisecond
)

// EarliestKill returns how long after the first signal to terminate a supervisor may kill a sidecar
// at the earliest. longest is the longest deadline of the sidecar's classes; the supervisor counts
// it as maxCountedDeadline at most, and adds supervisorGrace.
func EarliestKill(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + supervisorGrace
}

// judgement holds the inputs, indexes and result of one call of Judge.
type judgement struct {
	script   *Script
	record   *Record
	requests map[string]*Request   // by id
	attempts map[string][]*Attempt // by id of the request, ordered by First
	breaches []Breach
}

// Judge returns the breaches of the rules in the record of a run of the script, ordered by time. It
// has no side effects. Time limits are extended by record.Lateness, by which records may be late.
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

// breach adds a breach.
func (j *judgement) breach(rule Rule, at time.Duration, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// processAt returns the process that a sidecar had at a time, nil if none ran.
func (j *judgement) processAt(sidecar int, at time.Duration) *Process {
	for n := range j.record.Processes {
		process := &j.record.Processes[n]
		if process.Sidecar == sidecar && process.Started <= at && (process.Exited == 0 || at <= process.Exited) {
			return process
		}
	}
	return nil
}

// ran reports whether an attempt may have run: its server got all of it and did not reject it.
func (a *Attempt) ran() bool { return a.Last > 0 && !a.Rejected }

// judgeRequest judges how a request ended for its client, and its attempts at servers.
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
		j.judgeNonIdempotent(r, ran)
	case IdempotencyKeyed:
		j.judgeKeyed(r, ran, time.Duration(class.DedupWindow))
	}
}

// judgeNonIdempotent reports a request that must run only once and may have run twice, or that was
// rejected with status 429 or 503 although it may have run. ran are its attempts that may have run.
func (j *judgement) judgeNonIdempotent(r *Request, ran []*Attempt) {
	if len(ran) > 1 {
		j.breach(RuleDuplicate, ran[1].Last, "request %s (%s) may have run %d times", r.ID, r.Class, len(ran))
	}
	if len(ran) > 0 && (r.Status == 429 || r.Status == 503) {
		j.breach(RuleRejected, r.Finished, "request %s (%s) was rejected with status %d although it may have run on server %d", r.ID, r.Class, r.Status, ran[0].Server)
	}
}

// judgeEnd reports a request that got no answer, a late one, a truncated one, or one that no server
// sent for it.
func (j *judgement) judgeEnd(r *Request, attempts []*Attempt) {
	switch r.End {
	case EndAnswered:
		if over := r.Finished - r.Sent - r.Wait; over > maxOverdue+j.record.Lateness {
			j.breach(RuleOverdue, r.Finished, "request %s (%s) was answered %v after its deadline", r.ID, r.Class, over)
		}
		sent := func(a *Attempt) bool { return a.Answer == r.Body }
		if r.Status == 200 && !slices.ContainsFunc(attempts, sent) && !j.isFirstUnsolicited(r) {
			j.breach(RuleWrong, r.Finished, "request %s (%s) got the answer %q, which no server sent for it", r.ID, r.Class, r.Body)
		}
	case EndNothing:
		j.breach(RuleNoAnswer, r.Finished, "request %s (%s) got no answer by its deadline", r.ID, r.Class)
	case EndClosed:
		j.judgeClosed(r, attempts)
	case EndTruncated:
		if !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Truncated }) {
			j.breach(RuleTruncated, r.Finished, "request %s (%s) got a truncated answer, but no server truncated one", r.ID, r.Class)
		}
	}
}

// isFirstUnsolicited reports whether a request got a duplicate of another request's answer before
// its sidecar can have noticed that the server sends duplicates: at most unsolicitedGrace after the
// server's first duplicate of an answer to this sidecar. The sidecar can't distinguish such a
// duplicate from the request's own answer; docs/design/acceptance.md names this limit. Any later
// duplicate is a breach.
func (j *judgement) isFirstUnsolicited(r *Request) bool {
	isDuplicate := func(a Attempt) bool { return a.Repeated > 0 && a.Answer == r.Body }
	index := slices.IndexFunc(j.record.Attempts, isDuplicate)
	if index < 0 {
		return false
	}
	duplicate := &j.record.Attempts[index]
	first := duplicate.Repeated
	for n := range j.record.Attempts {
		a := &j.record.Attempts[n]
		if request := j.requests[a.ID]; a.Server == duplicate.Server && a.Repeated > 0 && request != nil && request.Sidecar == r.Sidecar {
			first = min(first, a.Repeated)
		}
	}
	return duplicate.Repeated <= first+unsolicitedGrace+j.record.Lateness
}

// judgeClosed reports a request whose connection was closed without a byte of an answer, unless the
// sidecar may do so. A request that was forwarded is always reported. Any other is reported if it was
// the first on its connection, unless no process was ready when the connection was opened, that
// process had been signalled to terminate or killed when it was closed, or the script has idle
// connections.
func (j *judgement) judgeClosed(r *Request, attempts []*Attempt) {
	process := j.processAt(r.Sidecar, r.Dialed) // the process that had accepted the connection
	if process != nil && process.Killed > 0 && r.Finished >= process.Killed {
		if len(attempts) > 0 {
			j.breach(RuleKill, r.Finished, "request %s (%s), sent %v after the signal to terminate, was still open when the process was killed", r.ID, r.Class, r.Sent-process.Signalled)
		}
		return
	}
	if len(attempts) > 0 {
		j.breach(RuleClosed, r.Finished, "request %s (%s) was forwarded, but its connection was closed without an answer", r.ID, r.Class)
		return
	}
	terminating := process == nil || process.Ready == 0 || r.Dialed < process.Ready || process.Signalled > 0 && r.Finished >= process.Signalled
	if r.FirstOn && !terminating && j.script.IdleConnections == 0 {
		j.breach(RuleClosed, r.Finished, "request %s (%s), the first on its connection, got no answer before the connection was closed", r.ID, r.Class)
	}
}

// judgeAttempt reports an attempt that began after the client had disconnected, or whose server got
// a longer deadline than the client had left.
func (j *judgement) judgeAttempt(r *Request, a *Attempt) {
	if r.End == EndLeft && a.First > r.Finished+maxAttemptAfterDisconnect+j.record.Lateness {
		j.breach(RuleLeft, a.First, "request %s (%s): an attempt began %v after its client had disconnected", r.ID, r.Class, a.First-r.Finished)
	}
	left := r.Sent + r.Wait - a.First
	if a.Deadline > 0 && a.Deadline > max(left, 0)+deadlineSlack+j.record.Lateness {
		j.breach(RuleDeadline, a.First, "request %s (%s): server %d got a deadline of %v when the client had %v left", r.ID, r.Class, a.Server, a.Deadline, left)
	}
}

// judgeKeyed reports a keyed request that was repeated later than the deduplication window after
// its first attempt that may have run. ran are its attempts that may have run.
func (j *judgement) judgeKeyed(r *Request, ran []*Attempt, window time.Duration) {
	for n := 1; n < len(ran); n++ {
		if gap := ran[n].Last - ran[0].Last; gap > window+socketSlack+j.record.Lateness {
			j.breach(RuleDuplicate, ran[n].Last, "request %s (%s) was repeated %v after the first attempt that may have run, but its deduplication window is %v", r.ID, r.Class, gap, window)
		}
	}
}

// latestChange returns the latest change of a server up to a time, nil if there was none.
func (j *judgement) latestChange(server int, at time.Duration) *Change {
	var last *Change
	for n := range j.record.Changes {
		c := &j.record.Changes[n]
		if c.Server == server && c.At <= at && (last == nil || c.At >= last.At) {
			last = c
		}
	}
	return last
}

// notifiedAt returns when a sidecar counts as notified of a change: when discovery sent it the
// change, and otherwise (sent is false) maxNotificationDelay after the change or after the end of
// an outage in between.
func (j *judgement) notifiedAt(sidecar int, c *Change) (at time.Duration, sent bool) {
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

// judgeDrains reports attempts at draining or removed servers that began later than the drain grace
// after the sidecar counts as notified.
func (j *judgement) judgeDrains() {
	grace := time.Duration(j.script.DrainGrace) + socketSlack + j.record.Lateness
	for n := range j.record.Attempts {
		a := &j.record.Attempts[n]
		r, c := j.requests[a.ID], j.latestChange(a.Server, a.First)
		if r == nil || c == nil || c.State == Up {
			continue
		}
		notified, sent := j.notifiedAt(r.Sidecar, c)
		if a.First <= notified+grace {
			continue
		}
		rule := RuleDrain
		if !sent {
			rule = RuleLateNotification
		}
		j.breach(rule, a.First, "request %s was sent to server %d, which had been %s since %v; its sidecar counts as notified at %v", a.ID, a.Server, c.State, c.At, notified)
	}
}

// maxRequests returns how many requests a server in slow start may get within the overload duration
// if its capacity allows n: n plus an allowance that grows with the square root of n.
func maxRequests(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// judgeSlowStart judges each start of a server by the requests that all sidecars together send it.
func (j *judgement) judgeSlowStart() {
	for n := range j.record.Changes {
		c := &j.record.Changes[n]
		if c.State == Up && c.Since > 0 {
			j.judgeStart(c)
		}
	}
}

// judgeStart reports the first time during the slow start of a server from which on, within the
// overload duration, it gets more requests than maxRequests allows for OverloadFactor times its
// capacity. Such a time counts only if more than two thirds of the requests come from sidecars that
// count as notified of the start.
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
		capacityLimit := maxRequests(s.OverloadFactor * capacity * s.capacityFraction(a.First-c.Since) * time.Duration(s.OverloadDuration).Seconds())
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
			j.breach(RuleSlowStart, a.First, "server %d, started at %v, got %d requests within %v, want %.0f at most", c.Server, c.Since, count, time.Duration(s.OverloadDuration), capacityLimit)
			return
		}
	}
}

// judgeStalls reports clients that stopped in the middle of a request and whose sidecar did not
// answer with an error or close the connection in time.
func (j *judgement) judgeStalls() {
	for _, stall := range j.record.Stalls {
		ended := stall.Finished
		if ended == 0 {
			ended = j.record.Length
		}
		if elapsed := ended - stall.Stopped; elapsed > maxStall+socketSlack+j.record.Lateness {
			j.breach(RuleStall, ended, "a client of sidecar %d that stopped in the middle of a request got neither an error nor a closed connection for %v", stall.Sidecar, elapsed)
		}
	}
}

// judgeProcesses reports processes that were not ready in time, exited without a signal or with an
// error, or logged a panic.
func (j *judgement) judgeProcesses() {
	for _, process := range j.record.Processes {
		until := cmp.Or(process.Signalled, process.Exited, j.record.Length)
		switch {
		case process.Ready > 0 && process.Ready-process.Started > maxReady:
			j.breach(RuleReady, process.Ready, "sidecar %d was ready only %v after its start", process.Sidecar, process.Ready-process.Started)
		case process.Ready == 0 && until-process.Started > maxReady:
			j.breach(RuleReady, until, "sidecar %d was not ready %v after its start", process.Sidecar, until-process.Started)
		}
		bySignal := strings.HasPrefix(process.Exit, "signal: ") // no breach: the signal arrived before the process handled signals
		if process.Exited > 0 && process.Killed == 0 && (process.Signalled == 0 || process.Exit != "" && !bySignal) {
			j.breach(RuleCrash, process.Exited, "sidecar %d exited: %s", process.Sidecar, cmp.Or(process.Exit, "no signal was sent"))
		}
		if process.Panics > 0 {
			j.breach(RuleCrash, process.Started, "the log of sidecar %d contains %d panics", process.Sidecar, process.Panics)
		}
	}
}
