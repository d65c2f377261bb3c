package main

import (
	"fmt"
	"math"
	"strings"
)

// role is a row of the page's table of roles: the usage of a metric by a role at the target size.
type role struct {
	Role      string  `toml:"role"`
	Metric    string  `toml:"metric"`
	Share     string  `toml:"share"` // "controller": divided by the number of controllers
	Budget    float64 `toml:"budget"`
	From      string  `toml:"from"` // run at the target size
	Mechanism string  `toml:"mechanism"`
}

// rolesFile is the file of the roles in the folder of results.
const rolesFile = "roles.toml"

// shareController makes a role divide its metric by the number of controllers.
const shareController = "controller"

func readRoles(path string) ([]role, error) {
	var file struct {
		Rows []role `toml:"row"`
	}
	if err := decodeTOML(path, &file); err != nil {
		return nil, err
	}
	for i, r := range file.Rows {
		if _, ok := findMetric(r.Metric); !ok {
			return nil, fmt.Errorf("%s: %w", path, newFieldError(fmt.Sprintf("row[%d].metric", i), "%q: unknown metric", r.Metric))
		}
	}
	return file.Rows, nil
}

// value returns the role's usage in a run.
func (row *role) value(r *result) float64 {
	m, _ := findMetric(row.Metric)
	if row.Share == shareController {
		return m.value(r) / float64(r.Controllers)
	}
	return m.value(r)
}

// slopeText returns the increase of the role's usage when a parameter grows by a number of units.
func (row *role) slopeText(results []*result, label, key string, units float64) string {
	f, ok := fitLine(results, label, key, row.value)
	if !ok {
		return noFigure
	}
	return fmt.Sprintf("%s (±%.0f %%)", formatFigure(f.slope*units), 100*f.residual)
}

func (row *role) write(b *strings.Builder, results []*result, labels []string) {
	values, last, newest := []string{}, math.NaN(), ""
	for _, label := range labels {
		if r := findResult(results, label, row.From); r != nil {
			last, newest = row.value(r), label
			values = append(values, fmt.Sprintf("%s %s", label, formatFigure(last)))
		}
	}
	budget, headroom := noFigure, noFigure
	if row.Budget > 0 {
		budget = formatFigure(row.Budget)
		if !math.IsNaN(last) {
			headroom = fmt.Sprintf("%.0f %%", 100*(row.Budget-last)/row.Budget)
		}
	}
	m, _ := findMetric(row.Metric)
	fmt.Fprintf(b, "| %s | %s, %s | %s | %s | %s | %s | %s | %s | %s |\n", row.Role, m.description, m.unit, strings.Join(values, ", "),
		row.slopeText(results, newest, varyMachines, 1), row.slopeText(results, newest, varyRunning, 1000), row.slopeText(results, newest, varyControllers, 1),
		budget, headroom, row.Mechanism)
}

// roleTable returns the table of the roles' usage at the target size and its increase with each parameter.
func roleTable(rows []role, results []*result) string {
	var b strings.Builder
	b.WriteString("| role | metric | at target size, by version | per machine | per 1,000 tasks | per controller | budget | headroom | mechanism |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	labels := runLabels(results)
	for i := range rows {
		rows[i].write(&b, results, labels)
	}
	return b.String()
}
