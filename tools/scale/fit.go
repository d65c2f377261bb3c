package main

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"
)

// fittedLine is a linear fit. Its residual is the largest distance of a point, as a share of the largest
// value.
type fittedLine struct {
	intercept, slope, residual float64
	points                     plotter.XYs
}

// centerRun is the name of the run that belongs to all series of varied runs.
const centerRun = "slope-center"

// variedRuns returns the successful runs with a label in which a parameter was varied, and the center run,
// ordered by the parameter's value.
func variedRuns(results []*result, label, key string) []*result {
	var out []*result
	for _, r := range results {
		if r.Label == label && r.Failed == "" && (r.Vary == key || r.Name == centerRun) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *result) int { return a.valueOf(key) - b.valueOf(key) })
	if len(out) == 1 && out[0].Name == centerRun {
		return nil
	}
	return out
}

// fitLine fits a line to a value of the runs in which a parameter was varied. It needs at least three runs.
func fitLine(results []*result, label, key string, value func(*result) float64) (fittedLine, bool) {
	var x, y []float64
	for _, r := range variedRuns(results, label, key) {
		x, y = append(x, float64(r.valueOf(key))), append(y, value(r))
	}
	if len(x) < 3 {
		return fittedLine{}, false
	}
	var f fittedLine
	f.intercept, f.slope = stat.LinearRegression(x, y, nil, false)
	largest := 0.0
	for i := range x {
		f.points = append(f.points, plotter.XY{X: x[i], Y: y[i]})
		largest = math.Max(largest, math.Abs(y[i]))
	}
	for i := range x {
		if largest > 0 {
			f.residual = math.Max(f.residual, math.Abs(y[i]-f.intercept-f.slope*x[i])/largest)
		}
	}
	slices.SortFunc(f.points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return f, true
}
