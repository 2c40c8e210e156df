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

// ErrUnavailable means that the store did not reply in time, or that an op was not queued
// as the breaker is open, the queue is full or the sidecar is stopping.
var ErrUnavailable = errors.New("the idempotency store is unavailable")

// drainPollInterval is the interval at which close checks whether the queue is empty.
const drainPollInterval = time.Millisecond

// job is one op that waits to be written.
type job struct {
	op           *idempotency.Op
	deadline     time.Time   // the op is dropped if it was not written by then
	retryOnError bool        // the op is written again after an error, until deadline
	size         int         // bytes of the answer and its header in op
	done         func(error) // called once with the result

	// The store may never accept a job that failed as the only one of its batch. Such a
	// job is isolated: it is retried in a batch of its own after a backoff, and between two
	// such batches the worker writes other jobs.
	isolated  bool
	notBefore time.Time // the end of the backoff
	attempts  int       // failed writes as the only job of a batch
}

// committer writes ops to the backend. Ops that wait at the same time are written in one
// transaction, a batch. The ops of one key keep their order, as each key belongs to one
// shard and each shard has one worker; requeueIsolated describes the exception.
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
	lost        int64 // outcomes that were given up without being written
	batches     int64 // transactions that were written
	ops         int64 // ops in these transactions
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
	for range max(1, config.MaxTransactions) {
		s := &shard{committer: c, wake: make(chan struct{}, 1)}
		c.shards = append(c.shards, s)
		c.workers.Go(s.run)
	}
	return c
}

// now returns the time since the committer's start, which the breaker uses as its clock.
func (c *committer) now() time.Duration { return time.Since(c.start) }

// submit queues a job. The job's done is called once, from any goroutine; if the job is not
// queued, it is called before submit returns.
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

// rejection returns the reason why a job can't be queued, or nil. The caller holds c.mu.
func (c *committer) rejection(j *job) error {
	open, _, cause := c.breaker.Open()
	switch {
	case c.closing:
		return fmt.Errorf("%w: the sidecar is stopping", ErrUnavailable)
	case open && !j.retryOnError:
		return fmt.Errorf("%w: %s", ErrUnavailable, cause)
	case c.queued >= c.config.MaxQueuedOps || c.queuedBytes+j.size > c.config.MaxQueuedBytes:
		if j.retryOnError {
			c.lost++
		}
		return fmt.Errorf("%w: its queue is full with %d ops and %d bytes of answers", ErrUnavailable, c.queued, c.queuedBytes)
	}
	return nil
}

// reportResult reports the result of a call of the backend to the breaker. A call that took
// longer than the longest MaxWait counts as a failure, as no request waits for it. ErrFull
// counts as a success, as a full store replies.
func (c *committer) reportResult(err error, elapsed time.Duration) {
	if err == nil && elapsed > c.config.slowCommit {
		err = fmt.Errorf("a transaction took %v, longer than any request waits", elapsed.Round(time.Millisecond))
	}
	if errors.Is(err, idempotency.ErrFull) {
		err = nil
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

// finish subtracts a job from the counts of queued jobs and calls its done.
func (c *committer) finish(j *job, err error) {
	c.mu.Lock()
	c.queued--
	c.queuedBytes -= j.size
	c.mu.Unlock()
	j.done(err)
}

// close waits until the queued jobs are written or ctx is done, and ends the workers. The
// jobs that are left then fail with ErrUnavailable.
func (c *committer) close(ctx context.Context) {
	c.drain(ctx)
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	close(c.stop)
	c.workers.Wait()
	for _, j := range c.abandonQueues() {
		j.done(fmt.Errorf("%w: the sidecar is stopping", ErrUnavailable))
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

// abandonQueues empties all queues and returns the jobs that were in them.
func (c *committer) abandonQueues() (abandoned []*job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.shards {
		abandoned = append(abandoned, s.queue...)
		s.queue = nil
	}
	c.queued, c.queuedBytes = 0, 0
	for _, j := range abandoned {
		if j.retryOnError {
			c.lost++
		}
	}
	return abandoned
}
