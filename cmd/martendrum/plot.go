package main

import (
	"fmt"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"martendrum/internal/fleet/canary"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// evidenceSeries is the evidence of one test of the canary analysis over the time of a change.
type evidenceSeries struct {
	first                *canary.Evidence // the earliest, for the test's name and margins
	estimates, low, high plotter.XYs      // the estimated differences and their bounds, by seconds
}

// plotEvidence draws one test over the time of a change to the file at path: the estimated difference
// between changed and unchanged instances, its bounds and the margins. test is the name of the test
// or a prefix of it, and slot the length of a slot in seconds. The file's suffix selects the format.
func plotEvidence(series []canary.Judgement, slot float64, test, path string) error {
	evidence, err := evidenceOf(series, slot, test)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = evidence.first.Test.String() + ": changed minus unchanged instances"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first stage began", "difference, in the unit of the measure"
	if err := evidence.draw(p); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := evidence.drawMargins(p); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Legend.Top = true
	evidence.setRange(p)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

// evidenceOf collects the evidence of the first test whose name has a prefix. It leaves out slots
// whose bounds are infinite or equal. Without such a test or slot it returns an error.
func evidenceOf(series []canary.Judgement, slot float64, prefix string) (*evidenceSeries, error) {
	s := &evidenceSeries{}
	var names []string // of the tests in the latest judgement
	for n, judgement := range series {
		for _, e := range judgement.Evidence {
			name := e.Test.String()
			if n == len(series)-1 {
				names = append(names, name)
			}
			if s.first == nil && strings.HasPrefix(name, prefix) {
				s.first = &e
			}
			if s.first == nil || name != s.first.Test.String() || e.High == e.Low || math.IsInf(e.High, 0) {
				continue
			}
			x := float64(n+1) * slot
			s.estimates = append(s.estimates, plotter.XY{X: x, Y: e.Estimate})
			s.low = append(s.low, plotter.XY{X: x, Y: e.Low})
			s.high = append(s.high, plotter.XY{X: x, Y: e.High})
		}
	}
	if s.first == nil {
		return nil, fmt.Errorf("no test has the name or prefix %q; the tests are: %s", prefix, strings.Join(names, "; "))
	}
	if len(s.estimates) == 0 {
		return nil, fmt.Errorf("test %q was never judged: %s", s.first.Test, s.first.Why)
	}
	return s, nil
}

// draw draws the estimates and the area between their bounds.
func (s *evidenceSeries) draw(p *plot.Plot) error {
	band := append(plotter.XYs{}, s.high...)
	for n := len(s.low) - 1; n >= 0; n-- {
		band = append(band, s.low[n])
	}
	area, err := plotter.NewPolygon(band)
	if err != nil {
		return err
	}
	area.Color, area.LineStyle.Width = color.NRGBA{R: 90, G: 140, B: 200, A: 90}, 0
	line, err := plotter.NewLine(s.estimates)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(2)
	p.Add(plotter.NewGrid(), area, line)
	p.Legend.Add("estimate", line)
	p.Legend.Add("bounds", area)
	return nil
}

// drawMargins draws a line for the harm that is tolerated, and one for the harm that must be ruled out.
func (s *evidenceSeries) drawMargins(p *plot.Plot) error {
	for n, margin := range []struct {
		at   float64
		name string
	}{{s.first.Margin.Tolerate, "tolerated"}, {s.first.Margin.Exclude, "to be ruled out"}} {
		end := s.estimates[len(s.estimates)-1].X
		line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: margin.at}, {X: end, Y: margin.at}})
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(n), plotutil.Dashes(n+1)
		p.Add(line)
		p.Legend.Add(margin.name, line)
	}
	return nil
}

// setRange derives the vertical range from the margins and the later half of the estimates. The bounds
// are not used, because the earliest ones are so wide that they would hide the rest.
func (s *evidenceSeries) setRange(p *plot.Plot) {
	limit := 3 * s.first.Margin.Exclude
	for _, estimate := range s.estimates[len(s.estimates)/2:] {
		limit = max(limit, 1.5*math.Abs(estimate.Y))
	}
	p.Y.Min, p.Y.Max = -limit, limit
}
