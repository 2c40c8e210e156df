package capacity

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

// samplePoints returns points of a curve, three at each size, with normally distributed noise. The
// noise is relative: a standard deviation as a fraction of the value.
func samplePoints(curve func(size float64) float64, noise float64) []Point {
	random := rand.New(rand.NewPCG(1, 2))
	var points []Point
	for _, size := range []float64{50, 100, 200, 400, 800, 1600} {
		for range 3 {
			points = append(points, Point{size, curve(size) * (1 + noise*random.NormFloat64())})
		}
	}
	return points
}

// Choose returns the model that generated the points, with its coefficients.
func TestChooseFindsTheCurve(t *testing.T) {
	for name, test := range map[string]struct {
		curve        func(n float64) float64
		model        Model
		coefficients []float64
		valueAt21000 float64
	}{
		"constant":  {func(float64) float64 { return 7 }, Constant, []float64{7}, 7},
		"line":      {func(n float64) float64 { return 9 + 0.5*n }, Line, []float64{9, 0.5}, 10509},
		"logarithm": {func(n float64) float64 { return 3 + 2*math.Log(n) }, Logarithm, []float64{3, 2}, 3 + 2*math.Log(21000)},
		"n log n":   {func(n float64) float64 { return 3 + 0.02*n*math.Log(n) }, NLogN, []float64{3, 0.02}, 3 + 0.02*21000*math.Log(21000)},
		"power":     {func(n float64) float64 { return 0.3 * math.Pow(n, 1.5) }, Power, []float64{0.3, 1.5}, 0.3 * math.Pow(21000, 1.5)},
		"quadratic": {func(n float64) float64 { return 2000 + n + 0.01*n*n }, Quadratic, []float64{2000, 1, 0.01}, 2000 + 21000 + 0.01*21000*21000},
	} {
		t.Run(name, func(t *testing.T) {
			fit, err := Choose(samplePoints(test.curve, 1e-4))
			if err != nil {
				t.Fatalf("Choose: %v", err)
			}
			if fit.Model != test.model {
				t.Fatalf("Choose returned the model %v, want %v", fit.Model, test.model)
			}
			for i, want := range test.coefficients {
				if got := fit.Coefficients[i]; math.Abs(got.Value-want) > 0.02*want || got.Low > got.Value || got.High < got.Value {
					t.Errorf("coefficient %d = %+v, want %v within 2 %% and within its own interval", i, got, want)
				}
			}
			if got := fit.At(21000).Value; math.Abs(got-test.valueAt21000) > 0.02*test.valueAt21000 {
				t.Errorf("value at 21,000 = %v, want %v within 2 %%", got, test.valueAt21000)
			}
			if test.model != Constant && fit.RSquared < 0.999 {
				t.Errorf("R² = %v, want at least 0.999", fit.RSquared)
			}
		})
	}
}

// Of many fits to noisy points, about 95 in 100 have an interval that contains the true slope, and
// about 95 in 100 one that contains the true value at 21,000, far outside of the points.
func TestIntervalsCoverTrueValues(t *testing.T) {
	const trials = 400
	random := rand.New(rand.NewPCG(3, 4))
	slopesCovered, valuesCovered := 0, 0
	for range trials {
		var points []Point
		for _, size := range []float64{50, 100, 200, 400, 800} {
			for range 3 {
				points = append(points, Point{size, 10 + 0.1*size + 5*random.NormFloat64()})
			}
		}
		fit, err := FitModel(Line, points)
		if err != nil {
			t.Fatalf("FitModel: %v", err)
		}
		if slope := fit.Coefficients[1]; slope.Low <= 0.1 && 0.1 <= slope.High {
			slopesCovered++
		}
		if value := fit.At(21000); value.Low <= 2110 && 2110 <= value.High {
			valuesCovered++
		}
	}
	for quantity, covered := range map[string]int{"slope": slopesCovered, "value at 21,000": valuesCovered} {
		if share := float64(covered) / trials; share < 0.92 || share > 0.98 {
			t.Errorf("the true %s lies in %.3f of its intervals, want between 0.92 and 0.98", quantity, share)
		}
	}
}

// FitModel fails if the points can't determine the curve, and for Power also if a value is 0.
func TestFitModelRejectsTooFewPoints(t *testing.T) {
	for name, points := range map[string][]Point{
		"no points":                nil,
		"two points of a line":     {{1, 1}, {2, 2}},
		"three points of one size": {{5, 1}, {5, 2}, {5, 3}},
		"two points of one size":   {{5, 1}, {5, 2}},
	} {
		if _, err := FitModel(Line, points); !errors.As(err, new(*FitError)) {
			t.Errorf("FitModel(Line) with %s: got error %v, want a *FitError", name, err)
		}
	}
	if _, err := FitModel(Power, []Point{{1, 1}, {2, 0}, {3, 2}}); !errors.As(err, new(*FitError)) {
		t.Errorf("FitModel(Power) with a value of 0: got error %v, want a *FitError", err)
	}
}
