// Package sidecar hosts one Balancer on real sockets. It brings the events of
// clients, servers and discovery to the Balancer and carries out its decisions;
// it makes none itself, beyond guarding its limits.
package sidecar

import (
	"cmp"
	"container/heap"
	"errors"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"martendrum"
	"martendrum/internal/discovery"
	"martendrum/internal/front"
	"martendrum/internal/metrics"
	"martendrum/internal/settings"
	"martendrum/internal/upstream"
)

const (
	// tick is the least time between two looks at the timers: due ones share one.
	tick = 2 * time.Millisecond
	// A deadline is met this much before the client's own clock says so: the
	// answer has still to reach it.
	deadlineMargin = 5 * time.Millisecond
)

// Host is the martendrum.Host of a real sidecar. One lock guards the Balancer and
// all that belongs to it. The Balancer's wishes are written down under the lock
// and carried out after it is freed, by whoever brought the event.
type Host struct {
	set     *settings.Settings // guarded by the lock
	classes atomic.Pointer[map[string]*settings.Class]
	pool    *upstream.Pool
	watcher *discovery.Watcher

	recorder Recorder // nil: nothing is recorded
	meter    Meter
	wrote    func() // the meter's

	start time.Time
	unix  time.Duration // at start

	mu      sync.Mutex
	b       *martendrum.Balancer
	held    map[martendrum.RequestID]*request
	most    int // requests held at once
	all     int // by this process and the other one together, while a tally is shared
	tally   Tally
	last    martendrum.RequestID
	alarms  alarms
	alarm   *time.Timer
	alarmAt time.Duration // when alarm goes off; 0: it is not set
	actions []func()
	quitAt  time.Duration // nothing is held past it; 0: no end is planned
	ready   bool
}

// request is one that is owed an answer or attempts' ends.
type request struct {
	id       martendrum.RequestID
	x        *front.Exchange
	deadline time.Duration
	wait     time.Duration // from its last byte to its deadline
	attempts []*attempt
	out      int
	alarm    *alarm // at its deadline
	over     bool   // has its final answer, or needs none any more

	pending bool  // waits for the record's verdict; the Balancer does not know it yet
	entry   Entry // nil: it is not recorded
	told    End   // to the record
}

// attempt is a request's attempt and its place.
type attempt struct {
	upstream.Attempt
	host *Host
	q    *request
	n    int
	done bool

	isCopy   bool // another was out when it was sent
	unsent   bool // called off before a byte went out
	neverRan bool // for certain
}

// New returns a Host of a new Balancer, which the watcher tells of the servers.
func New(set *settings.Settings, seed uint64, pool *upstream.Pool, watcher *discovery.Watcher) (*Host, error) {
	start := time.Now()
	h := &Host{
		set:     set,
		pool:    pool,
		watcher: watcher,
		start:   start,
		unix:    time.Duration(start.UnixNano()),
		held:    make(map[martendrum.RequestID]*request),
		meter:   unmetered{},
		most:    cmp.Or(set.MostHeld, math.MaxInt),
		all:     cmp.Or(set.MostHeld, math.MaxInt),
	}
	watcher.Listed, watcher.Failed = h.Listed, h.DiscoveryFailed
	h.wrote = h.meter.Wrote
	h.publish()
	h.alarm = time.AfterFunc(time.Hour, h.ring)
	var err error
	h.locked(func(time.Duration) { h.b, err = martendrum.New(set.Config, seed, h) })
	return h, err
}

// now is Unix time that never goes back. It is read under the lock, so that the
// Balancer's events are in the order of their times.
func (h *Host) now() time.Duration { return h.unix + time.Since(h.start) }

// locked brings an event to the Balancer and then does what it asked for.
func (h *Host) locked(event func(now time.Duration)) {
	for _, act := range h.decide(event) {
		act()
	}
}

// decide frees the lock also if the Balancer panics: others' requests go on.
func (h *Host) decide(event func(now time.Duration)) []func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	event(h.now())
	h.wind()
	acts := h.actions
	h.actions = nil
	return acts
}

