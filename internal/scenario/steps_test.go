package scenario

import (
	"os"
	"regexp"
	"testing"
)

// TestEveryStepIsDocumented checks that the package's documentation has every step.
func TestEveryStepIsDocumented(t *testing.T) {
	text, err := os.ReadFile("scenario.go")
	if err != nil {
		t.Fatal(err)
	}
	check := func(name string) {
		if !regexp.MustCompile(`(?m)^//\t([^\t]*, )?` + name + ` `).Match(text) {
			t.Errorf("step %s is not documented", name)
		}
	}
	for name := range steps {
		check(name)
	}
	for name := range settingSteps {
		check(name)
	}
}

// TestStepsAreWellFormed checks that no step is in two tables, and that each has either a parse or a
// schedule function.
func TestStepsAreWellFormed(t *testing.T) {
	tables := []map[string]step{workSteps, userSteps, hostingSteps, reservationSteps, controllerFaultSteps, networkFaultSteps,
		machineFaultSteps, expectationSteps}
	total := 0
	for _, table := range tables {
		total += len(table)
		for name, s := range table {
			if (s.parse == nil) == (s.schedule == nil) {
				t.Errorf("step %s has neither or both of parse and schedule", name)
			}
			if isSetting(name) {
				t.Errorf("step %s is a setting too", name)
			}
		}
	}
	if total != len(steps) {
		t.Errorf("%d steps in the tables, %d by name", total, len(steps))
	}
}
