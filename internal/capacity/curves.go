package capacity

import "fmt"

// curves fits metrics on demand and caches the fits. It keeps the first error, so that many
// figures can be computed in a row and err be checked once at the end.
type curves struct {
	results Results
	fits    map[string]*Fit // by "MEASUREMENT: METRIC"
	err     error           // the first error of at and growth; their results are unusable then
}

func newCurves(results Results) *curves {
	return &curves{results: results, fits: make(map[string]*Fit)}
}

// metric returns the metric with this name, false if the measurement has none.
func (m *Measurement) metric(name string) (Metric, bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			return metric, true
		}
	}
	return Metric{}, false
}

// fit returns the fit that Choose selects for a metric. It fails if the measurement, its results or
// the metric are unknown, and if no curve can be fitted.
func (c *curves) fit(measurement, metric string) (*Fit, error) {
	key := measurement + ": " + metric
	if fit := c.fits[key]; fit != nil {
		return fit, nil
	}
	definition, resultFile := MeasurementByName(measurement), c.results[measurement]
	if definition == nil || resultFile == nil {
		return nil, &ResultError{measurement, "unknown measurement, or no results for it"}
	}
	wanted, found := definition.metric(metric)
	if !found {
		return nil, &ResultError{measurement, "the measurement has no metric " + metric}
	}
	points, err := resultFile.points(wanted)
	if err != nil {
		return nil, err
	}
	fit, err := Choose(points)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	c.fits[key] = fit
	return fit, nil
}

// at returns the value of a metric's curve at a size. After an error it returns a zero Interval and
// sets c.err.
func (c *curves) at(measurement, metric string, size float64) Interval {
	fit, err := c.fit(measurement, metric)
	if err != nil {
		if c.err == nil {
			c.err = err
		}
		return Interval{}
	}
	return fit.At(size)
}

// growth returns how much a metric's curve grows from size 0 to a size: its value without the fixed
// part. After an error it returns a zero Interval and sets c.err.
func (c *curves) growth(measurement, metric string, size float64) Interval {
	fit, err := c.fit(measurement, metric)
	if err != nil {
		if c.err == nil {
			c.err = err
		}
		return Interval{}
	}
	if fit.Model == Constant {
		return Interval{}
	}
	total, fixed := fit.At(size), fit.At(0).Value
	return Interval{total.Value - fixed, total.Low - fixed, total.High - fixed}
}
