// Package backfill owns the promise that whatever waits and can run begins within a bounded time,
// of whatever class, size and priority: when a job's turn comes before others', and which
// machines are to be kept for one that finds no room, so that it comes free as a whole. It is
// pure: it stores nothing and reads no clock.
package backfill

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/sched"
)

// StartDeadline is the time in which every job begins: the users ask for four minutes, whatever the
// job's size.
const StartDeadline = 4 * time.Minute

// AgingStageOf is where a job stands that has waited so long without beginning. From half of the
// time on it goes before its equals, and room is gathered for it, which more urgent work may
// still take; from three quarters on it goes before all that wait.
func AgingStageOf(waited time.Duration) sched.AgingStage {
	switch {
	case waited >= StartDeadline*3/4:
		return sched.AgedAboveAll
	case waited >= StartDeadline/2:
		return sched.AgedWithinPriority
	}
	return sched.NotAged
}

// DominantShare is what a demand takes of a machine, in the resource of which it takes most.
func DominantShare(demand, capacity api.Resources) float64 {
	dominant := 0.0
	for _, p := range [3][2]api.Quantity{{demand.CPU, capacity.CPU}, {demand.GPU, capacity.GPU}, {demand.Mem, capacity.Mem}} {
		if p[1] > 0 {
			dominant = max(dominant, float64(p[0])/float64(p[1]))
		}
	}
	return dominant
}

// Release is room that comes free on a machine by itself, in so many seconds; infinite: a task
// without an end, which only counts where a machine must be empty.
type Release struct {
	AfterSeconds float64
	Resources    api.Resources
}

// Machine is a machine that may be kept for a job.
type Machine struct {
	Zone     api.Zone
	Free     api.Resources
	Releases []Release
	Reserved bool // it is kept for the job already
}

// hysteresisSeconds is by how many seconds a machine that is kept already is preferred: estimates are
// wrong, and room that was begun to be gathered is worth more than their noise.
const hysteresisSeconds = 20.0

// slotsWithin counts the tasks that a machine could hold after so many seconds, at most most.
func (h *Machine) slotsWithin(demand api.Resources, after float64, limit int) int {
	free := h.Free
	for _, e := range h.Releases {
		if e.AfterSeconds <= after {
			free = free.Plus(e.Resources)
		}
	}
	return min(limit, demand.Slots(free))
}

// slotTimes is when a machine could hold its first task, its second and so on, in seconds, in order;
// at most so many, and none that would never have room.
func (h *Machine) slotTimes(demand api.Resources, limit int) []float64 {
	var out []float64
	free := h.Free
	add := func(at float64) {
		for n := min(limit, demand.Slots(free)); len(out) < n; {
			out = append(out, at)
		}
	}
	if add(0); len(out) == limit {
		return out
	}
	releases := slices.Clone(h.Releases)
	slices.SortStableFunc(releases, func(a, b Release) int { return cmp.Compare(a.AfterSeconds, b.AfterSeconds) })
	for _, e := range releases {
		if math.IsInf(e.AfterSeconds, 1) || len(out) == limit {
			break
		}
		free = free.Plus(e.Resources)
		add(e.AfterSeconds)
	}
	return out
}

// Request is what room is gathered for.
type Request struct {
	Demand       api.Resources // of a task
	Tasks        int           // that must start together; of an array or a service one will do
	OneZone      bool
	MaxPerZone   int              // so many at most in a zone, 0: no bound
	PlacedByZone map[api.Zone]int // where other tasks of the job are
}

// SelectMachines names the machines to keep, by their place in the list, so that the room is there
// soonest, and of those that do the fewest; and how soon, in seconds. It names none where the
// room would never come.
func SelectMachines(machines []Machine, request Request) (reserved []int, after float64) {
	if request.OneZone {
		byZone := map[api.Zone][]int{}
		var zones []api.Zone
		for i := range machines {
			z := machines[i].Zone
			if len(byZone[z]) == 0 {
				zones = append(zones, z)
			}
			byZone[z] = append(byZone[z], i)
		}
		slices.Sort(zones)
		after = math.Inf(1)
		for _, z := range zones {
			if !sched.ZoneFeasible(&api.JobSpec{OneZone: true}, request.PlacedByZone, z) {
				continue
			}
			if k, at := selectFrom(machines, byZone[z], request); k != nil && at < after {
				reserved, after = k, at
			}
		}
		return reserved, after
	}
	all := make([]int, len(machines))
	for i := range all {
		all[i] = i
	}
	return selectFrom(machines, all, request)
}

// selectFrom is Choose among some of the machines.
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

// earliestStart is how soon all tasks of a request can start on some of the machines, in seconds:
// when each machine could hold its next task, in order, the last of those needed says so. It is
// false if they never can.
func earliestStart(machines []Machine, among []int, request Request) (last float64, ok bool) {
	type slot struct {
		at   float64
		host int
	}
	var slots []slot
	for _, i := range among {
		h := &machines[i]
		for _, at := range h.slotTimes(request.Demand, request.Tasks) {
			if h.Reserved {
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
		if z := machines[s.host].Zone; request.MaxPerZone > 0 {
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

// mostCapacityBy chooses, of the machines that have free capacity for the request's tasks by a time in
// seconds, those with the most of it; nil if they can't hold all tasks.
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

// SoonestEmpty names the machine that is empty soonest and can then hold a task of the demand, -1 if
// none ever is, and how soon that is, in seconds.
func SoonestEmpty(machines []Machine, demand api.Resources) (best int, after float64) {
	best, after = -1, math.Inf(1)
	for i := range machines {
		h := &machines[i]
		free, at := h.Free, 0.0
		for _, e := range h.Releases {
			free, at = free.Plus(e.Resources), max(at, e.AfterSeconds)
		}
		if h.Reserved {
			at = max(0, at-hysteresisSeconds)
		}
		if demand.Fits(free) && at < after {
			best, after = i, at
		}
	}
	return best, after
}