// Arrive implements front.Handler.
func (h *Host) Arrive(x *front.Exchange) {
	h.locked(func(now time.Duration) {
		if !h.room() {
			slog.Warn("request refused: too many held", "held", len(h.held))
			h.meter.Limited(metrics.Held)
			h.actions = append(h.actions, func() { x.Refuse(h.set.Config.MaxRetryAfter / 10) }, x.Release)
			return
		}
		wait := x.Rules.Wait // no client waits longer, whatever it says
		if x.Wait > 0 {
			wait = min(wait, x.Wait)
		}
		wait -= min(deadlineMargin, wait/10)
		deadline := now - time.Since(x.Received) + wait
		if x.Request.Stream != nil {
			deadline += x.UploadTimeout() // the client's time begins with its last byte
		}
		if h.quitAt > 0 {
			deadline = min(deadline, h.quitAt)
		}
		h.last++
		q := &request{id: h.last, x: x, deadline: deadline, wait: wait}
		x.State = q
		h.held[q.id] = q
		q.alarm = h.after(&alarm{at: deadline, q: q})
		if h.recorder == nil {
			h.admit(now, q)
			return
		}
		q.pending = true
		h.actions = append(h.actions, func() {
			h.recorder.Begin(x, deadline-now, func(v Verdict) { h.begun(q, v) })
		})
	})
}

// admit brings a request to the Balancer.
func (h *Host) admit(now time.Duration, q *request) {
	h.b.Arrive(now, martendrum.Request{
		ID:       q.id,
		Class:    q.x.Rules.Place,
		Rules:    q.x.Rules.Rules,
		Tenant:   h.set.Tenant([]byte(q.x.Tenant)),
		Deadline: q.deadline,
		Large:    q.x.Request.Stream != nil,
	})
}

// Gone implements front.Handler.
func (h *Host) Gone(x *front.Exchange) (taken bool) {
	h.locked(func(now time.Duration) {
		q, _ := x.State.(*request)
		if q == nil || q.over {
			return
		}
		taken = true
		h.over(q)
		h.b.ClientGone(now, q.id)
		h.forget(q)
	})
	return taken
}

// Ready implements front.Handler.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// SetReady says whether clients may come.
func (h *Host) SetReady(ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = ready
}

// Class implements front.Handler.
func (h *Host) Class(name string) *settings.Class {
	return (*h.classes.Load())[name]
}

// Retune takes new settings over, whole or not at all. Requests that have been read
// keep the class that they were read under.
func (h *Host) Retune(set *settings.Settings) (err error) {
	h.locked(func(time.Duration) {
		set.Follow(h.set)
		if err = h.b.Retune(set.Config); err == nil {
			h.set = set
			h.publish()
		}
	})
	return err
}

// publish lets the front see the settings in force.
func (h *Host) publish() {
	classes := make(map[string]*settings.Class)
	for _, name := range h.set.Names() {
		classes[name] = h.set.ByName(name)
	}
	h.classes.Store(&classes)
}

// QuitAt sees to it that all is answered by then, and clients are told to wait no longer.
func (h *Host) QuitAt(in time.Duration) {
	h.locked(func(now time.Duration) {
		h.quitAt = now + in
		for _, q := range h.held {
			if q.deadline > h.quitAt {
				q.deadline, q.alarm.at = h.quitAt, h.quitAt
				heap.Fix(&h.alarms, q.alarm.place)
			}
		}
	})
}

// Servers counts the servers on the list, and those of them now avoided.
func (h *Host) Servers() (listed, avoided int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.b.Servers(h.now())
}

// Limit replaces how many requests may be held at once, for those still to come: most by
// this process alone, or all by the two together while it shares a tally.
func (h *Host) Limit(most, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.most, h.all = most, all
}

// Tally is a count of the requests that this process and another one hold.
type Tally interface {
	// Hold says that this process holds n, and returns how many the other does.
	Hold(n int) (others int)
}

// ShareHeld counts what is held in t from now on, and limits the sum. A tally before is
// not used any more.
func (h *Host) ShareHeld(t Tally) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tally = t
	h.counted()
}

