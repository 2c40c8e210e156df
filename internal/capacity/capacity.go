// Package capacity holds the raw results of the scale measurements, fits curves to them and
// generates the tables of docs/CAPACITY.md from both, so that no table can differ from its data.
//
//   - results/*.txt are the raw results in Go's benchmark format, one file for each
//     measurement, with the command, the cores and the date as configuration lines.
//     `go run ./internal/capacity/collect NAME` repeats a measurement and writes its file.
//   - A Fit is a curve through one metric of a measurement, with the 95 % confidence intervals
//     of its coefficients.
//   - An Estimate is one figure of the page at the required fleet size, computed from fits and
//     stated assumptions.
//   - `go run ./internal/capacity/tables` writes the tables into the page; with -check it
//     fails if the page and the data differ.
//
// The package itself opens no connection and measures nothing.
package capacity
