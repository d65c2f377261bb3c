package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// pageCmd writes the generated parts of the capacity page.
type pageCmd struct {
	Results string `default:"docs/capacity" type:"existingdir" help:"Where the results are."`
	Page    string `default:"docs/CAPACITY.md" type:"existingfile" help:"The page; what lies between its markers is written anew."`
	Check   bool   `help:"Change nothing, and fail if the page is not what the results give."`
}

// The page's generated sections lie between such lines.
const (
	markBegin = "<!-- scale: %s -->"
	markEnd   = "<!-- scale: end -->"
)

// sourceColors are the colours of the sources in a plot.
var sourceColors = []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255}, color.RGBA{R: 44, G: 160, B: 44, A: 255}}

// errStale is returned when the page is not what the results give.
var errStale = errors.New("the page is not what the results give: run scale page")

// Run writes the page's sections and the plots.
func (c *pageCmd) Run() error {
	results, err := readResults(c.Results)
	if err != nil {
		return err
	}
	rows, err := readRoles(filepath.Join(c.Results, "roles.toml"))
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	page := string(text)
	for name, part := range map[string]string{
		"roles":  roleTable(rows, results),
		"slopes": slopeTable(results),
		"runs":   runTable(results),
		"faults": faultTable(results),
		"agent":  agentTable(c.Results),
	} {
		if page, err = replacePart(page, name, part); err != nil {
			return err
		}
	}
	if c.Check {
		if page != string(text) {
			return errStale
		}
		return nil
	}
	if err := os.WriteFile(c.Page, []byte(page), 0o644); err != nil {
		return err
	}
	return writePlots(results, c.Results)
}

// replacePart replaces what lies between a section's markers.
func replacePart(page, name, part string) (string, error) {
	begin := fmt.Sprintf(markBegin, name)
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fmt.Errorf("no line %q in the page", begin)
	}
	_, after, ok := strings.Cut(rest, markEnd)
	if !ok {
		return "", fmt.Errorf("no line %q after %q", markEnd, begin)
	}
	return before + begin + "\n\n" + part + "\n" + markEnd + after, nil
}

// role is a line of the page's table of roles: what a role takes of something at the target.
type role struct {
	Role      string  `toml:"role"`
	Metric    string  `toml:"metric"`
	Share     string  `toml:"share"` // "": as it is; "controller": divided by the controllers
	Budget    float64 `toml:"budget"`
	From      string  `toml:"from"` // the run that is at the target
	Mechanism string  `toml:"mechanism"`
}

func readRoles(path string) ([]role, error) {
	var file struct {
		Rows []role `toml:"row"`
	}
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if left := meta.Undecoded(); len(left) > 0 {
		return nil, fmt.Errorf("%s: %s: no such field", path, left[0])
	}
	for i, r := range file.Rows {
		if _, ok := findMetric(r.Metric); !ok {
			return nil, fmt.Errorf("%s: row[%d].metric: %q: no such metric", path, i, r.Metric)
		}
	}
	return file.Rows, nil
}

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

