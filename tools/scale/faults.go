package main

import (
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// faultWatch records the recovery from a fault.
type faultWatch struct {
	faultResult
	injectedAt  time.Duration
	tokenBefore api.FencingToken // highest token before the fault
}

// scheduleFaults schedules the faults of the experiment.
func (r *experimentRun) scheduleFaults() {
	r.fleet.WithSimulation(func(sim *emulator.Simulation) {
		for _, f := range r.experiment.Faults {
			sim.After(seconds(f.At), func() { r.injectFault(sim, f) })
		}
	})
}

func (r *experimentRun) injectFault(sim *emulator.Simulation, f faultSpec) {
	_, _, token := sim.MachinesAboveToken(0)
	r.faults = append(r.faults, &faultWatch{faultResult: faultResult{What: f.What, At: f.At}, injectedAt: sim.Now, tokenBefore: token})
	slog.Info("fault injected", "what", f.What)
	switch f.What {
	case faultCrash:
		r.crashControllers(sim, f)
	case faultCutRegion:
		sim.CutRegion(regionName(f.Region), seconds(f.For), f.Hold)
	}
}

// crashControllers kills controllers, all of them unless the fault has a count, and restarts them after the
// fault's downtime.
func (r *experimentRun) crashControllers(sim *emulator.Simulation, f faultSpec) {
	sim.Checker.RecordFaultUntil(sim.Now + seconds(f.Back))
	count := f.Count
	if count == 0 {
		count = len(r.processes)
	}
	for _, p := range r.processes[:min(count, len(r.processes))] {
		p.kill()
		sim.After(seconds(f.Back), func() {
			if err := p.start(); err != nil {
				slog.Error("controller restart failed", "err", err)
			}
		})
	}
}

// watchFaults records after crashes of controllers how long it takes until machines get commands with newer
// tokens.
func (r *experimentRun) watchFaults(sim *emulator.Simulation) {
	for _, f := range r.faults {
		if f.What != faultCrash || f.AllCommanded != 0 {
			continue
		}
		recommanded, all, _ := sim.MachinesAboveToken(f.tokenBefore)
		since := (sim.Now - f.injectedAt).Seconds()
		if f.HalfCommanded == 0 && 2*recommanded >= all {
			f.HalfCommanded = since
		}
		if f.MostCommanded == 0 && 10*recommanded >= 9*all {
			f.MostCommanded = since
		}
		if recommanded == all {
			f.AllCommanded = since
		}
	}
}
