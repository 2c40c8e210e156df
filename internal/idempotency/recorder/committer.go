package recorder

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"martendrum/internal/idempotency"
)

// ErrUnavailable says that the store was not called: it does not reply, or too many ops
// are queued for it.
var ErrUnavailable = errors.New("the store is away")

// drainPollInterval is how often close looks whether the queue is empty.
const drainPollInterval = time.Millisecond

// job is one op that waits to be written.
type job struct {
	op           *idempotency.Op
	deadline     time.Time // the op is dropped after it
	retryOnError bool      // retried after an error, until deadline
	size         int       // bytes of the answer in op
	done         func(error)

	// A job that failed in a batch of its own may be one that the store never accepts.
	// It is retried alone, after a backoff, and alternates with batches of others.
	alone     bool
	notBefore time.Time
	attempts  int
}

// committer writes ops to the backend, those that wait together in one transaction.
// Ops of one key stay in order: each key has its shard, and each shard its worker.
type committer struct {
	config  *Config
	backend idempotency.Backend
	shards  []*shard
	seed    maphash.Seed
	start   time.Time
	stop    chan struct{}
	ctx     context.Context // of each call to the backend; cancelled by close
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu          sync.Mutex
	breaker     idempotency.Breaker
	queued      int
	queuedBytes int
	lost        int64 // outcomes that were never written
	batches     int64
	ops         int64
	closing     bool
}

func newCommitter(config *Config, backend idempotency.Backend) *committer {
	c := &committer{
		config:  config,
		backend: backend,
		seed:    maphash.MakeSeed(),
		start:   time.Now(),
		stop:    make(chan struct{}),
		breaker: idempotency.NewBreaker(config.BreakerThreshold, config.MinBackoff, config.MaxBackoff),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for range max(1, config.Writers) {
		s := &shard{committer: c, wake: make(chan struct{}, 1)}
		c.shards = append(c.shards, s)
		c.workers.Go(s.run)
	}
	return c
}

// now is the time on the breaker's scale.
func (c *committer) now() time.Duration { return time.Since(c.start) }

// submit queues a job. Its done is called once, from any goroutine, and at once if the
// breaker is open or the queue is full.
func (c *committer) submit(j *job) {
	c.mu.Lock()
	if err := c.rejection(j); err != nil {
		c.mu.Unlock()
		j.done(err)
		return
	}
	c.queued++
	c.queuedBytes += j.size
	s := c.shards[maphash.String(c.seed, j.op.Class+"\x00"+j.op.Key)%uint64(len(c.shards))]
	s.queue = append(s.queue, j)
	c.mu.Unlock()
	s.notify()
}

// rejection says why a job is not queued; nil if it may be. The caller holds the lock.
func (c *committer) rejection(j *job) error {
	open, _, cause := c.breaker.Open()
	switch {
	case c.closing:
		return fmt.Errorf("%w: the sidecar stops", ErrUnavailable)
	case open && !j.retryOnError:
		return fmt.Errorf("%w: %s", ErrUnavailable, cause)
	case c.queued >= c.config.MaxQueuedOps || c.queuedBytes+j.size > c.config.MaxQueuedBytes:
		if j.retryOnError {
			c.lost++
		}
		return fmt.Errorf("%w: %d ops of %d bytes wait for it already", ErrUnavailable, c.queued, c.queuedBytes)
	}
	return nil
}

// reportResult reports a call's result to the breaker. A call that took longer than any
// request waits for it counts as a failure.
func (c *committer) reportResult(err error, elapsed time.Duration) {
	if err == nil && elapsed > c.config.slowCommit {
		err = fmt.Errorf("a commit took %v", elapsed.Round(time.Millisecond))
	}
	if errors.Is(err, idempotency.ErrFull) {
		err = nil // a full store still replies
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.breaker.Succeeded()
		return
	}
	wasOpen, _, _ := c.breaker.Open()
	c.breaker.Failed(c.now(), err.Error(), rand.Float64())
	if open, _, _ := c.breaker.Open(); open && !wasOpen {
		slog.Warn("idempotency store unavailable", "err", err)
		for _, s := range c.shards {
			s.notify()
		}
	}
}

// finish takes a job out of the queue's counts and calls its done.
func (c *committer) finish(j *job, err error) {
	c.mu.Lock()
	c.queued--
	c.queuedBytes -= j.size
	c.mu.Unlock()
	j.done(err)
}

// close writes what is queued, as long as ctx allows, and ends the workers. Jobs that
// are left fail.
func (c *committer) close(ctx context.Context) {
	c.drain(ctx)
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	close(c.stop)
	c.workers.Wait()
	for _, j := range c.abandonQueues() {
		j.done(fmt.Errorf("%w: the sidecar stops", ErrUnavailable))
	}
}

// drain waits until the queue is empty or ctx is done.
func (c *committer) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.mu.Lock()
		queued := c.queued
		c.mu.Unlock()
		if queued == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// abandonQueues empties all queues and returns the jobs that were left.
func (c *committer) abandonQueues() (left []*job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.shards {
		left = append(left, s.queue...)
		s.queue = nil
	}
	c.queued, c.queuedBytes = 0, 0
	for _, j := range left {
		if j.retryOnError {
			c.lost++
		}
	}
	return left
}