// UnshareHeld ends that: when it returns, t is not used any more.
func (h *Host) UnshareHeld(t Tally) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tally == t {
		h.tally = nil
	}
}

// room says whether one more request may be held, and counts it in the tally if so: two
// processes that look at the same time don't both take the last place.
func (h *Host) room() bool {
	if h.tally == nil {
		return len(h.held) < h.most
	}
	if n := len(h.held) + 1; n+h.tally.Hold(n) > h.all {
		h.counted()
		return false
	}
	return true
}

// counted brings the tally up to date.
func (h *Host) counted() {
	if h.tally != nil {
		h.tally.Hold(len(h.held))
	}
}

// Learned is what the Balancer has learned.
func (h *Host) Learned() martendrum.Learned {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.b.Learned(h.now())
}

// Learn takes over what another process's Balancer had learned by age ago. It is called
// when the list has come and before the first request.
func (h *Host) Learn(l martendrum.Learned, age time.Duration) {
	h.locked(func(now time.Duration) { h.b.Learn(now, l, age) })
}

// Steer lets f see the Balancer and set its bounds; arrivals is how many requests have
// come so far. f must not block.
func (h *Host) Steer(f func(now time.Duration, arrivals uint64, b *martendrum.Balancer)) {
	h.locked(func(now time.Duration) { f(now, uint64(h.last), h.b) })
}

// Held is the number of requests held.
func (h *Host) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// Listed takes what discovery says.
func (h *Host) Listed(l *discovery.List) {
	endpoints := make([]martendrum.Endpoint, len(l.Entries))
	h.locked(func(now time.Duration) {
		// The pool is told under the lock too: it must know of a server before an
		// attempt goes there.
		listed := make(map[string]bool, len(l.Entries))
		for n, e := range l.Entries {
			endpoints[n] = e.Endpoint
			listed[e.Name] = true
			if e.State == martendrum.Serving {
				h.pool.Serve(e.Name, e.Address, e.Started)
			} else {
				h.pool.Leave(e.Name, e.State == martendrum.Gone)
			}
		}
		if l.Whole {
			h.pool.Keep(listed)
			h.b.ServersListed(now, endpoints)
		} else {
			h.b.ServersChanged(now, endpoints)
		}
	})
}

// DiscoveryFailed takes a failed call or a watch that ended.
func (h *Host) DiscoveryFailed(err error) {
	slog.Warn("discovery failed", "err", err)
	h.locked(func(now time.Duration) { h.b.DiscoveryFailed(now) })
}

// Send implements martendrum.Host.
func (h *Host) Send(id martendrum.RequestID, server string, timeout, within time.Duration) {
	q := h.held[id]
	if q == nil {
		return
	}
	a := &attempt{host: h, q: q, n: len(q.attempts)}
	now := time.Now()
	a.Attempt = upstream.Attempt{Request: &q.x.Request, Server: server, Deadline: now.Add(timeout), Latest: now.Add(within), Sink: a, Wrote: h.wrote}
	if a.n == 0 {
		h.meter.Own(now.Sub(q.x.Received))
	}
	if q.x.Request.Stream != nil {
		a.Claimed, a.Wrote = a.claimed, a.uploaded
	}
	a.isCopy = q.out > 0
	h.meter.Began(a.isCopy)
	a.Once = q.x.Rules.Rules.Effect == martendrum.Unsafe
	q.attempts = append(q.attempts, a)
	q.out++
	if entry := q.entry; entry != nil {
		h.actions = append(h.actions, func() { h.sendRecorded(entry, a) })
		return
	}
	h.actions = append(h.actions, func() { h.pool.Start(&a.Attempt) })
}

// claimed takes that no other attempt can send the request's body any more.
func (a *attempt) claimed() {
	a.host.locked(func(now time.Duration) { a.host.b.Started(now, a.q.id, a.n) })
}

