package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// digits is how many significant digits of a figure are shown.
const digits = 3

// formatNumber shows three digits, with commas between thousands.
func formatNumber(value float64) string {
	switch size := math.Abs(value); {
	case value == 0:
		return "0"
	case size >= 1e12 || size < 1e-4:
		return strconv.FormatFloat(value, 'e', digits-1, 64)
	case size >= 1:
		return withCommas(round(value))
	default:
		return strconv.FormatFloat(round(value), 'f', -1, 64)
	}
}

// round rounds a value to three significant digits.
func round(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', digits, 64), 64)
	if err != nil {
		return value // infinite or no number
	}
	return rounded
}

// withCommas sets commas between the thousands of a number of 1 or more.
func withCommas(value float64) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	whole, fraction, dotted := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for at := len(whole) - 3; at > 0; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if dotted {
		whole += "." + fraction
	}
	return sign + whole
}

// formatInterval shows a value with its bounds.
func formatInterval(interval Interval) string {
	return fmt.Sprintf("%s (%s to %s)", formatNumber(interval.Value), formatNumber(interval.Low), formatNumber(interval.High))
}
