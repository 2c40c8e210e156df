package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Model is the form of a curve.
type Model int

// The models, in the order in which they are preferred where they fit equally well.
const (
	Constant  Model = iota // a
	Line                   // a + b n
	Logarithm              // a + b ln n
	NLogN                  // a + b n ln n
	Power                  // a n^b
	Quadratic              // a + b n + c n²
)

// String returns the name of the model.
func (m Model) String() string {
	return [...]string{"constant", "straight line", "logarithm", "n log n", "power", "quadratic"}[m]
}

const (
	// confidence of all intervals.
	confidence = 0.95
	// A more complex model is chosen only if its residual is below this fraction of the simpler
	// one's.
	worthwhile = 0.9
)

// Interval is a value between two bounds that hold it with the confidence of 95 %.
type Interval struct{ Value, Low, High float64 }

// times returns the interval multiplied by a factor above 0.
func (i Interval) times(factor float64) Interval {
	return Interval{i.Value * factor, i.Low * factor, i.High * factor}
}

// plus adds intervals by their bounds, which errs on the wide side.
func (i Interval) plus(other Interval) Interval {
	return Interval{i.Value + other.Value, i.Low + other.Low, i.High + other.High}
}

// Fit is a curve through points.
type Fit struct {
	Model        Model
	Coefficients []Interval // in the order of the model's letters
	RSquared     float64
	Residual     float64 // standard error of the points around the curve
	Points       int
	Smallest     float64 // size
	Largest      float64 // size

	values     []float64  // of the coefficients; of ln a for Power
	covariance *mat.Dense // of values
}

// FitError says why no curve goes through points.
type FitError struct {
	Model Model
	What  string
}

// Error implements error.
func (e *FitError) Error() string { return fmt.Sprintf("capacity: no %v fits: %s", e.Model, e.What) }

// terms returns a model's columns at a size.
func (m Model) terms(size float64) []float64 {
	switch m {
	case Constant:
		return []float64{1}
	case Line:
		return []float64{1, size}
	case Logarithm:
		return []float64{1, math.Log(max(1, size))}
	case NLogN:
		return []float64{1, size * math.Log(max(1, size))}
	case Power:
		return []float64{1, math.Log(size)}
	default:
		return []float64{1, size, size * size}
	}
}

// FitModel fits one model by least squares.
func FitModel(model Model, points []Point) (*Fit, error) {
	columns := len(model.terms(1))
	if len(points) <= columns {
		return nil, &FitError{model, fmt.Sprintf("%d points for %d coefficients", len(points), columns)}
	}
	design, target := mat.NewDense(len(points), columns, nil), mat.NewVecDense(len(points), nil)
	for row, point := range points {
		design.SetRow(row, model.terms(point.Size))
		value := point.Value
		if model == Power {
			if value <= 0 {
				return nil, &FitError{model, "a value that is not above 0"}
			}
			value = math.Log(value)
		}
		target.SetVec(row, value)
	}
	fit := &Fit{Model: model, Points: len(points), Smallest: points[0].Size, Largest: points[0].Size}
	for _, point := range points {
		fit.Smallest, fit.Largest = min(fit.Smallest, point.Size), max(fit.Largest, point.Size)
	}
	if err := fit.solve(design, target); err != nil {
		return nil, err
	}
	fit.judge(points)
	return fit, nil
}

