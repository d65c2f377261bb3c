package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// sourceLabels are the sources that were measured, in the order of time.
func sourceLabels(results []*result) []string {
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

// findResult is a run's result, nil if there is none that ended well.
func findResult(results []*result, label, name string) *result {
	for _, r := range results {
		if r.Label == label && r.Name == name && r.Failed == "" {
			return r
		}
	}
	return nil
}

// bySource are the results by the order of their sources.
func bySource(results []*result) []*result {
	var out []*result
	for _, label := range sourceLabels(results) {
		for _, r := range results {
			if r.Label == label {
				out = append(out, r)
			}
		}
	}
	return out
}

// slopeTable shows each metric at each value of what was varied, by sources.
func slopeTable(results []*result) string {
	var b strings.Builder
	for _, key := range []string{varyMachines, varyRunning, varyControllers} {
		var runs []*result
		for _, label := range sourceLabels(results) {
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

// metricTitle is a metric's description with its unit.
func metricTitle(m metric) string {
	if m.unit == "" {
		return m.description
	}
	return m.description + ", " + m.unit
}

// runTable shows the runs in which nothing was varied.
func runTable(results []*result) string {
	var b strings.Builder
	b.WriteString("| run | sources | controllers | tasks running | fill, s | window, s | starts a second; best second; best ten | controllers' cores | rules broken | failed |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range bySource(results) {
		failed := r.Failed
		if failed == "" {
			failed = "no"
		}
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %.0f | %.0f | %s; %d; %s | %s | %d | %s |\n", r.Name, r.Label, r.Controllers, r.Running, r.FillSeconds, r.Window,
			formatFigure(perSecond(r, float64(r.Starts))), r.BestSecond, formatFigure(r.BestTen), formatFigure(r.CPU), len(r.Violations), failed)
	}
	return b.String()
}

// faultTable shows what came after faults.
func faultTable(results []*result) string {
	var b strings.Builder
	b.WriteString("| run | sources | fault | half, nine tenths, all machines commanded after, s | first urgent start of a job that came later, s |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range bySource(results) {
		for _, f := range r.Faults {
			fmt.Fprintf(&b, "| %s | %s | %s at %.0f s | %s, %s, %s | %s |\n", r.Name, r.Label, f.What, f.At, formatOptional(f.HalfCommanded), formatOptional(f.MostCommanded), formatOptional(f.AllCommanded), formatOptional(f.FirstUrgentStart))
		}
	}
	return b.String()
}

// agentTable shows what one worker alone uses.
func agentTable(dir string) string {
	var r agentResult
	data, err := os.ReadFile(filepath.Join(dir, agentFile))
	if err != nil || json.Unmarshal(data, &r) != nil {
		return "Not measured.\n"
	}
	return fmt.Sprintf("| one worker alone, %d tasks, %s starts a second, %.0f s | measured | budget |\n| --- | --- | --- |\n| processor time, cores | %s | 0.026 |\n| resident memory at its peak, MB | %s | 32 |\n| reports a second | %s | - |\n| bytes a second, bodies and about what headers take | %s | 3000 |\n",
		r.Tasks, formatFigure(r.Starts), r.Window, formatFigure(r.Cores), formatFigure(r.ResidentMB), formatFigure(r.Heartbeats), formatFigure(r.Bytes))
}

// noFigure stands where there is none.
const noFigure = "-"

// formatOptional writes a number, where 0 means that there is none.
func formatOptional(v float64) string {
	if v == 0 {
		return noFigure
	}
	return formatFigure(v)
}

// formatFigure writes a number with three significant digits.
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
