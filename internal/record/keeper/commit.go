package keeper

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"chalkrack/internal/record"
)

// ErrAway says that the store was not asked: it does not answer, or too much waits
// for it already.
var ErrAway = errors.New("the store is away")

// job is one op that waits to be written.
type job struct {
	op    *record.Op
	until time.Time // no use after it
	keep  bool      // tried again after an error until then
	size  int       // bytes of the answer it holds
	done  func(error)
}

// committer brings ops to the backend, those that wait together in one transaction.
// Ops of one key stay in their order: each key has its shard, each shard its worker.
type committer struct {
	cfg     *Config
	backend record.Backend
	shards  []*shard
	seed    maphash.Seed
	start   time.Time
	end     chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	breaker record.Breaker
	queued  int
	bytes   int
	lost    int64 // ends that were never written
	batches int64
	ops     int64
	closing bool
}

type shard struct {
	c    *committer
	wake chan struct{} // something was queued, or all is over

	queue []*job // guarded by the committer's lock
	solo  int    // so many ops go one by one, after a batch that failed
}

func newCommitter(cfg *Config, b record.Backend) *committer {
	c := &committer{cfg: cfg, backend: b, seed: maphash.MakeSeed(), start: time.Now(), end: make(chan struct{}),
		breaker: record.NewBreaker(cfg.BreakAfter, cfg.PauseLeast, cfg.PauseMost)}
	for range max(1, cfg.Writers) {
		s := &shard{c: c, wake: make(chan struct{}, 1)}
		c.shards = append(c.shards, s)
		c.wg.Go(s.run)
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
		err = fmt.Errorf("%w: the sidecar stops", ErrAway)
	case open && !j.keep:
		err = fmt.Errorf("%w: %s", ErrAway, cause)
	case c.queued >= c.cfg.Queue || c.bytes+j.size > c.cfg.QueueBytes:
		err = fmt.Errorf("%w: %d ops of %d bytes wait for it already", ErrAway, c.queued, c.bytes)
		if j.keep {
			c.lost++
		}
	}
	if err != nil {
		c.mu.Unlock()
		j.done(err)
		return
	}
	c.queued++
	c.bytes += j.size
	s := c.shards[maphash.String(c.seed, j.op.Class+"\x00"+j.op.Key)%uint64(len(c.shards))]
	s.queue = append(s.queue, j)
	c.mu.Unlock()
	s.kick()
}

func (s *shard) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is a worker. It ends when the committer is closed.
func (s *shard) run() {
	c := s.c
	for {
		// Also with nothing to write: while the breaker is open, nothing is queued that
		// could close it.
		if !s.ready() {
			return
		}
		batch, late := s.take()
		for _, j := range late {
			s.finish(j, fmt.Errorf("%w: it took too long", ErrAway))
		}
		if len(batch) == 0 {
			if len(late) > 0 {
				continue
			}
			select {
			case <-s.wake:
			case <-c.end:
				return
			}
			continue
		}
		s.write(batch)
		select {
		case <-c.end:
			return
		default:
		}
	}
}

// take removes the next batch from the queue, and what is late. One key may be in a
// batch more than once: ops are carried out in their order.
func (s *shard) take() (batch, late []*job) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.cfg.Batch
	if s.solo > 0 {
		most, s.solo = 1, s.solo-1
	}
	now := time.Now()
	n := 0
	for ; n < len(s.queue) && len(batch) < most; n++ {
		if j := s.queue[n]; now.After(j.until) {
			late = append(late, j)
			if j.keep {
				c.lost++
			}
		} else {
			batch = append(batch, j)
		}
	}
	s.queue = append(s.queue[:0], s.queue[n:]...)
	return batch, late
}

// back puts jobs at the head of the queue.
func (s *shard) back(jobs []*job) {
	s.c.mu.Lock()
	s.queue = append(jobs[:len(jobs):len(jobs)], s.queue...)
	s.c.mu.Unlock()
}

// ready waits, while the breaker is open, until a try is due and the store gives a
// sign of life; false when the committer is closed.
func (s *shard) ready() bool {
	c := s.c
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
			ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Statement)
			err := c.backend.Ping(ctx)
			cancel()
			c.note(err, 0)
			if err == nil {
				slog.Info("the store is back")
				return true
			}
			continue
		}
		t := time.NewTimer(max(until-now, time.Millisecond))
		select {
		case <-t.C:
		case <-c.end:
			t.Stop()
			return false
		}
	}
}

// note tells the breaker how a call went. One that took longer than requests wait
// for it was of no use to them.
func (c *committer) note(err error, took time.Duration) {
	if err == nil && took > c.cfg.slow {
		err = fmt.Errorf("a commit took %v", took.Round(time.Millisecond))
	}
	if errors.Is(err, record.ErrFull) {
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
			s.kick()
		}
	}
}

func (s *shard) write(batch []*job) {
	c := s.c
	ops := make([]*record.Op, len(batch))
	for n, j := range batch {
		ops[n] = j.op
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.Statement)
	began := time.Now()
	err := c.backend.Apply(ctx, ops)
	cancel()
	c.note(err, time.Since(began))
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
		if j.keep {
			again = append(again, j)
		}
	}
	// In their order: what is kept goes back before others learn that they failed and
	// ask for something after it.
	s.back(again)
	if len(batch) > 1 {
		s.solo = len(again)
	}
	for _, j := range batch {
		if !j.keep {
			s.finish(j, err)
		}
	}
	if len(again) == len(batch) { // else a full store would be asked without a pause
		t := time.NewTimer(c.cfg.PauseLeast)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.end:
		}
	}
}

func (s *shard) finish(j *job, err error) {
	c := s.c
	c.mu.Lock()
	c.queued--
	c.bytes -= j.size
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
	close(c.end)
	c.wg.Wait()
	c.mu.Lock()
	var left []*job
	for _, s := range c.shards {
		left = append(left, s.queue...)
		s.queue = nil
	}
	c.queued, c.bytes = 0, 0
	for _, j := range left {
		if j.keep {
			c.lost++
		}
	}
	c.mu.Unlock()
	for _, j := range left {
		j.done(fmt.Errorf("%w: the sidecar stops", ErrAway))
	}
}
