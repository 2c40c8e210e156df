// Package recorder connects a sidecar's requests to its idempotency store. It claims the
// key of each request before the request is forwarded, writes each attempt before its first
// byte is sent, and writes the outcome before the client receives the answer. No request
// waits longer than its class's MaxWait for a reply of the store. While the store is
// unavailable, requests of a class that fails open continue without it, and those of the
// other classes are rejected.
//
// Package idempotency decides what each event means for a key. The decision module, package
// martendrum, decides whether a request is retried.
package recorder

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/sidecar"
)

// Class is a class of requests whose keys are recorded.
type Class struct {
	Name    string
	KeyRule idempotency.KeyRule
	// FailOpen lets requests continue without the store while it is unavailable. Without
	// FailOpen they are rejected.
	FailOpen bool
	MaxWait  time.Duration // maximum wait of a request for each reply of the store
}

// Config says how a store is used. All exported fields must be set.
type Config struct {
	StoreName        string // shown to operators
	Classes          []Class
	MaxTransactions  int           // maximum number of concurrent transactions
	MaxBatch         int           // maximum number of ops in one transaction
	MaxQueuedOps     int           // maximum number of ops that wait to be written
	MaxQueuedBytes   int           // maximum size of the answers in these ops
	StatementTimeout time.Duration // timeout of each call of the store
	EndRetryDuration time.Duration // how long an outcome that can't be written is retried
	LeaseMargin      time.Duration // how long the owner of a claim counts as alive after the request's deadline
	MaxAnswerBytes   int           // maximum size of an answer's body that is stored; a larger one is omitted
	Retention        idempotency.Retention
	SweepInterval    time.Duration // time between two sweeps of the store
	BreakerThreshold int           // consecutive failures that open the breaker
	MinBackoff       time.Duration // of the breaker, and of ops that the store does not accept
	MaxBackoff       time.Duration

	slowCommit time.Duration // the longest MaxWait; a transaction that takes longer counts as a failure
}

// ownerIDBytes is the length of the random ID of a sidecar process, in bytes.
const ownerIDBytes = 12

// Recorder implements sidecar.Recorder with an idempotency store.
type Recorder struct {
	config    Config
	backend   idempotency.Backend
	committer *committer
	owner     string            // random ID of this process
	tokens    atomic.Uint64     // number of tokens that were assigned
	classes   map[string]*Class // by name
	stop      chan struct{}
	workers   sync.WaitGroup

	mu            sync.Mutex
	unwrittenGaps map[string]*idempotency.Gap // by class
	counts        map[string]int64            // events by the name that Status shows
}

var _ sidecar.Recorder = (*Recorder)(nil)

// New returns a Recorder that stores entries in backend. Recorder.Close closes backend.
func New(config Config, backend idempotency.Backend) *Recorder {
	var id [ownerIDBytes]byte
	rand.Read(id[:])
	r := &Recorder{
		config:        config,
		backend:       backend,
		owner:         hex.EncodeToString(id[:]),
		classes:       make(map[string]*Class),
		stop:          make(chan struct{}),
		unwrittenGaps: make(map[string]*idempotency.Gap),
		counts:        make(map[string]int64),
	}
	for n := range config.Classes {
		class := &r.config.Classes[n]
		r.classes[class.Name] = class
		r.config.slowCommit = max(r.config.slowCommit, class.MaxWait)
	}
	r.committer = newCommitter(&r.config, backend)
	r.workers.Go(r.sweep)
	return r
}

// Close waits until the queued ops and the gaps are written or ctx is done, and closes the
// store. Requests must not use the Recorder afterwards. It must be called once.
func (r *Recorder) Close(ctx context.Context) error {
	close(r.stop)
	r.committer.close(ctx)
	r.workers.Wait()
	r.WriteGaps(ctx)
	return r.backend.Close()
}

