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

// evidenceSeries is the evidence of one test over the time of a change.
type evidenceSeries struct {
	first                *canary.Evidence // where the test was first seen
	estimates, low, high plotter.XYs
}

// plotEvidence draws one test over the time of a change: the estimated difference between changed
// and unchanged instances, its bounds and the margins. test is a test's name or its start, slot
// the length of a slot in seconds.
func plotEvidence(series []canary.Judgement, slot float64, test, path string) error {
	evidence, err := evidenceOf(series, slot, test)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = evidence.first.Test.String() + ": changed less unchanged"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first stage began", "more of it, in its unit"
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

// evidenceOf collects the evidence of the first test whose name has a prefix. Slots without finite
// bounds are left out.
func evidenceOf(series []canary.Judgement, slot float64, prefix string) (*evidenceSeries, error) {
	s := &evidenceSeries{}
	var known []string
	for n, judgement := range series {
		for _, e := range judgement.Evidence {
			name := e.Test.String()
			if n == len(series)-1 {
				known = append(known, name)
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
		return nil, fmt.Errorf("no test %q; there are: %s", prefix, strings.Join(known, "; "))
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

// drawMargins draws the tolerated harm and the harm that must be excluded.
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

// setRange sets the vertical range by the later half: the first bounds are wide and would hide the
// rest.
func (s *evidenceSeries) setRange(p *plot.Plot) {
	reach := 3 * s.first.Margin.Exclude
	for _, estimate := range s.estimates[len(s.estimates)/2:] {
		reach = max(reach, 1.5*math.Abs(estimate.Y))
	}
	p.Y.Min, p.Y.Max = -reach, reach
}
