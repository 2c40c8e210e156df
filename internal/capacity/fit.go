package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Model is the formula of a curve over the size n.
type Model int

// The models, in the order in which Choose prefers them where they fit about equally well. The
// letters of a formula are its coefficients, in the order of Fit.Coefficients.
const (
	Constant  Model = iota // a
	Line                   // a + b n
	Logarithm              // a + b ln n
	NLogN                  // a + b n ln n
	Power                  // a n^b
	Quadratic              // a + b n + c n²
)

// String returns the model's name as the page shows it.
func (m Model) String() string {
	return [...]string{"constant", "straight line", "logarithm", "n log n", "power", "quadratic"}[m]
}

const (
	// confidence is the confidence level of all intervals.
	confidence = 0.95
	// maxResidualRatio is the fraction of the simpler model's residual below which the residual of a
	// more complex one has to be for Choose to prefer it.
	maxResidualRatio = 0.9
)

// Interval is an estimated value with the bounds of its confidence interval of 95 %.
type Interval struct{ Value, Low, High float64 }

// times returns the interval multiplied by a factor, which must be above 0 to keep Low below High.
func (i Interval) times(factor float64) Interval {
	return Interval{i.Value * factor, i.Low * factor, i.High * factor}
}

// plus returns the sum of two intervals. It adds the bounds, so the result tends to be too wide rather
// than too narrow.
func (i Interval) plus(other Interval) Interval {
	return Interval{i.Value + other.Value, i.Low + other.Low, i.High + other.High}
}

// Fit is a curve fitted to points by least squares. FitModel and Choose make one.
type Fit struct {
	Model        Model
	Coefficients []Interval // in the order of the letters in the model's formula
	RSquared     float64
	Residual     float64 // standard error of the points around the curve, in their unit
	Points       int     // number of fitted points
	Smallest     float64 // smallest size of a point
	Largest      float64 // largest size of a point

	values     []float64  // the coefficients as solved; for Power the first one is ln a
	covariance *mat.Dense // covariance matrix of values
}

// FitError is the reason why a model cannot be fitted to points.
type FitError struct {
	Model  Model
	Reason string
}

// Error implements error.
func (e *FitError) Error() string {
	return fmt.Sprintf("capacity: cannot fit a %v curve: %s", e.Model, e.Reason)
}

// terms returns the factors by which the coefficients are multiplied at a size: one row of the design
// matrix. For Power they are the factors of ln a and b, which give the logarithm of the curve. The
// logarithm of a size below 1 counts as 0 in Logarithm and NLogN.
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

