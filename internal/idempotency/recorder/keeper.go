// Package recorder brings a sidecar's requests to the store of record: it claims each
// key before its request goes on, writes each attempt before its first byte and each
// end before its answer, waits for none of it longer than a stated share of the
// class's aim, and goes on without the store where the operator allows. What is
// known of a key is internal/idempotency's to decide, whether to send again the decision
// module's.
package recorder

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"martendrum/internal/downstream"
	"martendrum/internal/idempotency"
	"martendrum/internal/sidecar"
	"martendrum/internal/upstream"
)

// Class is a class of requests that is recorded.
type Class struct {
	Name     string
	KeyRule  idempotency.KeyRule
	FailOpen bool          // goes on while the store is away; else refused
	MaxWait  time.Duration // for each answer of the store, at most
}

// Config says how a store is used. All of it must be set.
type Config struct {
	StoreName        string // of the store, for people
	Classes          []Class
	Writers          int           // transactions at once
	MaxBatch         int           // ops in one transaction
	MaxQueuedOps     int           // ops that wait, at most
	MaxQueuedBytes   int           // bytes of answers among them
	StatementTimeout time.Duration // a transaction may take
	EndRetryDuration time.Duration // an end that could not be written is tried again for so long
	LeaseMargin      time.Duration // past its deadline, a claim's owner counts as alive
	MaxAnswerBytes   int           // bytes of an answer's body that are kept
	Retention        idempotency.Retention
	SweepInterval    time.Duration
	BreakerThreshold int // failures in a row
	MinBackoff       time.Duration
	MaxBackoff       time.Duration

	slowCommit time.Duration
}

const (
	// maxSweptRows rows are touched by one transaction of a sweep, so that requests
	// get in between.
	maxSweptRows = 256
	// unavailableRetry is when a client may come back that was refused for want of the
	// store, busyRetry one whose key is under way elsewhere.
	unavailableRetry = 500 * time.Millisecond
	busyRetry        = 500 * time.Millisecond
)

// Recorder is a sidecar.Recorder.
type Recorder struct {
	config    Config
	backend   idempotency.Backend
	committer *committer
	owner     string
	tokens    atomic.Uint64
	classes   map[string]*Class
	stop      chan struct{}
	workers   sync.WaitGroup

	mu            sync.Mutex
	unwrittenGaps map[string]*idempotency.Gap // that are not written yet, by class
	counts        map[string]int64
}

var _ sidecar.Recorder = (*Recorder)(nil)

// New returns a Keeper over b, which it closes in the end.
func New(cfg Config, b idempotency.Backend) *Recorder {
	var id [12]byte
	rand.Read(id[:])
	k := &Recorder{config: cfg, backend: b, owner: hex.EncodeToString(id[:]), classes: make(map[string]*Class), stop: make(chan struct{}),
		unwrittenGaps: make(map[string]*idempotency.Gap), counts: make(map[string]int64)}
	for n := range cfg.Classes {
		c := &k.config.Classes[n]
		k.classes[c.Name] = c
		k.config.slowCommit = max(k.config.slowCommit, c.MaxWait)
	}
	k.committer = newCommitter(&k.config, b)
	k.workers.Go(k.sweep)
	return k
}

// Close writes what waits, as long as ctx allows, and closes the store.
func (k *Recorder) Close(ctx context.Context) error {
	close(k.stop)
	k.committer.close(ctx)
	k.workers.Wait()
	k.WriteGaps(ctx)
	return k.backend.Close()
}

// Lock is the ownership of the store, where that is a lock that can be passed on to a
// process that takes this one's place; nil where it is none.
func (k *Recorder) Lock() *os.File {
	if l, ok := k.backend.(interface{ Lock() *os.File }); ok {
		return l.Lock()
	}
	return nil
}

func (k *Recorder) count(what string) {
	k.mu.Lock()
	k.counts[what]++
	k.mu.Unlock()
}

