// Package capacity holds the raw results of the scale measurements, fits curves to them and
// makes the tables of docs/CAPACITY.md from both, so that no table can differ from its data.
//
//   - results/*.txt are raw results in Go's benchmark format, one file a measurement, with
//     the command, the cores and the date as configuration lines. `go run
//     ./internal/capacity/collect NAME` measures again and writes such a file.
//   - A Fit is a curve through one metric of a measurement, with the 95 % intervals of its
//     coefficients.
//   - An Estimate is a figure of the page at the size that is needed, worked out from fits
//     and stated assumptions.
//   - `go run ./internal/capacity/tables` writes the tables into the page; with -check it
//     fails where page and data differ.
//
// It opens no connection and measures nothing itself.
package capacity
