// Machines whose capacity becomes free over time.

package backfill

import (
	"cmp"
	"math"
	"slices"

	"basaltwall/api"
)

// Release is capacity that a running task is expected to release on a machine.
type Release struct {
	AfterSeconds float64 // infinite for a task without an expected end
	Resources    api.Resources
}

// Machine is a machine that may be reserved for a job.
type Machine struct {
	Zone     api.Zone
	Free     api.Resources
	Releases []Release
	Reserved bool // already reserved for the job
}

// hysteresisSeconds is the advantage of a machine that is already reserved: estimates are noisy,
// and a change of machine loses the capacity that has become free so far.
const hysteresisSeconds = 20.0

// slotsWithin returns the number of tasks that a machine can hold after a time in seconds, at most
// limit.
func (m *Machine) slotsWithin(demand api.Resources, after float64, limit int) int {
	free := m.Free
	for _, release := range m.Releases {
		if release.AfterSeconds <= after {
			free = free.Plus(release.Resources)
		}
	}
	return min(limit, demand.Slots(free))
}

// slotTimes returns the times in seconds, in order, at which a machine can hold its first task, its
// second and so on; at most limit, and none for tasks that never fit.
func (m *Machine) slotTimes(demand api.Resources, limit int) []float64 {
	var out []float64
	free := m.Free
	add := func(at float64) {
		for n := min(limit, demand.Slots(free)); len(out) < n; {
			out = append(out, at)
		}
	}
	if add(0); len(out) == limit {
		return out
	}
	releases := slices.Clone(m.Releases)
	slices.SortStableFunc(releases, func(a, b Release) int { return cmp.Compare(a.AfterSeconds, b.AfterSeconds) })
	for _, release := range releases {
		if math.IsInf(release.AfterSeconds, 1) || len(out) == limit {
			break
		}
		free = free.Plus(release.Resources)
		add(release.AfterSeconds)
	}
	return out
}
