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

// plotEvidence draws one test over a change's time: how much worse the changed ones
// were held to be, with the bounds that hold at all looks, and the margins. test is
// a test's name, or its beginning.
func plotEvidence(series []canary.Judgement, slot float64, test, path string) error {
	var line, low, high plotter.XYs
	var known []string
	var found *canary.Evidence
	for n, j := range series {
		for _, e := range j.Evidence {
			name := e.Test.String()
			if n == len(series)-1 {
				known = append(known, name)
			}
			if found == nil && strings.HasPrefix(name, test) {
				found = &e
			}
			if found == nil || name != found.Test.String() || e.High == e.Low || math.IsInf(e.High, 0) {
				continue
			}
			x := float64(n+1) * slot
			line = append(line, plotter.XY{X: x, Y: e.Estimate})
			low = append(low, plotter.XY{X: x, Y: e.Low})
			high = append(high, plotter.XY{X: x, Y: e.High})
		}
	}
	if found == nil {
		return fmt.Errorf("no test %q; there are: %s", test, strings.Join(known, "; "))
	}
	if len(line) == 0 {
		return fmt.Errorf("test %q was never judged: %s", found.Test, found.Why)
	}
	p := plot.New()
	p.Title.Text = found.Test.String() + ": changed less unchanged"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first stage began", "more of it, in its unit"
	band := append(plotter.XYs{}, high...)
	for n := len(low) - 1; n >= 0; n-- {
		band = append(band, low[n])
	}
	area, err := plotter.NewPolygon(band)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	area.Color, area.LineStyle.Width = color.NRGBA{R: 90, G: 140, B: 200, A: 90}, 0
	middle, err := plotter.NewLine(line)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	middle.Color = plotutil.Color(2)
	p.Add(plotter.NewGrid(), area, middle)
	p.Legend.Add("estimate", middle)
	p.Legend.Add("bounds", area)
	for n, m := range []struct {
		at   float64
		name string
	}{{found.Margin.Tolerate, "tolerated"}, {found.Margin.Exclude, "to be ruled out"}} {
		l, err := plotter.NewLine(plotter.XYs{{X: 0, Y: m.at}, {X: line[len(line)-1].X, Y: m.at}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		l.Color, l.Dashes = plotutil.Color(n), plotutil.Dashes(n+1)
		p.Add(l)
		p.Legend.Add(m.name, l)
	}
	p.Legend.Top = true
	// The first bounds are wide and would hide the rest.
	reach := 3 * found.Margin.Exclude
	for _, x := range line[len(line)/2:] {
		reach = max(reach, 1.5*math.Abs(x.Y))
	}
	p.Y.Min, p.Y.Max = -reach, reach
	if err := p.Save(22*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