// submit submits op and calls then once: with the store's word or, when wait is over,
// with ErrUnavailable; the store is to blame only if wait is all of its class's, most. late
// gets a word that comes after that; it may be nil.
func (k *Recorder) submit(op *idempotency.Op, limit, wait time.Duration, keep bool, then func(error), late func()) {
	j := &job{op: op, retryOnError: keep, size: len(op.Answer) + len(op.Header), deadline: time.Now().Add(wait)}
	if keep {
		j.deadline = time.Now().Add(k.config.EndRetryDuration)
	}
	var once sync.Once
	t := time.AfterFunc(wait, func() {
		once.Do(func() {
			err := fmt.Errorf("%w: no word within %v", ErrUnavailable, wait)
			// Also while a call hangs: else each request would wait until that ends.
			if wait >= limit {
				k.count("waited in vain")
				k.committer.reportResult(err, 0)
			}
			then(err)
		})
	})
	j.done = func(err error) {
		first := false
		once.Do(func() { first = true })
		t.Stop()
		switch {
		case first:
			then(err)
		case err == nil && late != nil:
			late()
		}
	}
	k.committer.submit(j)
}

// Begin implements sidecar.Recorder.
func (k *Recorder) Begin(x *downstream.Exchange, left time.Duration, then func(sidecar.Verdict)) {
	class := k.classes[x.Class]
	if class == nil {
		then(sidecar.Verdict{})
		return
	}
	key, err := class.KeyRule.Key(x.Request.Head, x.Request.Body)
	if err != nil {
		k.count("no key")
		why := strings.Map(printable, err.Error())
		then(sidecar.Verdict{Answer: func(x *downstream.Exchange) { x.Deny(http.StatusBadRequest, why, 0) }})
		return
	}
	id, _ := idempotency.Field(x.Request.Head, "Req-Id") // the front saw to it
	e := &recordedRequest{recorder: k, class: class, key: key, lease: left + k.config.LeaseMargin,
		token: fmt.Sprintf("%s-%d", k.owner, k.tokens.Add(1)), fingerprint: idempotency.Fingerprint(x.Request.Head, x.Tenant, x.Request.Body), requestID: storableText(id)}
	op := e.op(idempotency.Claim)
	release := func() {
		if op.Result == idempotency.Granted && !class.FailOpen {
			k.submit(e.endOp(idempotency.NeverRan), class.MaxWait, class.MaxWait, true, func(error) {}, nil) // its client was turned away meanwhile
		}
	}
	k.submit(op, class.MaxWait, min(class.MaxWait, left/4), false, func(err error) {
		switch {
		case err == nil:
			then(k.verdict(e, op))
		case class.FailOpen:
			e.failOpen(err)
			then(sidecar.Verdict{Entry: e})
		default:
			k.count("refused")
			if !errors.Is(err, ErrUnavailable) { // it may have been written all the same
				op.Result = idempotency.Granted
				release()
			}
			then(sidecar.Verdict{Answer: func(x *downstream.Exchange) { x.Reject(unavailableRetry) }})
		}
	}, release)
}

// storableText makes a text one that each database takes.
func storableText(s string) string {
	return strings.ReplaceAll(strings.ToValidUTF8(s, "?"), "\x00", "?")
}

func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return '?'
	}
	return r
}

