// The selection of machines to reserve.

package backfill

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// Request is a demand for which machines are reserved.
type Request struct {
	Demand       api.Resources    // of a task
	Tasks        int              // number of tasks that must start together; one for an array or a service
	OneZone      bool             // all in one zone
	MaxPerZone   int              // limit on tasks in a zone; 0: none
	PlacedByZone map[api.Zone]int // number of the job's other tasks by zone
}

// SelectMachines returns the indices of the machines to reserve so that the capacity is available
// soonest, with the fewest machines for that time, and the seconds until it is available. It
// returns nil if the capacity would never be available.
func SelectMachines(machines []Machine, request Request) (reserved []int, after float64) {
	if request.OneZone {
		return selectZone(machines, request)
	}
	all := make([]int, len(machines))
	for i := range all {
		all[i] = i
	}
	return selectFrom(machines, all, request)
}

// selectZone is SelectMachines for tasks that must be in one zone. It selects the zone in which
// they can start soonest, and of several the first by name.
func selectZone(machines []Machine, request Request) (reserved []int, after float64) {
	byZone := map[api.Zone][]int{}
	for i := range machines {
		byZone[machines[i].Zone] = append(byZone[machines[i].Zone], i)
	}
	after = math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if !sched.ZoneFeasible(&api.JobSpec{OneZone: true}, request.PlacedByZone, zone) {
			continue
		}
		if selected, at := selectFrom(machines, byZone[zone], request); selected != nil && at < after {
			reserved, after = selected, at
		}
	}
	return reserved, after
}

// selectFrom is SelectMachines limited to the machines in among.
func selectFrom(machines []Machine, among []int, request Request) ([]int, float64) {
	last, ok := earliestStart(machines, among, request)
	if !ok {
		return nil, math.Inf(1)
	}
	reserved := mostCapacityBy(machines, among, request, last)
	if reserved == nil {
		return nil, math.Inf(1)
	}
	return reserved, last
}

// earliestStart returns the seconds until all tasks of a request can start on the machines in
// among: the time of the last slot that is needed, of all slots in order of time. ok is false if
// they never can.
func earliestStart(machines []Machine, among []int, request Request) (last float64, ok bool) {
	type slot struct {
		at           float64
		machineIndex int
	}
	var slots []slot
	for _, i := range among {
		m := &machines[i]
		for _, at := range m.slotTimes(request.Demand, request.Tasks) {
			if m.Reserved {
				at = max(0, at-hysteresisSeconds)
			}
			slots = append(slots, slot{at, i})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	zones := map[api.Zone]int{}
	maps.Copy(zones, request.PlacedByZone)
	remaining := request.Tasks
	for _, s := range slots {
		if z := machines[s.machineIndex].Zone; request.MaxPerZone > 0 {
			if zones[z] >= request.MaxPerZone {
				continue
			}
			zones[z]++
		}
		last = s.at
		if remaining--; remaining == 0 {
			break
		}
	}
	return last, remaining <= 0
}

// mostCapacityBy selects machines that have capacity for the request's tasks by a time in seconds:
// already reserved ones first, then those with the most capacity. It returns nil if they can't hold
// all tasks.
func mostCapacityBy(machines []Machine, among []int, request Request, last float64) []int {
	byCapacity := slices.Clone(among)
	slotCount := func(i int) int {
		at := last
		if machines[i].Reserved {
			at += hysteresisSeconds
		}
		return machines[i].slotsWithin(request.Demand, at, request.Tasks)
	}
	slices.SortStableFunc(byCapacity, func(a, b int) int {
		if machines[a].Reserved != machines[b].Reserved {
			if machines[a].Reserved {
				return -1
			}
			return 1
		}
		return cmp.Compare(slotCount(b), slotCount(a))
	})
	var reserved []int
	zones := map[api.Zone]int{}
	maps.Copy(zones, request.PlacedByZone)
	remaining := request.Tasks
	for _, i := range byCapacity {
		n := min(remaining, slotCount(i))
		if request.MaxPerZone > 0 {
			n = min(n, request.MaxPerZone-zones[machines[i].Zone])
		}
		if n <= 0 {
			continue
		}
		reserved = append(reserved, i)
		zones[machines[i].Zone] += n
		if remaining -= n; remaining == 0 {
			return reserved
		}
	}
	return nil
}

// SoonestEmpty returns the index of the machine that is empty soonest and can then hold a task of
// the demand, and the seconds until then; -1 if there is none.
func SoonestEmpty(machines []Machine, demand api.Resources) (best int, after float64) {
	best, after = -1, math.Inf(1)
	for i := range machines {
		m := &machines[i]
		free, at := m.Free, 0.0
		for _, release := range m.Releases {
			free, at = free.Plus(release.Resources), max(at, release.AfterSeconds)
		}
		if m.Reserved {
			at = max(0, at-hysteresisSeconds)
		}
		if demand.Fits(free) && at < after {
			best, after = i, at
		}
	}
	return best, after
}
