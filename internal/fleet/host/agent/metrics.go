package agent

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
)

const (
	// maxScrapeDuration is how long a door may take, of a slot's quarter at most.
	maxScrapeDuration = 2 * time.Second
	// maxConcurrentScrapes bounds the calls under way.
	maxConcurrentScrapes = 16
	// maxMetricsSamples is how many samples one answer holds.
	maxMetricsSamples = 4000
	// rateSlots is over how many slots an instance's rate is told.
	rateSlots = 6
)

// startMetrics restores the samples from before the agent's restart and begins to collect,
// unless the configuration turns metrics off.
func (a *Agent) startMetrics() error {
	if a.config.Metrics.Slot <= 0 {
		return nil
	}
	restore := func(s api.Sample) {
		if i := a.instances[s.Instance]; i != nil {
			i.history.add(s)
		}
	}
	journal, err := openMetricsJournal(a.metricsPath(), a.retainedSlots()*max(1, len(a.instanceNames)), restore)
	if err != nil {
		return err
	}
	a.wg.Go(func() { a.collectMetrics(journal) })
	return nil
}

// collectMetrics takes all instances' figures at each boundary of a slot, until the agent
// ends.
func (a *Agent) collectMetrics(j *metricsJournal) {
	defer j.file.Close()
	slot := time.Duration(a.config.Metrics.Slot)
	for {
		next := time.Unix(0, (time.Now().UnixNano()/int64(slot)+1)*int64(slot))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-a.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		boundary := next.UnixNano() / int64(slot)
		got := a.scrapeAll(boundary, min(maxScrapeDuration, slot/4))
		a.mu.Lock()
		for _, s := range got {
			a.instances[s.Instance].history.add(s)
		}
		a.lastBoundary = boundary
		a.mu.Unlock()
		if err := j.write(got); err != nil {
			slog.Warn("figures can't be kept over a restart of this agent", "err", err)
		}
	}
}

// scrapeAll asks all doors at once. An instance that is being replaced is left out:
// which of its processes answers is not known.
func (a *Agent) scrapeAll(boundary int64, limit time.Duration) []api.Sample {
	type job struct {
		s    api.Sample
		door string
		pid  int
	}
	var jobs []job
	a.mu.Lock()
	for _, name := range a.instanceNames {
		i := a.instances[name]
		if i.config.adminAddress != "" && i.process != nil && i.previous == nil && i.stored.Launch != "" {
			jobs = append(jobs, job{api.Sample{Instance: name, Process: i.stored.Launch, Release: i.stored.Running,
				Started: i.stored.Launched, Crashes: uint32(max(0, i.stored.Restarts))}, i.config.adminAddress, i.stored.PID})
		}
	}
	a.mu.Unlock()
	var mu sync.Mutex
	var out []api.Sample
	var wg sync.WaitGroup
	turns := make(chan struct{}, maxConcurrentScrapes)
	for _, b := range jobs {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			got, err := a.machine.Metrics(a.ctx, b.door, b.pid, limit)
			if err != nil {
				return // a gap, which whoever judges sees and counts
			}
			got.At, got.Instance, got.Boundary, got.Process = time.Now(), b.s.Instance, boundary, b.s.Process
			got.Release, got.Started, got.Crashes = b.s.Release, b.s.Started, b.s.Crashes
			mu.Lock()
			defer mu.Unlock()
			out = append(out, *got)
		})
	}
	wg.Wait()
	return out
}

// metrics answers with samples, the earliest first.
func (a *Agent) metrics(_ context.Context, _ *caller, in *api.MetricsIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.MetricsOut{Slot: time.Duration(a.config.Metrics.Slot), Now: time.Now(), Last: a.lastBoundary}
	for _, name := range a.instanceNames {
		ss := a.instances[name].history.samples
		at, _ := slices.BinarySearchFunc(ss, in.After+1, func(s api.Sample, b int64) int { return cmp.Compare(s.Boundary, b) })
		out.Samples = append(out.Samples, ss[at:]...)
	}
	slices.SortStableFunc(out.Samples, func(x, y api.Sample) int { return cmp.Compare(x.Boundary, y.Boundary) })
	limit := maxMetricsSamples
	if in.Limit > 0 {
		limit = min(limit, in.Limit)
	}
	if len(out.Samples) > limit {
		// Whole boundaries only, so that the next call goes on behind them.
		cut := out.Samples[limit].Boundary
		n := limit
		for n > 0 && out.Samples[n-1].Boundary == cut {
			n--
		}
		if n > 0 {
			out.Samples, out.Last = out.Samples[:n], out.Samples[n-1].Boundary
		}
	}
	return out, nil
}