// verdict is what the store's word on a claim means for its request.
func (k *Recorder) verdict(e *recordedRequest, op *idempotency.Op) sidecar.Verdict {
	k.count("claims " + op.Result.String())
	deny := func(status int, why string, after time.Duration) sidecar.Verdict {
		return sidecar.Verdict{Answer: func(x *downstream.Exchange) { x.Deny(status, why, after) }}
	}
	row := &op.Entry
	switch op.Result {
	case idempotency.Granted:
		return sidecar.Verdict{Entry: e}
	case idempotency.Busy:
		return deny(http.StatusConflict, "in-flight; ask again with the same key", busyRetry)
	case idempotency.KeyReused:
		return deny(http.StatusUnprocessableEntity, "key-reused; the key belongs to a request that asked for something else", 0)
	case idempotency.AlreadyAnswered:
		if row.AnswerOmitted || row.SettledBy != "" {
			return deny(http.StatusConflict, "answered; it ran, and its answer is not kept", 0)
		}
		ans := &upstream.Answer{Header: decodeHeader(row.Header), Body: row.Answer}
		return sidecar.Verdict{Answer: func(x *downstream.Exchange) { x.Serve(ans) }}
	}
	return deny(http.StatusConflict, "may-have-run; it is not sent again, the shop's staff must settle it", 0)
}

// recordedRequest is a recorded request.
type recordedRequest struct {
	recorder    *Recorder
	class       *Class
	key         string
	token       string
	fingerprint []byte
	requestID   string
	lease       time.Duration

	mu          sync.Mutex
	storeFailed bool // the store failed it: it is asked no more about attempts
	fenced      bool // the claim is another's: nothing may go
	inGap       bool
}

func (e *recordedRequest) op(kind idempotency.OpKind) *idempotency.Op {
	return &idempotency.Op{Kind: kind, Class: e.class.Name, Key: e.key, Token: e.token, Owner: e.recorder.owner, Fingerprint: e.fingerprint, RequestID: e.requestID, Lease: e.lease}
}

func (e *recordedRequest) endOp(to idempotency.State) *idempotency.Op {
	op := e.op(idempotency.End)
	op.Outcome = to
	return op
}

// failOpen marks that the request goes on without the store.
func (e *recordedRequest) failOpen(cause error) {
	e.mu.Lock()
	was := e.inGap
	e.storeFailed, e.inGap = true, true
	e.mu.Unlock()
	if was {
		return
	}
	now := time.Now().UnixMicro()
	k := e.recorder
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts["gaps"]++
	g := k.unwrittenGaps[e.class.Name]
	if g == nil {
		g = &idempotency.Gap{Owner: k.owner, Class: e.class.Name, From: now, Cause: storableText(cause.Error())}
		k.unwrittenGaps[e.class.Name] = g
	}
	g.Until = now
	g.Requests++
}

// Sending implements sidecar.Entry.
func (e *recordedRequest) Sending(n int, server string, then func(ok bool)) {
	e.mu.Lock()
	broken, fenced := e.storeFailed, e.fenced
	e.mu.Unlock()
	if broken || fenced {
		then(e.class.FailOpen && !fenced)
		return
	}
	op := e.op(idempotency.Send)
	op.Attempt, op.Server = n, storableText(server)
	e.recorder.submit(op, e.class.MaxWait, e.class.MaxWait, false, func(err error) {
		switch {
		case err == nil && op.Result == idempotency.Granted:
			then(true)
		case err == nil:
			e.recorder.count("fenced")
			e.mu.Lock()
			e.fenced = true
			e.mu.Unlock()
			then(false) // others may go on with the key: not this one, whatever its class
		case e.class.FailOpen:
			e.failOpen(err)
			then(true)
		default:
			e.mu.Lock()
			e.storeFailed = true
			e.mu.Unlock()
			then(false)
		}
	}, nil)
}

// stateOfEnd are what the sidecar's ends are to the record.
var stateOfEnd = map[sidecar.End]idempotency.State{sidecar.Served: idempotency.Answered, sidecar.NeverRan: idempotency.NeverRan, sidecar.MayHaveRun: idempotency.MayHaveRun}

// End implements sidecar.Entry.
func (e *recordedRequest) End(end sidecar.End, ans *upstream.Answer, left time.Duration, then func()) {
	op := e.endOp(stateOfEnd[end])
	if ans != nil {
		op.Status, op.Header = http.StatusOK, encodeHeader(ans.Header)
		if len(ans.Body) <= e.recorder.config.MaxAnswerBytes {
			op.Answer = ans.Body
		} else {
			op.AnswerOmitted = true
		}
	}
	e.recorder.submit(op, e.class.MaxWait, max(0, min(e.class.MaxWait, left)), true, func(error) { then() }, nil)
}