// uploaded takes that the request is whole now: the client's time begins.
func (a *attempt) uploaded() {
	h := a.host
	h.wrote()
	h.locked(func(now time.Duration) {
		q := a.q
		if q.x == nil || q.over {
			return
		}
		q.deadline = min(q.deadline, now+q.wait)
		if h.quitAt > 0 {
			q.deadline = min(q.deadline, h.quitAt)
		}
		q.alarm.at = q.deadline
		if q.alarm.place >= 0 {
			heap.Fix(&h.alarms, q.alarm.place)
		}
	})
}

// Cancel implements martendrum.Host.
func (h *Host) Cancel(id martendrum.RequestID, n int) {
	if q := h.held[id]; q != nil && n < len(q.attempts) {
		a := q.attempts[n]
		a.unsent = !a.Abandon()
		h.actions = append(h.actions, func() {
			a.Close()
			a.Done(martendrum.Cancelled, nil, martendrum.Report{})
		})
	}
}

// Refuse implements martendrum.Host.
func (h *Host) Refuse(id martendrum.RequestID, retryAfter time.Duration) {
	h.end(id, func(x *front.Exchange) { x.Refuse(retryAfter) })
}

// Fail implements martendrum.Host.
func (h *Host) Fail(id martendrum.RequestID) { h.end(id, (*front.Exchange).Fail) }

func (h *Host) end(id martendrum.RequestID, answer func(*front.Exchange)) {
	q := h.held[id]
	if q == nil || q.over {
		return
	}
	h.over(q)
	x := q.x
	h.tell(q, q.came(), nil, func() { answer(x) })
	h.forget(q)
}

// over marks that q has its final answer, or needs none: what of it has not begun does not
// begin any more, whatever the Balancer may call off. Every end of a request comes here.
func (h *Host) over(q *request) {
	q.over = true
	for _, a := range q.attempts {
		if !a.done && a.Withdraw() {
			a.unsent = true
			h.actions = append(h.actions, func() { a.Done(martendrum.NotSent, nil, martendrum.Report{}) })
		}
	}
}

// SetTimer implements martendrum.Host.
func (h *Host) SetTimer(cookie uint64, after time.Duration) {
	h.after(&alarm{at: h.now() + max(after, 0), cookie: cookie})
}

// CloseIdle implements martendrum.Host.
func (h *Host) CloseIdle(server string) {
	h.actions = append(h.actions, func() { h.pool.CloseIdle(server) })
}

// probeMost is how long a probe may take.
const probeMost = 500 * time.Millisecond

// probe is the Sink of a probe.
type probe struct {
	upstream.Attempt
	host *Host
}

var probeRequest = &upstream.Request{Method: "GET", Head: []byte("GET /_load HTTP/1.1\r\nHost: server\r\n")}

// Probe implements martendrum.Host.
func (h *Host) Probe(server string) {
	p := &probe{host: h}
	p.Attempt = upstream.Attempt{Request: probeRequest, Server: server, Deadline: time.Now().Add(probeMost), Sink: p}
	h.actions = append(h.actions, func() {
		time.AfterFunc(probeMost, func() {
			p.Abandon()
			p.Close()
		})
		h.pool.Start(&p.Attempt)
	})
}

// Done implements upstream.Sink.
func (p *probe) Done(o martendrum.Outcome, ans *upstream.Answer, rep martendrum.Report) {
	if o != martendrum.OK || ans == nil {
		return
	}
	if !rep.HasInFlight && !rep.HasUtil {
		rep = upstream.ParseLoad(string(ans.Body))
	}
	p.host.locked(func(now time.Duration) { p.host.b.Probed(now, p.Server, rep) })
}

// Subscribe implements martendrum.Host.
func (h *Host) Subscribe() {
	h.actions = append(h.actions, h.AskNow)
}

// AskNow opens a watch without waiting for its time, unless one is open.
func (h *Host) AskNow() {
	go func() {
		if err := h.watcher.Watch(); !errors.Is(err, discovery.ErrOpen) {
			h.DiscoveryFailed(err)
		}
	}()
}