// Lock returns the lock of the store's file, which this process passes to its successor, or
// nil if the store has no lock.
func (r *Recorder) Lock() *os.File {
	if locked, ok := r.backend.(interface{ Lock() *os.File }); ok {
		return locked.Lock()
	}
	return nil
}

// count counts an event for Status.
func (r *Recorder) count(event string) {
	r.mu.Lock()
	r.counts[event]++
	r.mu.Unlock()
}

// submission is an op for the store and the functions that receive its result.
type submission struct {
	op *idempotency.Op
	// maxWait is the MaxWait of the class. wait is how long done waits for the store; it may
	// be shorter because of the request's deadline. A timeout counts as a failure of the store
	// only if wait is not shorter than maxWait.
	maxWait, wait time.Duration
	// retryOnError retries the op after an error, for up to EndRetryDuration.
	retryOnError bool
	// done is called once, with the result of the store or, when wait has passed, with
	// ErrUnavailable.
	done func(error)
	// doneAfterTimeout, if set, is called if the op succeeds after done was called with
	// ErrUnavailable.
	doneAfterTimeout func()
}

// submit queues the op of a submission. It does not block.
func (r *Recorder) submit(s submission) {
	queued := &job{
		op:           s.op,
		retryOnError: s.retryOnError,
		size:         len(s.op.Answer) + len(s.op.Header),
		deadline:     time.Now().Add(s.wait),
	}
	if s.retryOnError {
		queued.deadline = time.Now().Add(r.config.EndRetryDuration)
	}
	var once sync.Once
	timeout := time.AfterFunc(s.wait, func() {
		once.Do(func() {
			err := fmt.Errorf("%w: no reply within %v", ErrUnavailable, s.wait)
			// The failure is reported before the call of the store ends. Otherwise, while the
			// call hangs, each further request would wait for it.
			if s.wait >= s.maxWait {
				r.count("waited in vain")
				r.committer.reportResult(err, 0)
			}
			s.done(err)
		})
	})
	queued.done = func(err error) {
		first := false
		once.Do(func() { first = true })
		timeout.Stop()
		switch {
		case first:
			s.done(err)
		case err == nil && s.doneAfterTimeout != nil:
			s.doneAfterTimeout()
		}
	}
	r.committer.submit(queued)
}

// unavailable reports whether the breaker is open.
func (r *Recorder) unavailable() bool {
	r.committer.mu.Lock()
	defer r.committer.mu.Unlock()
	open, _, _ := r.committer.breaker.Open()
	return open
}

// Status returns one line for health responses: the store's name, the breaker's state, the
// number of queued ops and of lost outcomes, the counts of events since the start and, while
// the breaker is open, the cause.
func (r *Recorder) Status() string {
	r.committer.mu.Lock()
	line := fmt.Sprintf("%s; breaker=%s; queued=%d; lost=%d", r.config.StoreName, r.committer.breaker.State(), r.committer.queued, r.committer.lost)
	open, _, cause := r.committer.breaker.Open()
	r.committer.mu.Unlock()
	r.mu.Lock()
	var names []string
	for name := range r.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		line += fmt.Sprintf("; %s=%d", strings.ReplaceAll(name, " ", "-"), r.counts[name])
	}
	r.mu.Unlock()
	if open {
		line += "; cause=" + strings.Map(printable, cause)
	}
	return line
}

// Batches returns the number of transactions written since the start, and the number of ops
// in them.
func (r *Recorder) Batches() (batches, ops int64) {
	r.committer.mu.Lock()
	defer r.committer.mu.Unlock()
	return r.committer.batches, r.committer.ops
}

// storableText replaces invalid UTF-8 and NUL, which PostgreSQL does not store as text, with
// question marks.
func storableText(text string) string {
	return strings.ReplaceAll(strings.ToValidUTF8(text, "?"), "\x00", "?")
}

// printable returns a question mark for a character that is not printable ASCII.
func printable(char rune) rune {
	if char < ' ' || char > '~' {
		return '?'
	}
	return char
}
