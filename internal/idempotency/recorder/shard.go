package recorder

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"martendrum/internal/idempotency"
)

const (
	// idleInterval is the longest time that a worker waits while it has nothing to write.
	idleInterval = time.Minute
	// minPollInterval is the shortest time that a worker waits for a backoff to end.
	minPollInterval = time.Millisecond
	// maxBackoffDoublings keeps the shift that computes the backoff of an isolated job from
	// overflowing.
	maxBackoffDoublings = 10
)

// shard is one queue of jobs and its worker.
type shard struct {
	committer *committer
	wake      chan struct{} // signalled when the queue or the breaker has changed

	// Guarded by committer.mu, except for singleOpBatches, which only the worker uses.
	queue           []*job
	singleOpBatches int  // how many of the next batches have only one op, after a batch that failed
	lastWasIsolated bool // the last batch was an isolated job
}

// notify wakes the worker. It does not block.
func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the worker: it writes the queued jobs until the committer is closed.
func (s *shard) run() {
	// The worker waits for an open breaker to close even if it has nothing to write: while the
	// breaker is open, jobs without retryOnError are not queued, so only a probe can close it.
	for s.awaitStore() {
		batch, expired, wait := s.nextBatch()
		for _, j := range expired {
			s.committer.finish(j, fmt.Errorf("%w: the op was not written before its deadline", ErrUnavailable))
		}
		switch {
		case len(batch) > 0:
			s.commit(batch)
			select {
			case <-s.committer.stop:
				return
			default:
			}
		case len(expired) == 0:
			if !s.idle(wait) {
				return
			}
		}
	}
}

// idle waits until the worker is notified or wait has passed; 0 means idleInterval. It
// returns false if the committer is closed.
func (s *shard) idle(wait time.Duration) bool {
	if wait == 0 {
		wait = idleInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.wake:
	case <-timer.C:
	case <-s.committer.stop:
		return false
	}
	return true
}

// nextBatch removes the next batch and the jobs whose deadline is over from the queue. A
// batch may have several ops of one key, which are applied in order. wait, if it is not 0,
// is the time after which an isolated job that is still queued may be written.
func (s *shard) nextBatch() (batch, expired []*job, wait time.Duration) {
	c := s.committer
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.config.MaxBatch
	if s.singleOpBatches > 0 {
		limit, s.singleOpBatches = 1, s.singleOpBatches-1
	}
	now := time.Now()
	var isolated *job
	remaining := s.queue[:0]
	for _, j := range s.queue {
		switch {
		case now.After(j.deadline):
			expired = append(expired, j)
			if j.retryOnError {
				c.lost++
			}
		case j.isolated && isolated == nil && !s.lastWasIsolated && !now.Before(j.notBefore):
			isolated = j
		case j.isolated:
			if due := max(j.notBefore.Sub(now), minPollInterval); wait == 0 || due < wait {
				wait = due
			}
			remaining = append(remaining, j)
		case len(batch) < limit:
			batch = append(batch, j)
		default:
			remaining = append(remaining, j)
		}
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
	s.lastWasIsolated = isolated != nil
	if isolated != nil {
		s.queue = append(batch[:len(batch):len(batch)], s.queue...)
		batch = []*job{isolated}
	}
	return batch, expired, wait
}

// requeue puts jobs at the front of the queue.
func (s *shard) requeue(jobs []*job) {
	s.committer.mu.Lock()
	s.queue = append(jobs[:len(jobs):len(jobs)], s.queue...)
	s.committer.mu.Unlock()
}

// requeueIsolated puts back a job that failed as the only one of its batch, as an isolated
// job. Later ops of the same key may be applied before it. They find the key in flight, as
// only an outcome is retried.
func (s *shard) requeueIsolated(j *job) {
	config := s.committer.config
	s.committer.mu.Lock()
	j.notBefore = time.Now().Add(min(config.MinBackoff<<min(j.attempts, maxBackoffDoublings), config.MaxBackoff))
	j.isolated = true
	j.attempts++
	s.queue = append(s.queue, j)
	s.committer.mu.Unlock()
}

// rejoinBatches ends the isolation of jobs, which may have failed only because the store was
// unavailable.
func (s *shard) rejoinBatches() {
	s.committer.mu.Lock()
	for _, j := range s.queue {
		j.isolated = false
	}
	s.committer.mu.Unlock()
}

// awaitStore returns true when the breaker is closed. While it is open, awaitStore probes the
// store after each backoff. It returns false if the committer is closed.
func (s *shard) awaitStore() bool {
	c := s.committer
	for {
		c.mu.Lock()
		open, until, _ := c.breaker.Open()
		now := c.now()
		probe := open && c.breaker.Allow(now)
		c.mu.Unlock()
		if !open {
			return true
		}
		if probe {
			if s.probe() {
				return true
			}
			continue
		}
		timer := time.NewTimer(max(until-now, minPollInterval))
		select {
		case <-timer.C:
		case <-c.stop:
			timer.Stop()
			return false
		}
	}
}

// probe pings the store, reports the result to the breaker, and returns whether the ping
// succeeded.
func (s *shard) probe() bool {
	c := s.committer
	ctx, cancel := context.WithTimeout(c.ctx, c.config.StatementTimeout)
	err := c.backend.Ping(ctx)
	cancel()
	c.reportResult(err, 0)
	if err != nil {
		return false
	}
	slog.Info("idempotency store available again")
	for _, shard := range c.shards {
		shard.rejoinBatches()
	}
	return true
}

// commit writes a batch in one transaction. The failure of an isolated job is not reported to
// the breaker, as the fault may lie in the job.
func (s *shard) commit(batch []*job) {
	c := s.committer
	ops := make([]*idempotency.Op, len(batch))
	for n, j := range batch {
		ops[n] = j.op
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.config.StatementTimeout)
	started := time.Now()
	err := c.backend.Apply(ctx, ops)
	cancel()
	if !batch[0].isolated || err == nil {
		c.reportResult(err, time.Since(started))
	}
	if err != nil {
		s.commitFailed(batch, err)
		return
	}
	c.mu.Lock()
	c.batches++
	c.ops += int64(len(batch))
	c.mu.Unlock()
	for _, j := range batch {
		c.finish(j, nil)
	}
}

// commitFailed puts the jobs of a failed batch that are retried back into the queue, and
// finishes the others with err.
func (s *shard) commitFailed(batch []*job, err error) {
	slog.Warn("could not write to the idempotency store", "ops", len(batch), "err", err)
	var retried []*job
	for _, j := range batch {
		if j.retryOnError {
			retried = append(retried, j)
		}
	}
	switch {
	case len(batch) > 1:
		// The jobs are requeued in order, before the callers of the other jobs learn of the
		// failure and submit ops that must follow these. They are written in batches of one
		// job, as the store may reject only one of them.
		s.requeue(retried)
		s.singleOpBatches = len(retried)
	case len(retried) == 1:
		s.requeueIsolated(retried[0])
	}
	for _, j := range batch {
		if !j.retryOnError {
			s.committer.finish(j, err)
		}
	}
}
