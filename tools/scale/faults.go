package main

import (
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// faultWatch follows what comes after a fault.
type faultWatch struct {
	faultResult
	injectedAt  time.Duration
	tokenBefore api.FencingToken // the highest before it
}

// scheduleFaults has the window's faults happen at their times.
func (r *experimentRun) scheduleFaults() {
	r.fleet.Do(func(sim *emulator.Simulation) {
		for _, f := range r.experiment.Faults {
			sim.After(seconds(f.At), func() { r.injectFault(sim, f) })
		}
	})
}

// injectFault has a fault happen now.
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

// crashControllers kills controllers, all of them unless the fault says how many, and starts them again
// after its time.
func (r *experimentRun) crashControllers(sim *emulator.Simulation, f faultSpec) {
	sim.Checker.FaultUntil(sim.Now + seconds(f.Back))
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

// watchFaults notes when machines are commanded under newer tokens after all controllers ended.
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