// FitModel fits one model by least squares. It returns a *FitError if there are not more points
// than coefficients, if the sizes are too few or too close to determine them, and for Power also if
// a value is not above 0.
func FitModel(model Model, points []Point) (*Fit, error) {
	columns := len(model.terms(1))
	if len(points) <= columns {
		return nil, &FitError{model, fmt.Sprintf("%d points do not determine %d coefficients", len(points), columns)}
	}
	design, target := mat.NewDense(len(points), columns, nil), mat.NewVecDense(len(points), nil)
	for row, point := range points {
		design.SetRow(row, model.terms(point.Size))
		value := point.Value
		if model == Power {
			if value <= 0 {
				return nil, &FitError{model, "a point has a value that is not above 0"}
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
	fit.assess(points)
	return fit, nil
}

// solve computes the coefficients, their covariance and their intervals. It scales the largest
// absolute value of each column to 1, since sizes and their squares differ by many orders of
// magnitude. It overwrites design.
func (f *Fit) solve(design *mat.Dense, target *mat.VecDense) error {
	rows, columns := design.Dims()
	scale := make([]float64, columns)
	for column := range columns {
		scale[column] = mat.Max(absoluteValues(design.ColView(column)))
		for row := range rows {
			design.Set(row, column, design.At(row, column)/scale[column])
		}
	}
	var product, inverse mat.Dense
	product.Mul(design.T(), design)
	if err := inverse.Inverse(&product); err != nil {
		return &FitError{f.Model, "the sizes are too few or too close to determine its coefficients"}
	}
	var projected, solution, residuals mat.VecDense
	projected.MulVec(design.T(), target)
	solution.MulVec(&inverse, &projected)
	residuals.MulVec(design, &solution) // the values of the curve, not yet subtracted from the target
	residuals.SubVec(target, &residuals)
	variance := mat.Dot(&residuals, &residuals) / float64(rows-columns)
	f.covariance = mat.NewDense(columns, columns, nil)
	for i := range columns {
		f.values = append(f.values, solution.AtVec(i)/scale[i])
		for j := range columns {
			f.covariance.Set(i, j, variance*inverse.At(i, j)/scale[i]/scale[j])
		}
	}
	quantile := f.quantile()
	for i, value := range f.values {
		halfWidth := quantile * math.Sqrt(max(0, f.covariance.At(i, i)))
		f.Coefficients = append(f.Coefficients, Interval{value, value - halfWidth, value + halfWidth})
	}
	if f.Model == Power {
		a := &f.Coefficients[0]
		*a = Interval{math.Exp(a.Value), math.Exp(a.Low), math.Exp(a.High)}
	}
	return nil
}

// absoluteValues returns a vector of the absolute values of a column.
func absoluteValues(column mat.Vector) *mat.VecDense {
	values := mat.NewVecDense(column.Len(), nil)
	for i := range column.Len() {
		values.SetVec(i, math.Abs(column.AtVec(i)))
	}
	return values
}

// quantile returns the factor by which a standard error is multiplied to get half the width of its
// confidence interval: a quantile of Student's t distribution for the fit's degrees of freedom.
func (f *Fit) quantile() float64 {
	degreesOfFreedom := float64(f.Points - len(f.values))
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(1 - (1-confidence)/2)
}

// assess sets Residual and RSquared. Both are computed on the values themselves for all models, also
// for Power, which is fitted to logarithms.
func (f *Fit) assess(points []Point) {
	estimates, values := make([]float64, len(points)), make([]float64, len(points))
	sum := 0.0
	for i, point := range points {
		estimates[i], values[i] = f.at(point.Size), point.Value
		sum += (estimates[i] - values[i]) * (estimates[i] - values[i])
	}
	f.Residual = math.Sqrt(sum / float64(len(points)-len(f.values)))
	f.RSquared = stat.RSquaredFrom(estimates, values, nil)
}

// at returns the curve's value at a size, without an interval.
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

// At returns the curve's value at a size with its confidence interval. The interval shows how well
// the points determine the curve. It does not show whether the model is still valid at a size that
// lies far outside of them.
func (f *Fit) At(size float64) Interval {
	terms := mat.NewVecDense(len(f.values), f.Model.terms(size))
	halfWidth := f.quantile() * math.Sqrt(max(0, mat.Inner(terms, f.covariance, terms)))
	value := mat.Dot(terms, mat.NewVecDense(len(f.values), f.values))
	interval := Interval{value, value - halfWidth, value + halfWidth}
	if f.Model == Power {
		interval = Interval{math.Exp(interval.Value), math.Exp(interval.Low), math.Exp(interval.High)}
	}
	return interval
}

// growthIsSignificant reports whether the whole interval of the last coefficient is above 0.
func (f *Fit) growthIsSignificant() bool { return f.Coefficients[len(f.Coefficients)-1].Low > 0 }

// Choose fits all models to the points and returns the fit of the simplest one that fits well. It
// prefers a more complex model only if the residual is below nine tenths of the simpler one's and
// the interval of its last coefficient is above 0. If no growth is significant, it returns a
// constant. It returns a *FitError if no straight line can be fitted.
func Choose(points []Point) (*Fit, error) {
	chosen, err := FitModel(Line, points)
	if err != nil {
		return nil, err
	}
	for _, model := range []Model{Logarithm, NLogN, Power, Quadratic} {
		fit, err := FitModel(model, points)
		if err == nil && fit.growthIsSignificant() && fit.Residual < maxResidualRatio*chosen.Residual {
			chosen = fit
		}
	}
	if !chosen.growthIsSignificant() {
		return FitModel(Constant, points)
	}
	return chosen, nil
}
