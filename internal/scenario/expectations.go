package scenario

import (
	"fmt"
	"maps"
	"slices"

	"basaltwall/internal/invariant"
)

// This file checks the expectations that a script has for its end.

// checkExpectations records a problem for each expectation that is not met. It returns an error if
// the script names an unknown count.
func (r *runner) checkExpectations() error {
	if err := r.checkUpperBounds(); err != nil {
		return err
	}
	r.checkServiceLevels()
	r.checkJobs()
	r.checkRates()
	r.checkPools()
	r.checkTenantStates()
	if n := r.sim.Checker.StartCount; !r.expected.starts.contains(n) {
		r.problemf("%d starts, expected %d to %d", n, r.expected.starts.min, r.expected.starts.max)
	}
	if n := r.sim.Cloud.DeletedMachines; !r.expected.deleted.contains(n) {
		r.problemf("%d machines deleted, expected %d to %d", n, r.expected.deleted.min, r.expected.deleted.max)
	}
	return nil
}

func (r *runner) checkGranted() {
	if n := r.sim.SkipClients.Granted; !r.expected.granted.contains(n) {
		r.problemf("clients received %d offers and promises, expected %d to %d", n, r.expected.granted.min, r.expected.granted.max)
	}
}

// counts returns the counts that a script can bound, by name.
func (r *runner) counts() map[string]float64 {
	seconds := r.end.Seconds()
	store, cloud := r.sim.Store, r.sim.Cloud
	return map[string]float64{
		"store-rps":              float64(store.Requests) / seconds,
		"store-write-rps":        float64(store.Writes) / seconds,
		"cloud-rps":              float64(cloud.Calls) / seconds,
		"largest-value":          float64(store.LargestValue),
		"direct-calls-per-start": float64(r.sim.DirectCommands) / float64(max(1, r.sim.Checker.StartCount)),
		"shortage-writes":        float64(store.ShortageWrites),
		"cancel-wait":            r.sim.Checker.MaxCancelWait.Seconds(),
		"ownership-changes":      float64(store.OwnershipChanges),
		"launch-calls":           float64(cloud.LaunchCalls),
		"launched-machines":      float64(cloud.LaunchedMachines),
	}
}

func (r *runner) checkUpperBounds() error {
	counts := r.counts()
	for _, name := range slices.Sorted(maps.Keys(r.expected.upperBounds)) {
		most := r.expected.upperBounds[name]
		got, ok := counts[name]
		if !ok {
			return fmt.Errorf("max-count %s: no such count", name)
		}
		if got > most {
			r.problemf("%s: %.2f, expected %.2f at most", name, got, most)
		}
	}
	return nil
}

// checkServiceLevels records a problem for each class and team that was served less than expected.
func (r *runner) checkServiceLevels() {
	classes, teams := r.sim.Checker.ServiceLevels(r.sim.Now)
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		r.checkMinServed("class", string(class), classes[class])
		if want, ok := r.expected.minClassServed[class]; ok && classes[class].Share() < want {
			r.problemf("class %s was served to %.3f, expected %.3f at least", class, classes[class].Share(), want)
		}
	}
	for _, target := range r.expected.completionTargets {
		if got := r.sim.Users.CompletedWithin(target.class, target.within); got < target.share {
			r.problemf("class %s: %.3f of the jobs completed within %v, expected %.3f at least", target.class, got, target.within, target.share)
		}
	}
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		r.checkMinServed("team", string(team), teams[team])
	}
	largestJobs, late := r.sim.Checker.LargestJobs(r.sim.Now, r.expected.maxStartWait)
	for _, class := range slices.Sorted(maps.Keys(largestJobs)) {
		r.checkMinServed("the largest jobs of class", string(class), largestJobs[class])
	}
	r.problems = append(r.problems, late...)
}

func (r *runner) checkMinServed(what, name string, level invariant.ServiceLevel) {
	if level.Share() < r.expected.minServed {
		r.problemf("%s %s was served to %.3f with %d jobs, expected %.3f at least", what, name, level.Share(), level.Jobs, r.expected.minServed)
	}
}

// checkJobs checks the jobs that the script names, then all arrays and gangs if it has an expectation
// for all.
func (r *runner) checkJobs() {
	for _, e := range r.expected.jobs {
		if e.job != all {
			r.checkJob(e)
		}
	}
	for _, e := range r.expected.jobs {
		if e.job != all {
			continue
		}
		for _, id := range r.finiteJobs {
			r.checkJob(expectation{job: id, state: e.state, by: e.by})
		}
	}
}

func (r *runner) checkJob(e expectation) {
	got := r.sim.Checker.ReportedState(e.job)
	at, done := r.sim.Users.DoneAt[e.job]
	switch {
	case got != e.state:
		r.problemf("%s is %q, expected %s", e.job, got, e.state)
	case e.by > 0 && (!done || at > e.by):
		r.problemf("%s was done at %.1f s, expected by %.1f s", e.job, at.Seconds(), e.by.Seconds())
	}
}

func (r *runner) checkRates() {
	for _, bound := range r.expected.rateBounds {
		if excess := r.sim.Tenants.RateExcess(bound.name, bound.rate); excess > bound.burst {
			r.problemf("tenant %s: %.1f accepted submissions above its rate, expected %.1f at most", bound.name, excess, bound.burst)
		}
	}
}

func (r *runner) checkPools() {
	for _, use := range r.expected.poolUses {
		if got := use.measured(); got < use.min {
			r.problemf("pool %s: %.3f of the units were held on average, expected %.3f at least", use.name, got, use.min)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.expected.maxHeldUnits)) {
		want := r.expected.maxHeldUnits[name]
		if _, most := r.sim.Tenants.HeldPoolUnits(name); most != want {
			r.problemf("pool %s: at most %d units were held, expected %d", name, most, want)
		}
	}
}

func (r *runner) checkTenantStates() {
	for _, expected := range r.expected.tenantStates {
		if got := r.sim.Tenants.State(expected.name); string(got) != expected.state {
			r.problemf("tenant %s is %q, expected %s", expected.name, got, expected.state)
		}
	}
}
