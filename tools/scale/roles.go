package main

import (
	"fmt"
	"math"
	"strings"
)

// role is a line of the page's table of roles: what a role takes of something at the target.
type role struct {
	Role      string  `toml:"role"`
	Metric    string  `toml:"metric"`
	Share     string  `toml:"share"` // "": as it is; "controller": divided by the controllers
	Budget    float64 `toml:"budget"`
	From      string  `toml:"from"` // the run that is at the target
	Mechanism string  `toml:"mechanism"`
}

// rolesFile has the roles, beside the results.
const rolesFile = "roles.toml"

// shareController is the share of roles whose metric is divided by the number of controllers.
const shareController = "controller"

// readRoles reads the table's rows.
func readRoles(path string) ([]role, error) {
	var file struct {
		Rows []role `toml:"row"`
	}
	if err := decodeTOML(path, &file); err != nil {
		return nil, err
	}
	for i, r := range file.Rows {
		if _, ok := findMetric(r.Metric); !ok {
			return nil, fmt.Errorf("%s: %w", path, newFieldError(fmt.Sprintf("row[%d].metric", i), "%q: no such metric", r.Metric))
		}
	}
	return file.Rows, nil
}

// value is what the role takes in a run.
func (row *role) value(r *result) float64 {
	m, _ := findMetric(row.Metric)
	if row.Share == shareController {
		return m.value(r) / float64(r.Controllers)
	}
	return m.value(r)
}

// slopeText shows how much more the role takes for so many more of what is varied.
func (row *role) slopeText(results []*result, label, key string, times float64) string {
	f, ok := fitLine(results, label, key, row.value)
	if !ok {
		return noFigure
	}
	return fmt.Sprintf("%s (±%.0f %%)", formatFigure(f.slope*times), 100*f.residual)
}

// write writes the role's line.
func (row *role) write(b *strings.Builder, results []*result, labels []string) {
	values, last, newest := []string{}, math.NaN(), ""
	for _, label := range labels {
		if r := findResult(results, label, row.From); r != nil {
			last, newest = row.value(r), label
			values = append(values, fmt.Sprintf("%s %s", label, formatFigure(last)))
		}
	}
	budget, left := noFigure, noFigure
	if row.Budget > 0 {
		budget = formatFigure(row.Budget)
		if !math.IsNaN(last) {
			left = fmt.Sprintf("%.0f %%", 100*(row.Budget-last)/row.Budget)
		}
	}
	m, _ := findMetric(row.Metric)
	fmt.Fprintf(b, "| %s | %s, %s | %s | %s | %s | %s | %s | %s | %s |\n", row.Role, m.description, m.unit, strings.Join(values, ", "),
		row.slopeText(results, newest, varyMachines, 1), row.slopeText(results, newest, varyRunning, 1000), row.slopeText(results, newest, varyControllers, 1),
		budget, left, row.Mechanism)
}

// roleTable shows what each role takes at the target, with what it takes for one more of each.
func roleTable(rows []role, results []*result) string {
	var b strings.Builder
	b.WriteString("| role | what | at the target, by sources | a machine more | 1,000 tasks more | a controller more | budget | left | carried by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	labels := sourceLabels(results)
	for i := range rows {
		rows[i].write(&b, results, labels)
	}
	return b.String()
}
