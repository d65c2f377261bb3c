package scenario

import (
	"errors"
	"maps"
)

// This file finds steps by name; the files steps_*.go define them.

var errUnknownStep = errors.New("unknown step")

// step defines what a line of a script does. With a schedule function, the arguments are parsed by the
// form; a step with optional arguments has a parse function that parses them.
type step struct {
	form     string
	schedule func(*runner, arguments)
	parse    func(r *runner, words []string) error
}

// steps are all steps by name, except those that change settings.
var steps = mergeSteps(workSteps, userSteps, hostingSteps, reservationSteps, controllerFaultSteps, networkFaultSteps,
	machineFaultSteps, expectationSteps)

func mergeSteps(tables ...map[string]step) map[string]step {
	merged := map[string]step{}
	for _, table := range tables {
		maps.Copy(merged, table)
	}
	return merged
}

// addStep schedules the action of a line or records its expectation.
func (r *runner) addStep(l line) error {
	if isSetting(l.name) {
		return nil
	}
	s, ok := steps[l.name]
	if !ok {
		return errUnknownStep
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
