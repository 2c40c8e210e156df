package simulation

import (
	"math"
	"runtime"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"martendrum/internal/fleet/canary"
)

// Method is a way to judge. Look is asked after each slot of the present.
type Method string

// The methods weighed.
const (
	Sequential Method = "confidence sequences"
	Threshold  Method = "fixed threshold"
	TTest      Method = "repeated t-test"
)

// Methods are all of them, the judge's own first.
var Methods = []Method{Sequential, Threshold, TTest}

// The plainer ways, as they are commonly set up: a threshold of 2 points of the
// unserved share over the last minute, for any class; Welch's t-test of it at 1 in
// 100 over all slots so far, for any class, at each look.
const (
	thresholdPoints = 0.02
	thresholdSlots  = 6
	tTestLevel      = 0.01
)

// stopSlots is when each method stopped one run: slots since the start, -1: never.
type stopSlots map[Method]int

// Run plays one fleet.
func Run(size int, harm Harm, seed uint64) map[Method]int {
	w := newWorld(size, harm, seed)
	j, err := canary.New(config(size))
	if err != nil {
		panic(err) // the constants above are wrong
	}
	out := stopSlots{Sequential: -1, Threshold: -1, TTest: -1}
	var shares [2][][]float64 // by arm, slot: of each class
	for slot := range slotsPlayed {
		ws := w.step(slot)
		for _, win := range ws {
			j.Add(win)
		}
		if slot < historySlots {
			continue
		}
		since := slot + 1 - historySlots
		n := countsByArm(ws)
		for arm := range shares {
			row := make([]float64, len(classes))
			for c := range row {
				row[c] = n[arm][c][0] / n[arm][c][1] // NaN where nothing came
			}
			shares[arm] = append(shares[arm], row)
		}
		if out[Sequential] < 0 && j.Evaluate(slot+1).Verdict == canary.Worse {
			out[Sequential] = since
		}
		for c := range classes {
			if out[Threshold] < 0 && threshold(shares, c) {
				out[Threshold] = since
			}
			if out[TTest] < 0 && welch(shares, c) {
				out[TTest] = since
			}
		}
	}
	return out
}

// countsByArm adds a slot's windows up by arm and class: unserved, all.
func countsByArm(ws []canary.Window) (n [2][3][2]float64) {
	for _, w := range ws {
		arm := 0
		if w.Release == "new" {
			arm = 1
		}
		for c, k := range w.Classes {
			n[arm][c][0] += float64(k.Rejected + k.Failed)
			n[arm][c][1] += float64(k.Served + k.Rejected + k.Failed)
		}
	}
	return n
}

func column(rows [][]float64, c, last int) (out []float64) {
	for _, r := range rows[max(0, len(rows)-last):] {
		if !math.IsNaN(r[c]) {
			out = append(out, r[c])
		}
	}
	return out
}

func threshold(shares [2][][]float64, c int) bool {
	a, b := column(shares[1], c, thresholdSlots), column(shares[0], c, thresholdSlots)
	return len(a) == thresholdSlots && len(b) == thresholdSlots && stat.Mean(a, nil)-stat.Mean(b, nil) > thresholdPoints
}

func welch(shares [2][][]float64, c int) bool {
	a, b := column(shares[1], c, slotsPlayed), column(shares[0], c, slotsPlayed)
	if len(a) < 3 || len(b) < 3 {
		return false
	}
	ma, va := stat.MeanVariance(a, nil)
	mb, vb := stat.MeanVariance(b, nil)
	sa, sb := va/float64(len(a)), vb/float64(len(b))
	if sa+sb <= 0 {
		return false
	}
	df := (sa + sb) * (sa + sb) / (sa*sa/float64(len(a)-1) + sb*sb/float64(len(b)-1))
	t := (ma - mb) / math.Sqrt(sa+sb)
	return t > 0 && 1-(distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}).CDF(t) < tTestLevel
}

// Result is what became of all runs of one size and harm under one method.
type Result struct {
	Instances int     `json:"instances"`
	Harm      string  `json:"harm"`
	Method    Method  `json:"method"`
	Runs      int     `json:"runs"`
	Stopped   int     `json:"stopped"`
	Median    float64 `json:"median_seconds,omitempty"` // to the stop, of those that stopped
	Slowest   float64 `json:"p90_seconds,omitempty"`
	Touched   float64 `json:"touched"` // mean share of the fleet that ran the change by then
	// Times are those of all stops, in order, in seconds: for the plot.
	Times []float64 `json:"-"`
}

// StopRate is the part of the runs that were stopped.
func (r Result) StopRate() float64 { return float64(r.Stopped) / float64(r.Runs) }

// RunAll runs each size with each harm, runs times for none and harmRuns times for
// each other, on all cores, and reports in order. progress may be nil; it is called
// from one goroutine at a time.
func RunAll(sizes []int, runs, harmRuns int, seed uint64, progress func(done, of int)) []Result {
	type job struct {
		size, harm, run int
	}
	harms := Harms()
	var jobs []job
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
	results := make([]map[Method]int, len(jobs))
	next, done := make(chan int), 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := range next {
				b := jobs[n]
				results[n] = Run(sizes[b.size], harms[b.harm], seed+uint64(b.run)<<20+uint64(b.harm)<<50)
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
	var rows []Result
	for s, size := range sizes {
		for h, harm := range harms {
			for _, m := range Methods {
				row := Result{Instances: size, Harm: harm.Name, Method: m}
				for n, b := range jobs {
					if b.size != s || b.harm != h {
						continue
					}
					row.Runs++
					at := results[n][m]
					touched := Stages[len(Stages)-1].Share
					if at >= 0 {
						row.Stopped++
						row.Times = append(row.Times, (time.Duration(at) * slotLength).Seconds())
						for _, st := range Stages {
							if at >= st.From {
								touched = st.Share
							}
						}
					}
					row.Touched += touched
				}
				if row.Runs > 0 {
					row.Touched /= float64(row.Runs)
				}
				if sort.Float64s(row.Times); len(row.Times) > 0 {
					row.Median = stat.Quantile(0.5, stat.Empirical, row.Times, nil)
					row.Slowest = stat.Quantile(0.9, stat.Empirical, row.Times, nil)
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}
