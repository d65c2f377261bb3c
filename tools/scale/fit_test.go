package main

import (
	"math"
	"testing"
)

// TestFit checks slope and residual of a fit, and that it ignores failed runs.
func TestFit(t *testing.T) {
	var results []*result
	for i, cpu := range []float64{1, 2, 3.3} {
		results = append(results, &result{Label: "x", Name: "s", Vary: varyControllers, Controllers: 10 * (i + 1), CPU: cpu})
	}
	cpu, _ := findMetric("cpu_total")
	f, ok := fitLine(results, "x", varyControllers, cpu.value)
	if !ok || math.Abs(f.slope-0.115) > 1e-9 || math.Abs(f.residual-0.1/3.3) > 1e-9 {
		t.Errorf("%+v, %v", f, ok)
	}
	if _, ok := fitLine(results[:2], "x", varyControllers, cpu.value); ok {
		t.Error("fit with two points")
	}
	results[0].Failed = "failed"
	if _, ok := fitLine(results, "x", varyControllers, cpu.value); ok {
		t.Error("a failed run is not ignored")
	}
}