// Fields of an answer that are kept: those that say what its body is.
var retainedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Etag", "Last-Modified", "Location"}

// maxHeaderBytes bounds the kept fields, in bytes; past it they are left out.
const maxHeaderBytes = 2 << 10

func encodeHeader(h http.Header) []byte {
	var b []byte
	for _, name := range retainedHeaders {
		for _, v := range h[name] {
			if line := name + ": " + v + "\r\n"; len(b)+len(line) <= maxHeaderBytes {
				b = append(b, line...)
			}
		}
	}
	return b
}

func decodeHeader(b []byte) http.Header {
	h := make(http.Header)
	for line := range bytes.SplitSeq(b, []byte("\r\n")) {
		if k, v, ok := bytes.Cut(line, []byte(": ")); ok {
			h.Add(string(k), string(v))
		}
	}
	return h
}

// sweep drops what has been kept for long enough and writes gaps. It ends with the
// Keeper.
func (k *Recorder) sweep() {
	t := time.NewTicker(k.config.SweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-k.stop:
			return
		}
		if k.unavailable() {
			continue
		}
		k.WriteGaps(k.committer.ctx)
		for {
			ctx, cancel := context.WithTimeout(k.committer.ctx, k.config.StatementTimeout)
			n, err := k.backend.Sweep(ctx, k.config.Retention, maxSweptRows)
			cancel()
			if err != nil {
				slog.Warn("the record was not swept", "err", err)
			}
			if err != nil || n < maxSweptRows {
				break
			}
			select {
			case <-time.After(5 * time.Millisecond): // requests get in between
			case <-k.stop:
				return
			}
		}
	}
}

func (k *Recorder) unavailable() bool {
	k.committer.mu.Lock()
	defer k.committer.mu.Unlock()
	open, _, _ := k.committer.breaker.Open()
	return open
}

// WriteGaps notes in the store which requests went on without it.
func (k *Recorder) WriteGaps(within context.Context) {
	k.mu.Lock()
	gaps := k.unwrittenGaps
	k.unwrittenGaps = make(map[string]*idempotency.Gap)
	k.mu.Unlock()
	for class, g := range gaps {
		ctx, cancel := context.WithTimeout(within, k.config.StatementTimeout)
		err := k.backend.Gap(ctx, *g)
		cancel()
		if err == nil {
			continue
		}
		slog.Warn("a gap of the record was not noted", "class", class, "requests", g.Requests, "err", err)
		k.mu.Lock()
		if now := k.unwrittenGaps[class]; now != nil {
			now.From, now.Requests, now.Cause = g.From, now.Requests+g.Requests, g.Cause
		} else {
			k.unwrittenGaps[class] = g
		}
		k.mu.Unlock()
	}
}

// Status is one line for the health call: the breaker's state, what waits, and the
// counts since the start.
func (k *Recorder) Status() string {
	k.committer.mu.Lock()
	line := fmt.Sprintf("%s; breaker=%s; queued=%d; lost=%d", k.config.StoreName, k.committer.breaker.State(), k.committer.queued, k.committer.lost)
	open, _, cause := k.committer.breaker.Open()
	k.committer.mu.Unlock()
	k.mu.Lock()
	var names []string
	for name := range k.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		line += fmt.Sprintf("; %s=%d", strings.ReplaceAll(name, " ", "-"), k.counts[name])
	}
	k.mu.Unlock()
	if open {
		line += "; cause=" + strings.Map(printable, cause)
	}
	return line
}

// Batches is how many transactions were written, and of how many ops.
func (k *Recorder) Batches() (batches, ops int64) {
	k.committer.mu.Lock()
	defer k.committer.mu.Unlock()
	return k.committer.batches, k.committer.ops
}
