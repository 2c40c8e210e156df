package capacity

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
)

// sample takes points of a curve, three at each size, with noise of a relative size.
func sample(curve func(size float64) float64, noise float64) []Point {
	random := rand.New(rand.NewPCG(1, 2))
	var points []Point
	for _, size := range []float64{50, 100, 200, 400, 800, 1600} {
		for range 3 {
			points = append(points, Point{size, curve(size) * (1 + noise*random.NormFloat64())})
		}
	}
	return points
}

// The model that generated the points is chosen, with its coefficients.
func TestChooseFindsTheCurve(t *testing.T) {
	for name, test := range map[string]struct {
		curve        func(n float64) float64
		model        Model
		coefficients []float64
		at           float64 // at 21,000
	}{
		"constant":  {func(float64) float64 { return 7 }, Constant, []float64{7}, 7},
		"line":      {func(n float64) float64 { return 9 + 0.5*n }, Line, []float64{9, 0.5}, 10509},
		"logarithm": {func(n float64) float64 { return 3 + 2*math.Log(n) }, Logarithm, []float64{3, 2}, 3 + 2*math.Log(21000)},
		"n log n":   {func(n float64) float64 { return 3 + 0.02*n*math.Log(n) }, NLogN, []float64{3, 0.02}, 3 + 0.02*21000*math.Log(21000)},
		"power":     {func(n float64) float64 { return 0.3 * math.Pow(n, 1.5) }, Power, []float64{0.3, 1.5}, 0.3 * math.Pow(21000, 1.5)},
		"quadratic": {func(n float64) float64 { return 2000 + n + 0.01*n*n }, Quadratic, []float64{2000, 1, 0.01}, 2000 + 21000 + 0.01*21000*21000},
	} {
		t.Run(name, func(t *testing.T) {
			fit, err := Choose(sample(test.curve, 1e-4))
			if err != nil {
				t.Fatal(err)
			}
			if fit.Model != test.model {
				t.Fatalf("a %v was chosen, want a %v", fit.Model, test.model)
			}
			for i, want := range test.coefficients {
				if got := fit.Coefficients[i]; math.Abs(got.Value-want) > 0.02*want || got.Low > got.Value || got.High < got.Value {
					t.Errorf("coefficient %d is %+v, want %v", i, got, want)
				}
			}
			if got := fit.At(21000).Value; math.Abs(got-test.at) > 0.02*test.at {
				t.Errorf("at 21,000: %v, want %v", got, test.at)
			}
			if test.model != Constant && fit.RSquared < 0.999 {
				t.Errorf("R² is %v", fit.RSquared)
			}
		})
	}
}

// Of many noisy samples, about 95 in 100 have the true slope, and the true value far
// outside, in their intervals.
func TestIntervalsHoldTheTruth(t *testing.T) {
	const trials = 400
	random := rand.New(rand.NewPCG(3, 4))
	slopes, values := 0, 0
	for range trials {
		var points []Point
		for _, size := range []float64{50, 100, 200, 400, 800} {
			for range 3 {
				points = append(points, Point{size, 10 + 0.1*size + 5*random.NormFloat64()})
			}
		}
		fit, err := FitModel(Line, points)
		if err != nil {
			t.Fatal(err)
		}
		if slope := fit.Coefficients[1]; slope.Low <= 0.1 && 0.1 <= slope.High {
			slopes++
		}
		if at := fit.At(21000); at.Low <= 2110 && 2110 <= at.High {
			values++
		}
	}
	for what, held := range map[string]int{"slope": slopes, "value at 21,000": values} {
		if share := float64(held) / trials; share < 0.92 || share > 0.98 {
			t.Errorf("the %s lies in %.3f of its intervals, want 0.95", what, share)
		}
	}
}

// A curve that the points can't determine is an error.
func TestFitRefusesTooLittle(t *testing.T) {
	for name, points := range map[string][]Point{
		"none":       nil,
		"two":        {{1, 1}, {2, 2}},
		"one size":   {{5, 1}, {5, 2}, {5, 3}},
		"two points": {{5, 1}, {5, 2}},
	} {
		if _, err := FitModel(Line, points); !errors.As(err, new(*FitError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := FitModel(Power, []Point{{1, 1}, {2, 0}, {3, 2}}); !errors.As(err, new(*FitError)) {
		t.Errorf("a value of 0 for a power: %v", err)
	}
}
