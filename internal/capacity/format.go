package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// significantDigits is the number of significant digits that the page shows of a figure.
const significantDigits = 3

// formatNumber formats a value with three significant digits and commas between thousands. It uses
// scientific notation from 1e12 up and below 1e-4.
func formatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case value == 0:
		return "0"
	case magnitude >= 1e12 || magnitude < 1e-4:
		return strconv.FormatFloat(value, 'e', significantDigits-1, 64)
	case magnitude >= 1:
		return withCommas(roundToSignificant(value))
	default:
		return strconv.FormatFloat(roundToSignificant(value), 'f', -1, 64)
	}
}

// roundToSignificant rounds a value to three significant digits.
func roundToSignificant(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
	if err != nil {
		return value // infinite or not a number
	}
	return rounded
}

// withCommas formats a number in full, with commas between the thousands of its integer part.
func withCommas(value float64) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	whole, fraction, hasFraction := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for position := len(whole) - 3; position > 0; position -= 3 {
		whole = whole[:position] + "," + whole[position:]
	}
	if hasFraction {
		whole += "." + fraction
	}
	return sign + whole
}

// formatInterval formats a value with its bounds, as in "12.3 (11 to 14)".
func formatInterval(interval Interval) string {
	return fmt.Sprintf("%s (%s to %s)", formatNumber(interval.Value), formatNumber(interval.Low), formatNumber(interval.High))
}
