package main

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"
)

// fittedLine is a fitted line and how far the points lie from it at most, as a share of the largest.
type fittedLine struct {
	intercept, slope, residual float64
	points                     plotter.XYs
}

// centerRun is the run that all series of varied runs share.
const centerRun = "slope-center"

// variedRuns are the runs of some sources in which one thing was varied, the one that all share
// included, in the order of its value.
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

// fitLine fits a line through the runs in which one thing was varied.
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
