package agent

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
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

// sampleHistory keeps an instance's latest samples, in order. The agent's lock guards it.
type sampleHistory struct {
	samples []api.Sample
	limit   int
}

func (r *sampleHistory) add(s api.Sample) {
	if n := len(r.samples); n > 0 && r.samples[n-1].Boundary >= s.Boundary {
		return
	}
	if len(r.samples) >= 2*r.limit {
		r.samples = append(r.samples[:0:0], r.samples[len(r.samples)-r.limit:]...)
	}
	r.samples = append(r.samples, s)
}

// rate is the requests a second of late; 0 where that is not known.
func (r *sampleHistory) rate() float64 {
	ss := r.samples[max(0, len(r.samples)-rateSlots-1):]
	if len(ss) < 2 {
		return 0
	}
	a, b := &ss[0], &ss[len(ss)-1]
	took := b.At.Sub(a.At).Seconds()
	if a.Process != b.Process || took <= 0 {
		return 0
	}
	n := 0.0
	for name, c := range b.Classes {
		was := a.Classes[name]
		n += c.All() - was.All()
	}
	return max(0, n/took)
}

// windows are those of the process that runs now.
func (r *sampleHistory) windows(slot time.Duration) (out []canary.Window) {
	d := canary.Differ{Slot: slot, Off: slot / 4}
	for _, s := range r.samples[max(0, len(r.samples)-rateSlots-1):] {
		names := make([]string, 0, len(s.Classes))
		for name := range s.Classes {
			names = append(names, name)
		}
		slices.Sort(names)
		if w, ok := d.Next(s.CanarySample(0, names), 0); ok {
			out = append(out, w)
		}
	}
	n := len(out)
	for n > 0 && out[n-1].Release == out[len(out)-1].Release {
		n--
	}
	return out[n:]
}

// metricsJournal keeps samples over the agent's own restarts, in two files of which the
// older goes when the newer is full. Samples that are lost with it are missing
// evidence, no more: it is not synced, and a torn tail is left out.
type metricsJournal struct {
	path    string
	file    *os.File
	samples int // in f
	limit   int
}

// openMetricsJournal reads what there is and goes on behind it.
func openMetricsJournal(path string, limit int, each func(api.Sample)) (*metricsJournal, error) {
	j := &metricsJournal{path: path, limit: limit}
	for _, p := range []string{path + ".1", path} {
		f, err := os.Open(p)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		j.samples = 0
		dec := msgpack.NewDecoder(bufio.NewReader(f))
		for {
			var s api.Sample
			if err := dec.Decode(&s); err != nil {
				if !errors.Is(err, io.EOF) {
					slog.Warn("figures: the rest of a file can't be read and is left out", "file", p, "after", j.samples, "err", err)
				}
				break
			}
			j.samples++
			each(s)
		}
		f.Close()
	}
	// Behind a torn tail nothing could be read: the next sample begins a file.
	if err := j.rotate(); err != nil {
		return nil, err
	}
	return j, nil
}

