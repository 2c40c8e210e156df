package simulation

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the fraction of runs that were stopped, over the time since the change started,
// for the fleets of one size: for each method a solid line without harm and a dashed line with
// the named harm. It writes the plot to path, whose extension selects the format: .svg, .png or
// .pdf. It returns an error if rows has no result to draw.
func Plot(rows []Result, size int, harm, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d instances: fraction of changes stopped", size)
	p.X.Label.Text, p.Y.Label.Text = "seconds since the change started", "fraction of runs"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = false, false
	end := float64(slotsPerRun-historySlots) * slotLength.Seconds()
	drawn := 0
	for m, method := range Methods {
		for _, r := range rows {
			if r.Instances != size || r.Method != method || r.Harm != harm && r.Harm != Harms()[0].Name || r.Runs == 0 {
				continue
			}
			pts := plotter.XYs{{X: 0, Y: 0}}
			for n, seconds := range r.Times {
				y := float64(n) / float64(r.Runs)
				pts = append(pts, plotter.XY{X: seconds, Y: y}, plotter.XY{X: seconds, Y: y + 1/float64(r.Runs)})
			}
			pts = append(pts, plotter.XY{X: end, Y: math.Min(1, r.StopRate())})
			l, err := plotter.NewLine(pts)
			if err != nil {
				return fmt.Errorf("plot the runs of method %q: %w", method, err)
			}
			l.Color = plotutil.Color(m)
			if r.Harm == harm {
				l.Dashes = plotutil.Dashes(1)
			}
			p.Add(l)
			p.Legend.Add(fmt.Sprintf("%s, %s", method, r.Harm), l)
			drawn++
		}
	}
	if drawn == 0 {
		return fmt.Errorf("plot: there are no runs of %d instances without harm or with the harm %q", size, harm)
	}
	if err := p.Save(22*vg.Centimeter, 14*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
