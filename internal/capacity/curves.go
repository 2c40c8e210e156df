package capacity

import "fmt"

// curves looks fits up by measurement and metric. It keeps the first error, so that a page of
// figures can be computed without a check at each.
type curves struct {
	results Results
	fits    map[string]*Fit
	err     error
}

func newCurves(results Results) *curves {
	return &curves{results: results, fits: make(map[string]*Fit)}
}

// metric returns a metric of a measurement by its name.
func (m *Measurement) metric(name string) (Metric, bool) {
	for _, metric := range m.Metrics {
		if metric.Name == name {
			return metric, true
		}
	}
	return Metric{}, false
}

// fit returns the curve through a metric.
func (c *curves) fit(measurement, metric string) (*Fit, error) {
	key := measurement + ": " + metric
	if fit := c.fits[key]; fit != nil {
		return fit, nil
	}
	planned, measured := MeasurementByName(measurement), c.results[measurement]
	if planned == nil || measured == nil {
		return nil, &ResultError{measurement, "there is no such measurement"}
	}
	wanted, there := planned.metric(metric)
	if !there {
		return nil, &ResultError{measurement, "it has no metric " + metric}
	}
	points, err := measured.points(wanted)
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

// at returns the estimate of a metric at a size.
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

// growth returns how much a metric grows from size 0 to a size, without its fixed part.
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
	there, none := fit.At(size), fit.At(0).Value
	return Interval{there.Value - none, there.Low - none, there.High - none}
}
