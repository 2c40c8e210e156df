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

// ErrUnavailable says that the store was not asked: it does not answer, or too much waits
// for it already.
var ErrUnavailable = errors.New("the store is away")

// idleInterval is how long a worker waits with nothing to do, at most.
const idleInterval = time.Minute

// job is one op that waits to be written.
type job struct {
	op           *idempotency.Op
	deadline     time.Time // no use after it
	retryOnError bool      // tried again after an error until then
	size         int       // bytes of the answer it holds
	done         func(error)

	// One that failed by itself goes alone from then on, after a pause, and between
	// others: it may be what the store never takes.
	alone     bool
	notBefore time.Time
	attempts  int
}

// committer brings ops to the backend, those that wait together in one transaction.
// Ops of one key stay in their order: each key has its shard, each shard its worker.
type committer struct {
	config  *Config
	backend idempotency.Backend
	shards  []*shard
	seed    maphash.Seed
	start   time.Time
	stop    chan struct{}
	ctx     context.Context // of all calls but the last; over when the committer is closed
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu          sync.Mutex
	breaker     idempotency.Breaker
	queued      int
	queuedBytes int
	lost        int64 // ends that were never written
	batches     int64
	ops         int64
	closing     bool
}

type shard struct {
	committer *committer
	wake      chan struct{} // something was queued, or all is over

	queue         []*job // guarded by the committer's lock
	soloRemaining int    // so many ops go one by one, after a batch that failed
	lastWasSolo   bool   // one that goes alone went last
}

