// Package recorder connects a sidecar's requests to its idempotency store. It claims
// each key before the request is forwarded, writes each attempt before its first byte
// and each outcome before the answer. No request waits for the store longer than its
// class's MaxWait; a class that fails open continues without the store.
//
// What is known of a key is decided by internal/idempotency, and whether a request is
// retried by the decision module.
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

// Class is a class of requests that is recorded.
type Class struct {
	Name     string
	KeyRule  idempotency.KeyRule
	FailOpen bool          // continues while the store is unavailable; otherwise rejected
	MaxWait  time.Duration // for each reply of the store
}

// Config says how a store is used. All of it must be set.
type Config struct {
	StoreName        string // shown to operators
	Classes          []Class
	Writers          int           // concurrent transactions
	MaxBatch         int           // ops in one transaction
	MaxQueuedOps     int           // ops that wait to be written
	MaxQueuedBytes   int           // bytes of answers among them
	StatementTimeout time.Duration // of a transaction
	EndRetryDuration time.Duration // for which an outcome that failed to be written is retried
	LeaseMargin      time.Duration // for which a claim's owner counts as alive after its deadline
	MaxAnswerBytes   int           // bytes of an answer's body that are stored
	Retention        idempotency.Retention
	SweepInterval    time.Duration
	BreakerThreshold int // consecutive failures that open the breaker
	MinBackoff       time.Duration
	MaxBackoff       time.Duration

	slowCommit time.Duration // the longest MaxWait: a slower commit counts as a failure
}

// ownerIDBytes is the length of the random ID of a sidecar's run, in bytes.
const ownerIDBytes = 12

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
	unwrittenGaps map[string]*idempotency.Gap // by class
	counts        map[string]int64
}

var _ sidecar.Recorder = (*Recorder)(nil)

// New returns a Recorder over backend, which Close closes.
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

// Close writes what is queued, as long as ctx allows, and closes the store.
func (r *Recorder) Close(ctx context.Context) error {
	close(r.stop)
	r.committer.close(ctx)
	r.workers.Wait()
	r.WriteGaps(ctx)
	return r.backend.Close()
}

// Lock is the lock that owns the store, which can be passed to the process that
// replaces this one; nil if the store has none.
func (r *Recorder) Lock() *os.File {
	if locked, ok := r.backend.(interface{ Lock() *os.File }); ok {
		return locked.Lock()
	}
	return nil
}

func (r *Recorder) count(event string) {
	r.mu.Lock()
	r.counts[event]++
	r.mu.Unlock()
}

// submission is an op for the store and what to do with its result.
type submission struct {
	op *idempotency.Op
	// maxWait is the class's bound. The store is blamed for a timeout only if wait, which
	// may be cut short by the request's deadline, is as long.
	maxWait, wait time.Duration
	// retryOnError keeps the op queued after an error, for EndRetryDuration.
	retryOnError bool
	// done is called once: with the store's result or, once wait has passed, with
	// ErrUnavailable.
	done func(error)
	// doneAfterTimeout, where set, is called for a success that follows a timeout.
	doneAfterTimeout func()
}

// submit queues a submission's op. It does not block.
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
			err := fmt.Errorf("%w: no word within %v", ErrUnavailable, s.wait)
			// Reported before a hanging call ends: otherwise each request waits for it.
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

// unavailable says whether the breaker is open.
func (r *Recorder) unavailable() bool {
	r.committer.mu.Lock()
	defer r.committer.mu.Unlock()
	open, _, _ := r.committer.breaker.Open()
	return open
}

// Status is one line for health responses: the breaker's state, the queue's length, and
// the counts since the start.
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

// Batches is the number of transactions written, and of the ops in them.
func (r *Recorder) Batches() (batches, ops int64) {
	r.committer.mu.Lock()
	defer r.committer.mu.Unlock()
	return r.committer.batches, r.committer.ops
}

// storableText replaces what a database does not store as text: invalid UTF-8 and NUL.
func storableText(text string) string {
	return strings.ReplaceAll(strings.ToValidUTF8(text, "?"), "\x00", "?")
}

// printable maps what is not printable ASCII to a question mark.
func printable(char rune) rune {
	if char < ' ' || char > '~' {
		return '?'
	}
	return char
}