// roleTable shows what each role takes at the target, with what it takes for one more of each.
func roleTable(rows []role, results []*result) string {
	var b strings.Builder
	b.WriteString("| role | what | at the target, by sources | a machine more | 1,000 tasks more | a controller more | budget | left | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	all := sourceLabels(results)
	for _, row := range rows {
		m, _ := findMetric(row.Metric)
		share := func(r *result) float64 {
			if row.Share == "controller" {
				return m.value(r) / float64(r.Controllers)
			}
			return m.value(r)
		}
		values, last, newest := []string{}, math.NaN(), ""
		for _, label := range all {
			if r := findResult(results, label, row.From); r != nil {
				last, newest = share(r), label
				values = append(values, fmt.Sprintf("%s %s", label, formatFigure(last)))
			}
		}
		slope := func(key string, times float64) string {
			f, ok := fitLine(results, newest, key, share)
			if !ok {
				return "-"
			}
			return fmt.Sprintf("%s (±%.0f %%)", formatFigure(f.slope*times), 100*f.residual)
		}
		budget, left := "-", "-"
		if row.Budget > 0 {
			budget = formatFigure(row.Budget)
			if !math.IsNaN(last) {
				left = fmt.Sprintf("%.0f %%", 100*(row.Budget-last)/row.Budget)
			}
		}
		fmt.Fprintf(&b, "| %s | %s, %s | %s | %s | %s | %s | %s | %s | %s |\n", row.Role, m.description, m.unit, strings.Join(values, ", "),
			slope(varyMachines, 1), slope(varyRunning, 1000), slope(varyControllers, 1), budget, left, row.Mechanism)
	}
	return b.String()
}

// fittedLine is a fitted line and how far the points lie from it at most, as a share of the largest.
type fittedLine struct {
	intercept, slope, residual float64
	points                     plotter.XYs
}

// centerRun is the run that all series share.
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
func fitLine(results []*result, label, key string, of func(*result) float64) (fittedLine, bool) {
	var x, y []float64
	for _, r := range variedRuns(results, label, key) {
		x, y = append(x, float64(r.valueOf(key))), append(y, of(r))
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

// slopeTable shows each metric at each value of what was varied, by sources.
func slopeTable(results []*result) string {
	var b strings.Builder
	for _, key := range []string{varyMachines, varyRunning, varyControllers} {
		var of []*result
		for _, label := range sourceLabels(results) {
			of = append(of, variedRuns(results, label, key)...)
		}
		if len(of) == 0 {
			continue
		}
		fmt.Fprintf(&b, "**%s**\n\n| |", key)
		for _, r := range of {
			fmt.Fprintf(&b, " %s, %d |", r.Label, r.valueOf(key))
		}
		b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(of)) + "\n")
		for _, m := range metrics {
			fmt.Fprintf(&b, "| %s |", metricTitle(m))
			for _, r := range of {
				fmt.Fprintf(&b, " %s |", formatFigure(m.value(r)))
			}
			b.WriteString("\n")
		}
		b.WriteString("\n")
	}
	return b.String()
}

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
	for _, label := range sourceLabels(results) {
		for _, r := range results {
			if r.Label != label {
				continue
			}
			failed := r.Failed
			if failed == "" {
				failed = "no"
			}
			fmt.Fprintf(&b, "| %s | %s | %d | %d | %.0f | %.0f | %s; %d; %s | %s | %d | %s |\n", r.Name, r.Label, r.Controllers, r.Running, r.FillSeconds, r.Window,
				formatFigure(perSecond(r, float64(r.Starts))), r.BestSecond, formatFigure(r.BestTen), formatFigure(r.CPU), len(r.Violations), failed)
		}
	}
	return b.String()
}

// faultTable shows what came after faults.
func faultTable(results []*result) string {
	var b strings.Builder
	b.WriteString("| run | sources | fault | half, nine tenths, all machines commanded after, s | first urgent start of a job that came later, s |\n| --- | --- | --- | --- | --- |\n")
	for _, label := range sourceLabels(results) {
		for _, r := range results {
			if r.Label != label {
				continue
			}
			for _, f := range r.Faults {
				fmt.Fprintf(&b, "| %s | %s | %s at %.0f s | %s, %s, %s | %s |\n", r.Name, r.Label, f.What, f.At, formatOptional(f.HalfCommanded), formatOptional(f.MostCommanded), formatOptional(f.AllCommanded), formatOptional(f.FirstUrgentStart))
			}
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

func formatOptional(v float64) string {
	if v == 0 {
		return "-"
	}
	return formatFigure(v)
}

// formatFigure writes a number with three digits.
func formatFigure(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
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

// writePlots draws each slope of processor time, memory and messages.
func writePlots(results []*result, dir string) error {
	for _, key := range []string{varyMachines, varyRunning, varyControllers} {
		for _, name := range []string{"cpu_total", "memory_most", "peer_messages", "urgent_p99"} {
			m, _ := findMetric(name)
			p := plot.New()
			p.Title.Text = m.description + ", measured on loopback"
			p.X.Label.Text, p.Y.Label.Text = key, m.unit
			p.Y.Min = 0
			drawn := false
			for i, label := range sourceLabels(results) {
				f, ok := fitLine(results, label, key, m.value)
				if !ok {
					continue
				}
				drawn = true
				points, err := plotter.NewScatter(f.points)
				if err != nil {
					return err
				}
				points.Color = sourceColors[i%len(sourceColors)]
				fitted := plotter.NewFunction(func(x float64) float64 { return f.intercept + f.slope*x })
				fitted.Color = points.Color
				p.Add(points, fitted)
				p.Legend.Add(label, points)
			}
			if !drawn {
				continue
			}
			file := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", key, name))
			if err := p.Save(12*vg.Centimeter, 8*vg.Centimeter, file); err != nil {
				return err
			}
			slog.Info("plot written", "file", file)
		}
	}
	return nil
}