// solve computes the coefficients and their covariance. Columns are scaled to 1, since sizes and
// their squares differ by many orders of magnitude.
func (f *Fit) solve(design *mat.Dense, target *mat.VecDense) error {
	rows, columns := design.Dims()
	scale := make([]float64, columns)
	for column := range columns {
		scale[column] = mat.Max(absolute(design.ColView(column)))
		for row := range rows {
			design.Set(row, column, design.At(row, column)/scale[column])
		}
	}
	var product, inverse mat.Dense
	product.Mul(design.T(), design)
	if err := inverse.Inverse(&product); err != nil {
		return &FitError{f.Model, "the sizes don't tell its terms apart"}
	}
	var projected, solution, estimate mat.VecDense
	projected.MulVec(design.T(), target)
	solution.MulVec(&inverse, &projected)
	estimate.MulVec(design, &solution)
	estimate.SubVec(target, &estimate)
	variance := mat.Dot(&estimate, &estimate) / float64(rows-columns)
	f.covariance = mat.NewDense(columns, columns, nil)
	for i := range columns {
		f.values = append(f.values, solution.AtVec(i)/scale[i])
		for j := range columns {
			f.covariance.Set(i, j, variance*inverse.At(i, j)/scale[i]/scale[j])
		}
	}
	quantile := f.quantile()
	for i, value := range f.values {
		spread := quantile * math.Sqrt(max(0, f.covariance.At(i, i)))
		f.Coefficients = append(f.Coefficients, Interval{value, value - spread, value + spread})
	}
	if f.Model == Power {
		a := &f.Coefficients[0]
		*a = Interval{math.Exp(a.Value), math.Exp(a.Low), math.Exp(a.High)}
	}
	return nil
}

func absolute(column mat.Vector) *mat.VecDense {
	values := mat.NewVecDense(column.Len(), nil)
	for i := range column.Len() {
		values.SetVec(i, math.Abs(column.AtVec(i)))
	}
	return values
}

// quantile returns that of Student's t distribution for the fit's degrees of freedom.
func (f *Fit) quantile() float64 {
	freedom := float64(f.Points - len(f.values))
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(1 - (1-confidence)/2)
}

// judge computes how well the curve fits, in the values' own unit for all models.
func (f *Fit) judge(points []Point) {
	estimates, values := make([]float64, len(points)), make([]float64, len(points))
	sum := 0.0
	for i, point := range points {
		estimates[i], values[i] = f.at(point.Size), point.Value
		sum += (estimates[i] - values[i]) * (estimates[i] - values[i])
	}
	f.Residual = math.Sqrt(sum / float64(len(points)-len(f.values)))
	f.RSquared = stat.RSquaredFrom(estimates, values, nil)
}

// at returns the curve's value at a size.
func (f *Fit) at(size float64) float64 {
	sum := 0.0
	for i, term := range f.Model.terms(size) {
		sum += f.values[i] * term
	}
	if f.Model == Power {
		return math.Exp(sum)
	}
	return sum
}

// At returns the curve's value at a size with its interval. The interval shows how well the points
// determine the curve, not whether the model is valid so far outside of them.
func (f *Fit) At(size float64) Interval {
	terms := mat.NewVecDense(len(f.values), f.Model.terms(size))
	spread := f.quantile() * math.Sqrt(max(0, mat.Inner(terms, f.covariance, terms)))
	middle := mat.Dot(terms, mat.NewVecDense(len(f.values), f.values))
	interval := Interval{middle, middle - spread, middle + spread}
	if f.Model == Power {
		interval = Interval{math.Exp(interval.Value), math.Exp(interval.Low), math.Exp(interval.High)}
	}
	return interval
}

// slopeKnown reports whether the interval of the last coefficient is above 0.
func (f *Fit) slopeKnown() bool { return f.Coefficients[len(f.Coefficients)-1].Low > 0 }

// Choose fits all models and returns the simplest that fits well: a more complex one is chosen if
// it brings the residual below nine tenths and the interval of its last coefficient is above 0.
// Without significant growth the model is a constant.
func Choose(points []Point) (*Fit, error) {
	chosen, err := FitModel(Line, points)
	if err != nil {
		return nil, err
	}
	for _, model := range []Model{Logarithm, NLogN, Power, Quadratic} {
		fit, err := FitModel(model, points)
		if err == nil && fit.slopeKnown() && fit.Residual < worthwhile*chosen.Residual {
			chosen = fit
		}
	}
	if !chosen.slopeKnown() {
		return FitModel(Constant, points)
	}
	return chosen, nil
}