func newCommitter(cfg *Config, b idempotency.Backend) *committer {
	c := &committer{config: cfg, backend: b, seed: maphash.MakeSeed(), start: time.Now(), stop: make(chan struct{}),
		breaker: idempotency.NewBreaker(cfg.BreakerThreshold, cfg.MinBackoff, cfg.MaxBackoff)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for range max(1, cfg.Writers) {
		s := &shard{committer: c, wake: make(chan struct{}, 1)}
		c.shards = append(c.shards, s)
		c.workers.Go(s.run)
	}
	return c
}

// now is time on the breaker's scale.
func (c *committer) now() time.Duration { return time.Since(c.start) }

// submit queues j. Its done is called once, from any goroutine; at once if the store
// is known to be away or the queue is full.
func (c *committer) submit(j *job) {
	c.mu.Lock()
	open, _, cause := c.breaker.Open()
	var err error
	switch {
	case c.closing:
		err = fmt.Errorf("%w: the sidecar stops", ErrUnavailable)
	case open && !j.retryOnError:
		err = fmt.Errorf("%w: %s", ErrUnavailable, cause)
	case c.queued >= c.config.MaxQueuedOps || c.queuedBytes+j.size > c.config.MaxQueuedBytes:
		err = fmt.Errorf("%w: %d ops of %d bytes wait for it already", ErrUnavailable, c.queued, c.queuedBytes)
		if j.retryOnError {
			c.lost++
		}
	}
	if err != nil {
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

func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is a worker. It ends when the committer is closed.
func (s *shard) run() {
	c := s.committer
	for {
		// Also with nothing to write: while the breaker is open, nothing is queued that
		// could close it.
		if !s.awaitStore() {
			return
		}
		batch, late, wait := s.nextBatch()
		for _, j := range late {
			s.finish(j, fmt.Errorf("%w: it took too long", ErrUnavailable))
		}
		if len(batch) == 0 {
			if len(late) > 0 {
				continue
			}
			if wait == 0 {
				wait = idleInterval
			}
			t := time.NewTimer(wait)
			select {
			case <-s.wake:
			case <-t.C:
			case <-c.stop:
				t.Stop()
				return
			}
			t.Stop()
			continue
		}
		s.commit(batch)
		select {
		case <-c.stop:
			return
		default:
		}
	}
}

// nextBatch removes the next batch from the queue, and what is late. One key may be in a
// batch more than once: ops are carried out in their order. wait, where above 0, is when
// one that goes alone is due.
func (s *shard) nextBatch() (batch, late []*job, wait time.Duration) {
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
			late = append(late, j)
			if j.retryOnError {
				c.lost++
			}
		case j.alone && alone == nil && !s.lastWasSolo && !now.Before(j.notBefore):
			alone = j
		case j.alone:
			if d := max(j.notBefore.Sub(now), time.Millisecond); wait == 0 || d < wait {
				wait = d
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
	return batch, late, wait
}

// requeue puts jobs at the head of the queue.
func (s *shard) requeue(jobs []*job) {
	s.committer.mu.Lock()
	s.queue = append(jobs[:len(jobs):len(jobs)], s.queue...)
	s.committer.mu.Unlock()
}

// requeueAlone puts a job that failed by itself back, to go alone. What overtakes it may be of
// its key, which is still in flight to it.
func (s *shard) requeueAlone(j *job) {
	s.committer.mu.Lock()
	j.notBefore = time.Now().Add(min(s.committer.config.MinBackoff<<min(j.attempts, 10), s.committer.config.MaxBackoff))
	j.alone = true
	j.attempts++
	s.queue = append(s.queue, j)
	s.committer.mu.Unlock()
}

// rejoinBatches lets those that go alone go with others again: the store was away.
func (s *shard) rejoinBatches() {
	s.committer.mu.Lock()
	for _, j := range s.queue {
		j.alone = false
	}
	s.committer.mu.Unlock()
}

// awaitStore waits, while the breaker is open, until a try is due and the store gives a
// sign of life; false when the committer is closed.
func (s *shard) awaitStore() bool {
	c := s.committer
	for {
		c.mu.Lock()
		open, until, _ := c.breaker.Open()
		now := c.now()
		try := open && c.breaker.Allow(now)
		c.mu.Unlock()
		if !open {
			return true
		}
		if try {
			ctx, cancel := context.WithTimeout(c.ctx, c.config.StatementTimeout)
			err := c.backend.Ping(ctx)
			cancel()
			c.reportResult(err, 0)
			if err == nil {
				slog.Info("the store is back")
				for _, s := range c.shards {
					s.rejoinBatches()
				}
				return true
			}
			continue
		}
		t := time.NewTimer(max(until-now, time.Millisecond))
		select {
		case <-t.C:
		case <-c.stop:
			t.Stop()
			return false
		}
	}
}

// reportResult tells the breaker how a call went. One that took longer than requests wait
// for it was of no use to them.
func (c *committer) reportResult(err error, took time.Duration) {
	if err == nil && took > c.config.slowCommit {
		err = fmt.Errorf("a commit took %v", took.Round(time.Millisecond))
	}
	if errors.Is(err, idempotency.ErrFull) {
		err = nil // it answers, and well
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.breaker.Succeeded()
		return
	}
	was, _, _ := c.breaker.Open()
	c.breaker.Failed(c.now(), err.Error(), rand.Float64())
	if is, _, _ := c.breaker.Open(); is && !was {
		slog.Warn("the store is away", "err", err)
		for _, s := range c.shards {
			s.notify()
		}
	}
}

func (s *shard) commit(batch []*job) {
	c := s.committer
	ops := make([]*idempotency.Op, len(batch))
	for n, j := range batch {
		ops[n] = j.op
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.config.StatementTimeout)
	began := time.Now()
	err := c.backend.Apply(ctx, ops)
	cancel()
	if !batch[0].alone || err == nil {
		c.reportResult(err, time.Since(began))
	}
	if err == nil {
		c.mu.Lock()
		c.batches++
		c.ops += int64(len(batch))
		c.mu.Unlock()
		for _, j := range batch {
			s.finish(j, nil)
		}
		return
	}
	slog.Warn("not recorded", "ops", len(batch), "err", err)
	var again []*job
	for _, j := range batch {
		if j.retryOnError {
			again = append(again, j)
		}
	}
	switch {
	case len(batch) > 1:
		// In their order, and before others learn that they failed and ask for something
		// after them; one by one, for one of them may be what the store does not take.
		s.requeue(again)
		s.soloRemaining = len(again)
	case len(again) == 1:
		s.requeueAlone(again[0])
	}
	for _, j := range batch {
		if !j.retryOnError {
			s.finish(j, err)
		}
	}
}

func (s *shard) finish(j *job, err error) {
	c := s.committer
	c.mu.Lock()
	c.queued--
	c.queuedBytes -= j.size
	c.mu.Unlock()
	j.done(err)
}

// close writes what waits, as long as ctx allows, and ends the workers.
func (c *committer) close(ctx context.Context) {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		c.mu.Lock()
		n := c.queued
		c.mu.Unlock()
		if n == 0 {
			break
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	close(c.stop)
	c.workers.Wait()
	c.mu.Lock()
	var left []*job
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
	c.mu.Unlock()
	for _, j := range left {
		j.done(fmt.Errorf("%w: the sidecar stops", ErrUnavailable))
	}
}
