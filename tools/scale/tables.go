package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"basaltwall/internal/exactjson"
)

// runLabels returns the labels of the measured versions, oldest first.
func runLabels(results []*result) []string {
	sorted := slices.Clone(results)
	slices.SortStableFunc(sorted, func(a, b *result) int { return strings.Compare(a.At, b.At) })
	var out []string
	for _, r := range sorted {
		if !slices.Contains(out, r.Label) {
			out = append(out, r.Label)
		}
	}
	return out
}

// findResult returns the result of a run; nil if there is none or it failed.
func findResult(results []*result, label, name string) *result {
	for _, r := range results {
		if r.Label == label && r.Name == name && r.Failed == "" {
			return r
		}
	}
	return nil
}

// sortByLabel returns the results in the order of their labels.
func sortByLabel(results []*result) []*result {
	var out []*result
	for _, label := range runLabels(results) {
		for _, r := range results {
			if r.Label == label {
				out = append(out, r)
			}
		}
	}
	return out
}

// slopeTable returns tables of each metric at each value of the varied parameters.
func slopeTable(results []*result) string {
	var b strings.Builder
	for _, key := range []string{varyMachines, varyRunning, varyControllers} {
		var runs []*result
		for _, label := range runLabels(results) {
			runs = append(runs, variedRuns(results, label, key)...)
		}
		if len(runs) == 0 {
			continue
		}
		fmt.Fprintf(&b, "**%s**\n\n| |", key)
		for _, r := range runs {
			fmt.Fprintf(&b, " %s, %d |", r.Label, r.valueOf(key))
		}
		b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(runs)) + "\n")
		for _, m := range metrics {
			fmt.Fprintf(&b, "| %s |", metricTitle(m))
			for _, r := range runs {
				fmt.Fprintf(&b, " %s |", formatFigure(m.value(r)))
			}
			b.WriteString("\n")
		}
		b.WriteString("\n")
	}
	return b.String()
}

// metricTitle returns a metric's description with its unit.
func metricTitle(m metric) string {
	if m.unit == "" {
		return m.description
	}
	return m.description + ", " + m.unit
}

// runTable returns the table of all runs.
func runTable(results []*result) string {
	var b strings.Builder
	b.WriteString("| run | version | controllers | tasks running | fill, s | window, s | task starts per second: average; best second; best ten seconds | CPU usage of all controllers, cores | rules broken | failed |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range sortByLabel(results) {
		failed := r.Failed
		if failed == "" {
			failed = "no"
		}
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %.0f | %.0f | %s; %d; %s | %s | %d | %s |\n", r.Name, r.Label, r.Controllers, r.Running, r.FillSeconds, r.Window,
			formatFigure(perSecond(r, float64(r.Starts))), r.BestSecond, formatFigure(r.BestTen), formatFigure(r.CPU), len(r.Violations), failed)
	}
	return b.String()
}

// faultTable returns the table of recovery times after faults.
func faultTable(results []*result) string {
	var b strings.Builder
	b.WriteString("| run | version | fault | time until half, nine tenths, all of the machines received commands, s | first start of an urgent job submitted after the fault, s |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range sortByLabel(results) {
		for _, f := range r.Faults {
			fmt.Fprintf(&b, "| %s | %s | %s at %.0f s | %s, %s, %s | %s |\n", r.Name, r.Label, f.What, f.At, formatOptional(f.HalfCommanded), formatOptional(f.MostCommanded), formatOptional(f.AllCommanded), formatOptional(f.FirstUrgentStart))
		}
	}
	return b.String()
}

// agentTable returns the table of the cost of one worker.
func agentTable(dir string) string {
	var r agentResult
	data, err := os.ReadFile(filepath.Join(dir, agentFile))
	if err != nil || exactjson.Decode(data, &r) != nil {
		return "Not measured.\n"
	}
	return fmt.Sprintf("| single worker, %d tasks, %s task starts per second, %.0f s | measured | budget |\n| --- | --- | --- |\n| CPU usage, cores | %s | 0.026 |\n| peak resident memory, MB | %s | 32 |\n| heartbeats per second | %s | - |\n| bytes per second, bodies and estimated headers | %s | 3000 |\n",
		r.Tasks, formatFigure(r.Starts), r.Window, formatFigure(r.Cores), formatFigure(r.ResidentMB), formatFigure(r.Heartbeats), formatFigure(r.Bytes))
}

// noFigure stands for a missing figure.
const noFigure = "-"

// formatOptional formats a number; 0 stands for a missing one.
func formatOptional(v float64) string {
	if v == 0 {
		return noFigure
	}
	return formatFigure(v)
}

// formatFigure formats a number with three significant digits.
func formatFigure(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return noFigure
	case a == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
