package main

import (
	"errors"
	"fmt"
	"strings"

	"basaltwall/api"
)

// Bounds of the fields of an experiment.
const (
	maxControllers = 64
	maxMachines    = 10_000
	maxSeconds     = 1200
	maxZones       = 64
	maxTeams       = 1000
	maxTasks       = 100_000 // per job
)

// checkRange returns an error unless a number is between low and high, both included.
func checkRange(field string, value, low, high float64) error {
	if value < low || value > high {
		return newFieldError(field, "%v: must be between %v and %v", value, low, high)
	}
	return nil
}

// validate returns the errors of all invalid top-level fields, or the error of the first invalid load,
// fault or variation.
func (e *experiment) validate() error {
	if e.Name == "" || strings.ContainsAny(e.Name, "/ ") {
		return newFieldError("name", "must not be empty or contain spaces or slashes")
	}
	err := errors.Join(
		checkRange("controllers", float64(e.Controllers), 1, maxControllers),
		checkRange("machines", float64(e.Machines), 1, maxMachines),
		checkRange("zones", float64(e.Zones), 1, maxZones),
		checkRange("regions", float64(e.Regions), 1, float64(e.Zones)),
		checkRange("teams", float64(e.Teams), 1, maxTeams),
		checkRange("region_delay_ms", e.RegionDelay, 0, 2000),
		checkRange("settle_s", e.Settle, 0, maxSeconds),
		checkRange("measure_s", e.Measure, 1, maxSeconds),
		checkRange("fill_within_s", e.FillWithin, 1, maxSeconds),
		checkRange("machine.cpus", e.Machine.CPUs, 0.1, 1024),
		checkRange("machine.ram_gb", e.Machine.MemGB, 0.1, 1<<20),
		checkRange("settings_changes_per_s", e.SettingsChangeRate, 0, 20),
	)
	if err != nil {
		return err
	}
	for i := range e.Loads {
		if err := e.Loads[i].validate(); err != nil {
			return fmt.Errorf("load[%d].%w", i, err)
		}
	}
	for i := range e.Faults {
		if err := e.Faults[i].validate(e); err != nil {
			return fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	if e.Vary != nil {
		return e.Vary.validate()
	}
	return nil
}

// validate returns the error of the first invalid field of the load.
func (l *jobLoad) validate() error {
	switch {
	case l.Name == "":
		return newFieldError("name", "must not be empty")
	case kinds[l.Kind] == "":
		return newFieldError("kind", "%q: must be array, gang or service", l.Kind)
	case api.Priority(l.Priority).Rank() < 0:
		return newFieldError("priority", "%q: must be critical, high, normal or idle", l.Priority)
	case l.Tasks < 1 || l.Tasks > maxTasks:
		return newFieldError("tasks", "%d: must be between 1 and %d", l.Tasks, maxTasks)
	case l.CPUs <= 0:
		return newFieldError("cpus", "%v: must be above 0", l.CPUs)
	case l.Run < 0 || l.Interval < 0 || l.FillOver < 0:
		return newFieldError("run_s, every_s, fill_over_s", "must not be negative")
	case l.CancelShare < 0 || l.CancelShare > 1:
		return newFieldError("cancel_share", "%v: must be between 0 and 1", l.CancelShare)
	}
	return nil
}

// validate returns the error of the first invalid field of the fault.
func (f *faultSpec) validate(e *experiment) error {
	switch {
	case f.What != faultCrash && f.What != faultCutRegion:
		return newFieldError("what", "%q: must be %s or %s", f.What, faultCrash, faultCutRegion)
	case f.At < 0 || f.At > e.Measure:
		return newFieldError("at_s", "%v: must be within measure_s", f.At)
	case f.What == faultCutRegion && (f.Region < 0 || f.Region >= e.Regions):
		return newFieldError("region", "%d: unknown region", f.Region)
	}
	return nil
}

// validate returns the error of the first invalid field of the variation.
func (v *variation) validate() error {
	if v.Key != varyMachines && v.Key != varyControllers && v.Key != varyRunning {
		return newFieldError("vary.key", "%q: must be %s, %s or %s", v.Key, varyMachines, varyControllers, varyRunning)
	}
	if len(v.Values) == 0 {
		return newFieldError("vary.values", "must not be empty")
	}
	return nil
}
