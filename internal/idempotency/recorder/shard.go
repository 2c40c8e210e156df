package recorder

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"martendrum/internal/idempotency"
)

const (
	// idleInterval bounds how long a worker waits with nothing to write.
	idleInterval = time.Minute
	// minPollInterval bounds from below how soon a worker looks again.
	minPollInterval = time.Millisecond
	// maxBackoffDoublings keeps the backoff of a job that is retried alone in range.
	maxBackoffDoublings = 10
)

// shard is one queue and its worker.
type shard struct {
	committer *committer
	wake      chan struct{} // signalled when the queue or the breaker changed

	// Guarded by the committer's lock but for soloRemaining, which is the worker's.
	queue         []*job
	soloRemaining int  // ops still to be written one by one, after a batch that failed
	lastWasSolo   bool // the last batch was one job that is retried alone
}

// notify wakes the worker.
func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the worker. It ends when the committer is closed.
func (s *shard) run() {
	// The breaker is waited for even with nothing to write: while it is open, nothing is
	// queued that could close it.
	for s.awaitStore() {
		batch, expired, wait := s.nextBatch()
		for _, j := range expired {
			s.committer.finish(j, fmt.Errorf("%w: it took too long", ErrUnavailable))
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

// idle waits until the worker is woken or wait has passed (0: idleInterval). It returns
// false once the committer is closed.
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

// nextBatch removes from the queue the next batch and the jobs whose deadline is over.
// A key may occur more than once in a batch: its ops are applied in order. wait, where
// above 0, is the time until a job that is retried alone is due.
func (s *shard) nextBatch() (batch, expired []*job, wait time.Duration) {
	c := s.committer
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.config.MaxBatch
	if s.soloRemaining > 0 {
		limit, s.soloRemaining = 1, s.soloRemaining-1
	}
	now := time.Now()
	var alone *job
	left := s.queue[:0]
	for _, j := range s.queue {
		switch {
		case now.After(j.deadline):
			expired = append(expired, j)
			if j.retryOnError {
				c.lost++
			}
		case j.alone && alone == nil && !s.lastWasSolo && !now.Before(j.notBefore):
			alone = j
		case j.alone:
			if due := max(j.notBefore.Sub(now), minPollInterval); wait == 0 || due < wait {
				wait = due
			}
			left = append(left, j)
		case len(batch) < limit:
			batch = append(batch, j)
		default:
			left = append(left, j)
		}
	}
	clear(s.queue[len(left):])
	s.queue = left
	s.lastWasSolo = alone != nil
	if alone != nil {
		s.queue = append(batch[:len(batch):len(batch)], s.queue...)
		batch = []*job{alone}
	}
	return batch, expired, wait
}

// requeue puts jobs at the head of the queue.
func (s *shard) requeue(jobs []*job) {
	s.committer.mu.Lock()
	s.queue = append(jobs[:len(jobs):len(jobs)], s.queue...)
	s.committer.mu.Unlock()
}

// requeueAlone puts back a job that failed in a batch of its own, to be retried alone.
// Ops of the same key that overtake it find the key in flight.
func (s *shard) requeueAlone(j *job) {
	config := s.committer.config
	s.committer.mu.Lock()
	j.notBefore = time.Now().Add(min(config.MinBackoff<<min(j.attempts, maxBackoffDoublings), config.MaxBackoff))
	j.alone = true
	j.attempts++
	s.queue = append(s.queue, j)
	s.committer.mu.Unlock()
}

// rejoinBatches lets jobs that are retried alone join batches again: they may have
// failed because the store was unavailable.
func (s *shard) rejoinBatches() {
	s.committer.mu.Lock()
	for _, j := range s.queue {
		j.alone = false
	}
	s.committer.mu.Unlock()
}

// awaitStore waits, while the breaker is open, until a probe is due and succeeds. It
// returns false once the committer is closed.
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

// probe pings the store, reports the result to the breaker and says whether it replied.
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

// commit writes a batch in one transaction.
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
	if !batch[0].alone || err == nil {
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

// commitFailed puts back the jobs that are retried and fails the others.
func (s *shard) commitFailed(batch []*job, err error) {
	slog.Warn("idempotency entries not written", "ops", len(batch), "err", err)
	var retried []*job
	for _, j := range batch {
		if j.retryOnError {
			retried = append(retried, j)
		}
	}
	switch {
	case len(batch) > 1:
		// Requeued in order, before the failed jobs' callers can submit ops that depend on
		// these. They are written one by one, as the store may reject only one of them.
		s.requeue(retried)
		s.soloRemaining = len(retried)
	case len(retried) == 1:
		s.requeueAlone(retried[0])
	}
	for _, j := range batch {
		if !j.retryOnError {
			s.committer.finish(j, err)
		}
	}
}