// forget drops a request that needs nothing more, its deadline too.
func (h *Host) forget(q *request) {
	if q.over && q.out == 0 && q.x != nil {
		h.tell(q, q.came(), nil, nil)
		delete(h.held, q.id)
		h.counted()
		if q.alarm.place >= 0 {
			heap.Remove(&h.alarms, q.alarm.place)
		}
		h.actions = append(h.actions, q.x.Release)
		q.x, q.attempts = nil, nil
	}
}

// Done implements upstream.Sink.
func (a *attempt) Done(o martendrum.Outcome, ans *upstream.Answer, rep martendrum.Report) {
	a.host.locked(func(now time.Duration) { a.host.done(now, a, o, ans, rep) })
}

// done takes an attempt's outcome, of which only the first counts.
func (h *Host) done(now time.Duration, a *attempt, o martendrum.Outcome, ans *upstream.Answer, rep martendrum.Report) {
	if a.done {
		return
	}
	q := a.q
	a.done, a.neverRan = true, a.unsent || o.NeverRan()
	q.out--
	if ans != nil && ans.Rest != nil && q.entry != nil {
		// The record would have to hold it whole, and serve it after Done.
		slog.Warn("an answer too long for the record", "server", a.Server)
		o, ans = martendrum.Reset, nil
	}
	served := !q.over && o == martendrum.OK && ans != nil
	switch {
	case q.over:
		if o == martendrum.OK && ans != nil {
			h.tell(q, Served, ans, nil) // too late for the client, not for the record
		}
	case served:
		h.over(q)
		x := q.x
		h.tell(q, Served, ans, func() { x.Serve(ans) })
	case o == martendrum.OK: // nothing to show for it
		o = martendrum.Reset
	}
	over := q.over
	h.meter.Ended(o, a.isCopy, served)
	h.b.Done(now, q.id, a.n, o, over, rep)
	h.forget(q)
}

// expire ends what a request still has out at its deadline.
func (h *Host) expire(now time.Duration, q *request) {
	if h.held[q.id] == nil {
		return
	}
	for _, a := range q.attempts {
		if a.done {
			continue
		}
		o := martendrum.TimedOut
		if !a.Abandon() {
			o = martendrum.ConnectFailed // not a byte of it went out
		}
		h.actions = append(h.actions, a.Close)
		h.done(now, a, o, nil, martendrum.Report{})
	}
	if q.pending {
		h.end(q.id, func(x *front.Exchange) { x.Refuse(h.set.Config.MaxRetryAfter / 10) }) // nothing was sent
	}
	if !q.over {
		// Guards the rule of one final answer, whatever the Balancer makes of it.
		slog.Error("request unanswered at its deadline", "class", q.x.Class)
		h.b.ClientGone(now, q.id)
		h.end(q.id, (*front.Exchange).Fail)
	}
}

// alarm is a timer of the Balancer's, or a request's deadline.
type alarm struct {
	at     time.Duration
	cookie uint64
	q      *request
	place  int // in the heap, -1: it has been taken out
}

// alarms is a heap of alarms: one runtime timer serves them all.
type alarms []*alarm

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *alarms) Push(x any) {
	x.(*alarm).place = len(*a)
	*a = append(*a, x.(*alarm))
}
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	x.place = -1
	return x
}

func (h *Host) after(a *alarm) *alarm {
	heap.Push(&h.alarms, a)
	return a
}

// wind sets the runtime timer for the next alarm.
func (h *Host) wind() {
	if len(h.alarms) == 0 {
		return
	}
	if at := h.alarms[0].at; h.alarmAt == 0 || at < h.alarmAt {
		h.alarmAt = at
		h.alarm.Reset(max(at-h.now(), tick))
	}
}

// ring brings the Balancer the timers that are due, and ends what is overdue.
func (h *Host) ring() {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic at a timer", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	h.locked(func(now time.Duration) {
		h.alarmAt = 0
		defer h.wind() // also if the Balancer panics: the next ones must ring
		for len(h.alarms) > 0 && h.alarms[0].at <= now {
			a := heap.Pop(&h.alarms).(*alarm)
			if a.q != nil {
				h.expire(now, a.q)
			} else {
				h.b.Timer(now, a.cookie)
			}
		}
	})
}
