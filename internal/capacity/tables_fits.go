package capacity

import (
	"fmt"
	"strconv"
)

// fits returns the table of the curves through a measurement's metrics.
func (t *Tables) fits(name string) (string, error) {
	planned := MeasurementByName(name)
	if name == Distribution && t.results[name] == nil {
		return "No fits: not measured yet.\n", nil
	}
	if planned == nil {
		return "", &TableError{"fits " + name, "there is no such measurement"}
	}
	var table markdown
	table.head("metric", "unit", "by", "sizes", "curve", "slope (95 %)", "fixed part (95 %)", "R²", "at 21,000 (95 %)", "as a straight line")
	for _, metric := range planned.Metrics {
		if metric.NoFit != "" {
			table.addLine(metric.Name, metric.unit(), metric.Size, "", "no curve: "+metric.NoFit, "", "", "", "", "")
			continue
		}
		fit, err := t.curves.fit(name, metric.Name)
		if err != nil {
			return "", err
		}
		line, err := t.line(name, metric)
		if err != nil {
			return "", err
		}
		at := ""
		if reachesServers[metric.Size] {
			at = formatInterval(fit.At(Servers))
		}
		straight := ""
		if at != "" && fit.Model != Line && fit.Model != Constant {
			straight = formatNumber(line.At(Servers).Value)
		}
		sizes := fmt.Sprintf("%s to %s, %d points", formatNumber(fit.Smallest), formatNumber(fit.Largest), fit.Points)
		table.addLine(metric.Name, metric.unit(), metric.Size, sizes, fit.Model.String(), fit.slope(), fit.fixed(), fit.goodness(), at, straight)
	}
	return table.text.String(), nil
}

// reachesServers holds the sizes that reach 21,000 in the fleet.
var reachesServers = map[string]bool{"subscribers": true, "servers": true, "size": true, "hosts": true}

// line returns the straight line through a metric, whichever model fits best.
func (t *Tables) line(name string, metric Metric) (*Fit, error) {
	measured, err := t.measured("fits", name)
	if err != nil {
		return nil, err
	}
	points, err := measured.points(metric)
	if err != nil {
		return nil, err
	}
	return FitModel(Line, points)
}

// slope formats the growth of the curve, by its model's letters.
func (f *Fit) slope() string {
	switch f.Model {
	case Constant:
		return "none found"
	case Line:
		return formatInterval(f.Coefficients[1]) + " n"
	case Logarithm:
		return formatInterval(f.Coefficients[1]) + " ln n"
	case NLogN:
		return formatInterval(f.Coefficients[1]) + " n ln n"
	case Power:
		return "n to the power " + formatInterval(f.Coefficients[1])
	default:
		return formatInterval(f.Coefficients[2]) + " n² + " + formatInterval(f.Coefficients[1]) + " n"
	}
}

// fixed returns the part that does not grow; for Power the factor.
func (f *Fit) fixed() string {
	if f.Model == Power {
		return "factor " + formatInterval(f.Coefficients[0])
	}
	return formatInterval(f.Coefficients[0])
}

// goodness returns R². A constant explains no growth and has none.
func (f *Fit) goodness() string {
	if f.Model == Constant {
		return ""
	}
	return strconv.FormatFloat(f.RSquared, 'f', 4, 64)
}
