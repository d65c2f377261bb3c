package scenario

import (
	"errors"
	"maps"
)

// This file looks steps up by name; the files steps_*.go have them, by concern.

var errNoSuchStep = errors.New("no such step")

// step is what a line of the script does. A step with a form has its arguments parsed and is
// added by schedule; one whose arguments vary reads them itself in parse.
type step struct {
	form     string
	schedule func(*runner, arguments)
	parse    func(r *runner, words []string) error
}

// steps has all steps but those that change settings, by name.
var steps = mergeSteps(workSteps, userSteps, hostingSteps, reservationSteps, controllerFaultSteps, networkFaultSteps,
	machineFaultSteps, expectationSteps)

func mergeSteps(tables ...map[string]step) map[string]step {
	merged := map[string]step{}
	for _, table := range tables {
		maps.Copy(merged, table)
	}
	return merged
}

// addStep schedules what a line says, or notes what it expects.
func (r *runner) addStep(l line) error {
	if isSetting(l.name) {
		return nil
	}
	s, ok := steps[l.name]
	if !ok {
		return errNoSuchStep
	}
	if s.parse != nil {
		return s.parse(r, l.arguments)
	}
	a, err := parseArguments(l.arguments, s.form)
	if err != nil {
		return err
	}
	s.schedule(r, a)
	return nil
}
