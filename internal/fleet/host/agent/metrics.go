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
	// maxScrapeDuration bounds a scrape, with a quarter of a slot as the other bound.
	maxScrapeDuration = 2 * time.Second
	// maxConcurrentScrapes bounds the scrapes in flight.
	maxConcurrentScrapes = 16
	// maxMetricsSamples bounds the samples in one answer.
	maxMetricsSamples = 4000
	// rateSlots is the number of slots over which the rate of an instance is computed.
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

// collectMetrics samples all instances at each boundary of a slot, until the agent ends.
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
		samples := a.scrapeAll(boundary, min(maxScrapeDuration, slot/4))
		a.mu.Lock()
		for _, sample := range samples {
			a.instances[sample.Instance].history.add(sample)
		}
		a.lastBoundary = boundary
		a.mu.Unlock()
		if err := j.write(samples); err != nil {
			slog.Warn("metrics not written to the journal", "err", err)
		}
	}
}

// scrapeTarget is a process to sample.
type scrapeTarget struct {
	sample       api.Sample // what the agent knows of the process
	adminAddress string
	pid          int
}

// scrapeAll samples all instances concurrently. An instance whose scrape fails has a gap, which
// the canary analysis counts.
func (a *Agent) scrapeAll(boundary int64, limit time.Duration) []api.Sample {
	targets := a.scrapeTargets()
	var mu sync.Mutex
	var out []api.Sample
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentScrapes)
	for _, s := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			got, err := a.machine.Metrics(a.ctx, s.adminAddress, s.pid, limit)
			if err != nil {
				return
			}
			got.At, got.Boundary = time.Now(), boundary
			got.Instance, got.Process, got.Release = s.sample.Instance, s.sample.Process, s.sample.Release
			got.Started, got.Crashes = s.sample.Started, s.sample.Crashes
			mu.Lock()
			defer mu.Unlock()
			out = append(out, *got)
		})
	}
	wg.Wait()
	return out
}

// scrapeTargets returns the processes to sample. An instance that is being replaced is left out:
// either of its processes may answer.
func (a *Agent) scrapeTargets() []scrapeTarget {
	a.mu.Lock()
	defer a.mu.Unlock()
	var targets []scrapeTarget
	for _, name := range a.instanceNames {
		i := a.instances[name]
		if i.config.adminAddress == "" || i.process == nil || i.previous != nil || i.stored.Launch == "" {
			continue
		}
		targets = append(targets, scrapeTarget{
			sample: api.Sample{
				Instance: name, Process: i.stored.Launch, Release: i.stored.Running,
				Started: i.stored.Launched, Crashes: uint32(max(0, i.stored.Restarts)),
			},
			adminAddress: i.config.adminAddress,
			pid:          i.stored.PID,
		})
	}
	return targets
}

// metrics returns the samples after a boundary, the earliest first. An answer that reaches its
// limit ends with a complete boundary, so that the next call continues after it.
func (a *Agent) metrics(_ context.Context, _ *caller, in *api.MetricsIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.MetricsOut{Slot: time.Duration(a.config.Metrics.Slot), Now: time.Now(), Last: a.lastBoundary}
	for _, name := range a.instanceNames {
		samples := a.instances[name].history.samples
		first, _ := slices.BinarySearchFunc(samples, in.After+1, func(s api.Sample, b int64) int { return cmp.Compare(s.Boundary, b) })
		out.Samples = append(out.Samples, samples[first:]...)
	}
	slices.SortStableFunc(out.Samples, func(x, y api.Sample) int { return cmp.Compare(x.Boundary, y.Boundary) })
	limit := maxMetricsSamples
	if in.Limit > 0 {
		limit = min(limit, in.Limit)
	}
	if len(out.Samples) > limit {
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
