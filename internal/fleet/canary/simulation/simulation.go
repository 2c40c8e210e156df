// Package simulation runs the canary analysis of package canary on synthetic fleets, and two
// simpler methods of judging a change for comparison. It reports how often each method stops a
// harmless change, and how soon it stops a harmful one. It is a tool for checking the analysis;
// no sidecar, agent or actual change uses it. The same seed gives the same runs.
//
// The instances of a simulated fleet differ by more than an order of magnitude in traffic, and
// each has its own usual loss: the fraction of its requests that is rejected or fails. Losses
// also vary over time: in the whole fleet, in each zone, at each instance, and in bursts of a
// single window.
package simulation

import (
	"runtime"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"martendrum/internal/fleet/canary"
)

// StopSlots is when each method stopped the change of one run: the number of slots since the
// change started, or neverStopped.
type StopSlots map[Method]int

// neverStopped means that a method did not stop the change.
const neverStopped = -1

// Run simulates the change of one fleet of size instances.
func Run(size int, harm Harm, seed uint64) StopSlots {
	w := newWorld(size, harm, seed)
	judge, err := canary.New(config(size))
	if err != nil {
		panic(err) // only if constants of this package are invalid
	}
	out := StopSlots{Sequential: neverStopped, Threshold: neverStopped, TTest: neverStopped}
	var history lossHistory
	for slot := range slotsPerRun {
		windows := w.step(slot)
		for _, window := range windows {
			judge.Add(window)
		}
		if slot < historySlots {
			continue
		}
		since := slot + 1 - historySlots
		history.add(windows)
		if out[Sequential] < 0 && judge.Evaluate(slot+1).Verdict == canary.Worse {
			out[Sequential] = since
		}
		for class := range classes {
			if out[Threshold] < 0 && history.thresholdStops(class) {
				out[Threshold] = since
			}
			if out[TTest] < 0 && history.tTestStops(class) {
				out[TTest] = since
			}
		}
	}
	return out
}

// Result summarizes all runs with one fleet size and one harm, as judged by one method.
type Result struct {
	Instances       int     `json:"instances"`
	Harm            string  `json:"harm"`
	Method          Method  `json:"method"`
	Runs            int     `json:"runs"`
	Stopped         int     `json:"stopped"`
	Median          float64 `json:"median_seconds,omitempty"` // of Times
	P90             float64 `json:"p90_seconds,omitempty"`    // 90th percentile of Times
	ChangedFraction float64 `json:"touched"`                  // mean fraction of the fleet that ran the change when it was stopped or the run ended
	// Times are the times in seconds from the start of the change to the stop, in ascending
	// order, of the runs that were stopped.
	Times []float64 `json:"-"`
}

// StopRate returns the fraction of the runs that were stopped, NaN without runs.
func (r Result) StopRate() float64 { return float64(r.Stopped) / float64(r.Runs) }

// RunAll simulates fleets of each size with each of Harms, on all cores: runs times without
// harm and harmRuns times with each other harm. The results are in the order of sizes, then
// Harms, then Methods. progress, if not nil, is called after each run, by one goroutine at a
// time.
func RunAll(sizes []int, runs, harmRuns int, seed uint64, progress func(done, of int)) []Result {
	harms := Harms()
	jobs := listJobs(len(sizes), len(harms), runs, harmRuns)
	stops := runJobs(jobs, progress, func(j job) StopSlots {
		return Run(sizes[j.size], harms[j.harm], seed+uint64(j.run)<<20+uint64(j.harm)<<50)
	})
	var results []Result
	for s, size := range sizes {
		for h, harm := range harms {
			var matching []StopSlots // of the runs with this size and harm
			for n, j := range jobs {
				if j.size == s && j.harm == h {
					matching = append(matching, stops[n])
				}
			}
			for _, method := range Methods {
				result := Result{Instances: size, Harm: harm.Name, Method: method}
				result.summarize(matching)
				results = append(results, result)
			}
		}
	}
	return results
}

// job is one run. size and harm are indices into RunAll's sizes and Harms.
type job struct{ size, harm, run int }

// listJobs lists the runs for the given numbers of sizes and harms. Harm 0 is no harm.
func listJobs(sizes, harms, runs, harmRuns int) (jobs []job) {
	for s := range sizes {
		for h := range harms {
			n := harmRuns
			if h == 0 {
				n = runs
			}
			for r := range n {
				jobs = append(jobs, job{s, h, r})
			}
		}
	}
	return jobs
}

// runJobs runs the jobs on all cores and returns the outcome of each, in the order of jobs.
func runJobs(jobs []job, progress func(done, of int), run func(job) StopSlots) []StopSlots {
	stops := make([]StopSlots, len(jobs))
	next, done := make(chan int), 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := range next {
				stops[n] = run(jobs[n])
				mu.Lock()
				if done++; progress != nil {
					progress(done, len(jobs))
				}
				mu.Unlock()
			}
		})
	}
	for n := range jobs {
		next <- n
	}
	close(next)
	wg.Wait()
	return stops
}

// summarize computes the numbers of the result from the outcomes of all runs.
func (r *Result) summarize(runs []StopSlots) {
	for _, stops := range runs {
		at := stops[r.Method]
		r.Runs++
		if at >= 0 {
			r.Stopped++
			r.Times = append(r.Times, (time.Duration(at) * slotLength).Seconds())
		}
		r.ChangedFraction += changedFraction(at)
	}
	if r.Runs > 0 {
		r.ChangedFraction /= float64(r.Runs)
	}
	if sort.Float64s(r.Times); len(r.Times) > 0 {
		r.Median = stat.Quantile(0.5, stat.Empirical, r.Times, nil)
		r.P90 = stat.Quantile(0.9, stat.Empirical, r.Times, nil)
	}
}

// changedFraction is the fraction of the fleet that ran the change when it was stopped, stop
// slots after its start. If it was neverStopped, it is the fraction at the end of the run.
func changedFraction(stop int) float64 {
	fraction := Stages[len(Stages)-1].Fraction
	if stop >= 0 {
		for _, stage := range Stages {
			if stop >= stage.From {
				fraction = stage.Fraction
			}
		}
	}
	return fraction
}
