// Package simulation runs canary analysis on synthetic fleets, next to two simpler
// methods of judging a change. It reports how often each method stops a change that does
// no harm, and how soon it stops one that does. It is a checking tool: no part of a
// sidecar, an agent or a change uses it. The same seed gives the same runs.
//
// The instances of a fleet differ by more than an order of magnitude in traffic and by a
// constant factor in their losses; losses also change with the fleet, with the zone, in
// bursts, and independently at each instance.
package simulation

import (
	"runtime"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"martendrum/internal/fleet/canary"
)

// StopSlots is when each method stopped the change of one run, in slots since its start,
// or neverStopped.
type StopSlots map[Method]int

const neverStopped = -1

// Run simulates one fleet.
func Run(size int, harm Harm, seed uint64) StopSlots {
	w := newWorld(size, harm, seed)
	judge, err := canary.New(config(size))
	if err != nil {
		panic(err) // the constants of this package are invalid
	}
	out := StopSlots{Sequential: neverStopped, Threshold: neverStopped, TTest: neverStopped}
	var history lossHistory
	for slot := range slotsPlayed {
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
			if out[Threshold] < 0 && history.exceedsThreshold(class) {
				out[Threshold] = since
			}
			if out[TTest] < 0 && history.failsTTest(class) {
				out[TTest] = since
			}
		}
	}
	return out
}

// Result summarizes all runs of one size and harm under one method.
type Result struct {
	Instances int     `json:"instances"`
	Harm      string  `json:"harm"`
	Method    Method  `json:"method"`
	Runs      int     `json:"runs"`
	Stopped   int     `json:"stopped"`
	Median    float64 `json:"median_seconds,omitempty"` // to the stop, of the runs that stopped
	Slowest   float64 `json:"p90_seconds,omitempty"`
	Touched   float64 `json:"touched"` // mean fraction of the fleet that ran the change by then
	// Times are the times to the stop in seconds, in ascending order.
	Times []float64 `json:"-"`
}

// StopRate is the fraction of the runs that were stopped.
func (r Result) StopRate() float64 { return float64(r.Stopped) / float64(r.Runs) }

// RunAll simulates fleets of each size with each harm, runs times without harm and harmRuns
// times with each other, on all cores. The results are in the order of sizes, Harms and
// Methods. progress may be nil; it is called by one goroutine at a time.
func RunAll(sizes []int, runs, harmRuns int, seed uint64, progress func(done, of int)) []Result {
	harms := Harms()
	jobs := listJobs(len(sizes), len(harms), runs, harmRuns)
	stops := runJobs(jobs, progress, func(j job) StopSlots {
		return Run(sizes[j.size], harms[j.harm], seed+uint64(j.run)<<20+uint64(j.harm)<<50)
	})
	var results []Result
	for s, size := range sizes {
		for h, harm := range harms {
			var ofRuns []StopSlots
			for n, j := range jobs {
				if j.size == s && j.harm == h {
					ofRuns = append(ofRuns, stops[n])
				}
			}
			for _, method := range Methods {
				result := Result{Instances: size, Harm: harm.Name, Method: method}
				result.summarize(ofRuns)
				results = append(results, result)
			}
		}
	}
	return results
}

// job is one run. size and harm are indices.
type job struct{ size, harm, run int }

// listJobs lists the runs of all sizes and harms, of which the first is none.
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

// runJobs runs the jobs on all cores and returns the outcome of each.
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

// summarize adds up the outcomes of the runs under the result's method.
func (r *Result) summarize(runs []StopSlots) {
	for _, stops := range runs {
		at := stops[r.Method]
		r.Runs++
		if at >= 0 {
			r.Stopped++
			r.Times = append(r.Times, (time.Duration(at) * slotLength).Seconds())
		}
		r.Touched += changedFraction(at)
	}
	if r.Runs > 0 {
		r.Touched /= float64(r.Runs)
	}
	if sort.Float64s(r.Times); len(r.Times) > 0 {
		r.Median = stat.Quantile(0.5, stat.Empirical, r.Times, nil)
		r.Slowest = stat.Quantile(0.9, stat.Empirical, r.Times, nil)
	}
}

// changedFraction is the fraction of the fleet that ran the change when it was stopped at
// a slot since its start, or that ran it in the end if it never was.
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
