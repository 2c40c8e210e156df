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
	// maxScrapeDuration limits a scrape, which is also limited to a quarter of a slot.
	maxScrapeDuration = 2 * time.Second
	// maxConcurrentScrapes limits the scrapes in flight.
	maxConcurrentScrapes = 16
	// maxMetricsSamples limits the samples in one response.
	maxMetricsSamples = 4000
	// rateSlots is the number of slots over which an instance's request rate is computed.
	rateSlots = 6
)

// startMetrics restores the samples from before the agent's restart and begins to collect new
// ones, unless the configuration turns metrics off.
func (a *Agent) startMetrics() error {
	if a.config.Metrics.Slot <= 0 {
		return nil
	}
	restore := func(s api.Sample) {
		if inst := a.instances[s.Instance]; inst != nil {
			inst.history.add(s)
		}
	}
	journal, err := openMetricsJournal(a.metricsPath(), a.retainedSlots()*max(1, len(a.instanceNames)), restore)
	if err != nil {
		return err
	}
	a.wg.Go(func() { a.collectMetrics(journal) })
	return nil
}

// collectMetrics samples all instances at each slot boundary, until the agent ends. Boundary n is
// n slots after the Unix epoch, so that all hosts sample at the same times.
func (a *Agent) collectMetrics(journal *metricsJournal) {
	defer journal.file.Close()
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
		if err := journal.write(samples); err != nil {
			slog.Warn("metrics not written to the journal", "err", err)
		}
	}
}

// scrapeTarget is a process to scrape.
type scrapeTarget struct {
	sample       api.Sample // the fields that the agent knows without a scrape
	adminAddress string
	pid          int
}

// scrapeAll samples all instances concurrently, each within limit. An instance whose scrape fails
// has no sample at this boundary; the canary analysis counts such gaps.
func (a *Agent) scrapeAll(boundary int64, limit time.Duration) []api.Sample {
	targets := a.scrapeTargets()
	var mu sync.Mutex
	var samples []api.Sample
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, maxConcurrentScrapes)
	for _, target := range targets {
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			sample, err := a.machine.Metrics(a.ctx, target.adminAddress, target.pid, limit)
			if err != nil {
				return
			}
			sample.At, sample.Boundary = time.Now(), boundary
			sample.Instance, sample.Process, sample.Release = target.sample.Instance, target.sample.Process, target.sample.Release
			sample.Started, sample.Crashes = target.sample.Started, target.sample.Crashes
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, *sample)
		})
	}
	wg.Wait()
	return samples
}

// scrapeTargets returns the processes to scrape. An instance whose process is being replaced is
// left out, because either of its two processes may answer.
func (a *Agent) scrapeTargets() []scrapeTarget {
	a.mu.Lock()
	defer a.mu.Unlock()
	var targets []scrapeTarget
	for _, name := range a.instanceNames {
		inst := a.instances[name]
		if inst.config.adminAddress == "" || inst.process == nil || inst.previous != nil || inst.stored.Launch == "" {
			continue
		}
		targets = append(targets, scrapeTarget{
			sample: api.Sample{
				Instance: name, Process: inst.stored.Launch, Release: inst.stored.Running,
				Started: inst.stored.Launched, Crashes: uint32(max(0, inst.stored.Restarts)),
			},
			adminAddress: inst.config.adminAddress,
			pid:          inst.stored.PID,
		})
	}
	return targets
}

// metrics returns the samples after the boundary in.After, the earliest first. A response that
// reaches its limit ends with all samples of a boundary, so that the caller can continue after
// that boundary.
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
		incomplete := out.Samples[limit].Boundary
		n := limit
		for n > 0 && out.Samples[n-1].Boundary == incomplete {
			n--
		}
		if n > 0 {
			out.Samples, out.Last = out.Samples[:n], out.Samples[n-1].Boundary
		}
	}
	return out, nil
}
