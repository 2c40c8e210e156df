package capacity

import (
	"fmt"
	"strconv"
)

// fits returns the table of the fits for a measurement's metrics.
func (t *Tables) fits(name string) (string, error) {
	definition := MeasurementByName(name)
	if name == Distribution && t.results[name] == nil {
		return "No fits: not measured yet.\n", nil
	}
	if definition == nil {
		return "", &TableError{"fits " + name, "unknown measurement"}
	}
	var table markdown
	table.head("metric", "unit", "by", "sizes", "curve", "slope (95 %)", "fixed part (95 %)", "R²", "at 21,000 (95 %)", "as a straight line")
	for _, metric := range definition.Metrics {
		if metric.NoFitReason != "" {
			table.addLine(metric.Name, metric.pageUnit(), metric.SizeParameter, "", "no curve: "+metric.NoFitReason, "", "", "", "", "")
			continue
		}
		fit, err := t.curves.fit(name, metric.Name)
		if err != nil {
			return "", err
		}
		line, err := t.straightLine(name, metric)
		if err != nil {
			return "", err
		}
		atFleetSize := ""
		if fleetSizeParameters[metric.SizeParameter] {
			atFleetSize = formatInterval(fit.At(Servers))
		}
		lineAtFleetSize := ""
		if atFleetSize != "" && fit.Model != Line && fit.Model != Constant {
			lineAtFleetSize = formatNumber(line.At(Servers).Value)
		}
		sizes := fmt.Sprintf("%s to %s, %d points", formatNumber(fit.Smallest), formatNumber(fit.Largest), fit.Points)
		table.addLine(metric.Name, metric.pageUnit(), metric.SizeParameter, sizes, fit.Model.String(), fit.formatSlope(), fit.formatFixedPart(), fit.formatRSquared(), atFleetSize, lineAtFleetSize)
	}
	return table.text.String(), nil
}

// fleetSizeParameters are the size parameters whose value in the fleet is Servers, 21,000.
var fleetSizeParameters = map[string]bool{"subscribers": true, "servers": true, "size": true, "hosts": true}

// straightLine returns the fit of a straight line to a metric, whichever model fits best.
func (t *Tables) straightLine(name string, metric Metric) (*Fit, error) {
	resultFile, err := t.resultFile("fits", name)
	if err != nil {
		return nil, err
	}
	points, err := resultFile.points(metric)
	if err != nil {
		return nil, err
	}
	return FitModel(Line, points)
}

// formatSlope formats the part of the curve that grows with the size n.
func (f *Fit) formatSlope() string {
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

// formatFixedPart formats the part of the curve that does not grow; for Power its factor.
func (f *Fit) formatFixedPart() string {
	if f.Model == Power {
		return "factor " + formatInterval(f.Coefficients[0])
	}
	return formatInterval(f.Coefficients[0])
}

// formatRSquared formats R². It returns an empty string for a constant, which explains no growth.
func (f *Fit) formatRSquared() string {
	if f.Model == Constant {
		return ""
	}
	return strconv.FormatFloat(f.RSquared, 'f', 4, 64)
}