// rotate begins a new file, and keeps the one before it.
func (j *metricsJournal) rotate() error {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
	if st, err := os.Stat(j.path); err == nil && st.Size() > 0 {
		if err := os.Rename(j.path, j.path+".1"); err != nil {
			return err
		}
	}
	f, err := os.OpenFile(j.path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	j.file, j.samples = f, 0
	return err
}

func (j *metricsJournal) write(ss []api.Sample) error {
	if j.file == nil || j.samples+len(ss) > j.limit {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	var b []byte
	for n := range ss {
		one, err := msgpack.Marshal(&ss[n])
		if err != nil {
			return err
		}
		b = append(b, one...)
	}
	j.samples += len(ss)
	_, err := j.file.Write(b)
	return err
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

// opNote writes down where a staged change stands.
func (a *Agent) opNote(_ context.Context, c *caller, in *api.NoteIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.findOperation(in.Op)
	if err != nil {
		return nil, err
	}
	names, err := a.localTargets(&o.Operation)
	if err != nil {
		return nil, err
	}
	if err := a.fenced(a.leases.Check(time.Now(), o.ID, in.Token, names[0])); err != nil {
		return nil, err
	}
	switch {
	case o.State != api.OpOpened:
		return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s", o.ID, o.State, a.config.Name)
	case len(in.Note.Log) > api.MaxVerdicts:
		return nil, api.Errorf(api.InvalidParams, "%d verdicts in a note; %d at most", len(in.Note.Log), api.MaxVerdicts)
	case o.Note != nil && o.Note.Number >= in.Note.Number:
		return a.operationStatus(o), nil // told before, or by a holder that went further
	}
	next := *o
	next.Note = &in.Note
	if err := a.commit(&store.Change{Operations: []store.Operation{next}}); err != nil {
		return nil, err
	}
	*o = next
	return a.operationStatus(o), nil
}

// rollBackUnattended takes back, of open operations that nobody has held for as long as they say,
// those of its own instances that were changed and fail by the coarse rule.
func (a *Agent) rollBackUnattended(now time.Time) {
	for id := range a.lastLeased {
		if o := a.operations[id]; o == nil || o.State == api.OpClosed {
			delete(a.lastLeased, id)
		}
	}
	for _, o := range a.operations {
		if o.State != api.OpOpened || o.Staged == nil || o.Staged.Alone <= 0 {
			continue
		}
		if a.lastLeased[o.ID].IsZero() || a.isLeased(o.ID, now) {
			a.lastLeased[o.ID] = now
			continue
		}
		if gone := now.Sub(a.lastLeased[o.ID]); gone > o.Staged.Alone {
			for _, name := range a.instanceNames {
				a.rollBackIfFailing(o, a.instances[name], gone, now)
			}
		}
	}
}

func (a *Agent) rollBackIfFailing(o *store.Operation, i *instance, gone time.Duration, now time.Time) {
	name := i.config.Name
	change := a.steps[stepKey{o.ID, name, api.Change}]
	if change == nil || i.step != nil && i.step.Kind == api.Rollback || a.steps[stepKey{o.ID, name, api.Rollback}] != nil {
		return
	}
	phase := i.supervisor.Phase()
	own := canary.LocalHealth{
		Crashing: phase == supervisor.Crashloop || phase == supervisor.Backoff,
		Unready:  phase == supervisor.Unready && now.Sub(i.supervisor.Since()) > maxUnreadyDuration,
		Limit:    uint64(i.config.memoryLimitMB) << 20,
	}
	if i.stored.Running == change.To {
		own.Windows = i.history.windows(time.Duration(a.config.Metrics.Slot))
	}
	why := canary.Coarse(own)
	if why == "" {
		return
	}
	if i.step != nil { // the change itself is still under way, and won't come about
		a.endStep(i, i.step, false, why)
	}
	reason := fmt.Sprintf("taken back by agent %s alone: nobody held the operation for %v, and %s", a.config.Name, gone.Round(time.Second), why)
	if _, err := a.beginStep(o, i, api.Rollback, 0, "agent "+a.config.Name+" alone", reason); err != nil {
		slog.Warn("an instance can't be taken back", "instance", name, "why", why, "err", err)
		return
	}
	slog.Warn("an instance is taken back", "instance", name, "operation", o.ID, "reason", reason)
}

// maxUnreadyDuration is how long an instance's health call may fail before it counts.
const maxUnreadyDuration = 5 * time.Second

// adminEndpoint reads from a sidecar's configuration where its door is, and its memory's limit
// in MiB.
func adminEndpoint(config []byte) (door string, memory int) {
	var c struct {
		Mgmt   string `json:"mgmt"`
		Limits struct {
			MemoryMB int `json:"memory_mb"`
		} `json:"limits"`
	}
	if json.Unmarshal(config, &c) != nil {
		return "", 0
	}
	return c.Mgmt, c.Limits.MemoryMB
}

func (a *Agent) metricsPath() string { return filepath.Join(a.config.StateDir, "figures") }
