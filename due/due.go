// Package due owns the promise that whatever waits and can run begins within a bounded time,
// of whatever class, size and priority: when a job's turn comes before others', and which
// machines are to be kept for one that finds no room, so that it comes free as a whole. It is
// pure: it stores nothing and reads no clock.
package due

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/sched"
)

// Within is the time in which every job begins: the users ask for four minutes, whatever the
// job's size.
const Within = 4 * time.Minute

// StageOf is where a job stands that has waited so long without beginning. From half of the
// time on it goes before its equals, and room is gathered for it, which more urgent work may
// still take; from three quarters on it goes before all that wait.
func StageOf(waited time.Duration) sched.Stage {
	switch {
	case waited >= Within*3/4:
		return sched.First
	case waited >= Within/2:
		return sched.Next
	}
	return sched.Patient
}

// Share is what a demand takes of a machine, in the resource of which it takes most.
func Share(demand, of api.Resources) float64 {
	most := 0.0
	for _, p := range [3][2]api.Amount{{demand.CPU, of.CPU}, {demand.GPU, of.GPU}, {demand.Mem, of.Mem}} {
		if p[1] > 0 {
			most = max(most, float64(p[0])/float64(p[1]))
		}
	}
	return most
}

// End is room that comes free on a machine by itself, in so many seconds; infinite: a task
// without an end, which only counts where a machine must be empty.
type End struct {
	After float64
	Frees api.Resources
}

// Host is a machine that may be kept for a job.
type Host struct {
	Zone api.Zone
	Free api.Resources
	Ends []End
	Kept bool // it is kept for the job already
}

// sticky is by how many seconds a machine that is kept already is preferred: estimates are
// wrong, and room that was begun to be gathered is worth more than their noise.
const sticky = 20.0

// slotsBy counts the tasks that a machine could hold after so many seconds, at most most.
func (h *Host) slotsBy(demand api.Resources, after float64, most int) int {
	free := h.Free
	for _, e := range h.Ends {
		if e.After <= after {
			free = free.Plus(e.Frees)
		}
	}
	return min(most, demand.Slots(free))
}

// slotsAt is when a machine could hold its first task, its second and so on, in seconds, in order;
// at most so many, and none that would never have room.
func (h *Host) slotsAt(demand api.Resources, most int) []float64 {
	var out []float64
	free := h.Free
	add := func(at float64) {
		for n := min(most, demand.Slots(free)); len(out) < n; {
			out = append(out, at)
		}
	}
	if add(0); len(out) == most {
		return out
	}
	ends := slices.Clone(h.Ends)
	slices.SortStableFunc(ends, func(a, b End) int { return cmp.Compare(a.After, b.After) })
	for _, e := range ends {
		if math.IsInf(e.After, 1) || len(out) == most {
			break
		}
		free = free.Plus(e.Frees)
		add(e.After)
	}
	return out
}

// Want is what room is gathered for.
type Want struct {
	Demand  api.Resources // of a task
	Tasks   int           // that must start together; of an array or a service one will do
	OneZone bool
	Spread  int              // so many at most in a zone, 0: no bound
	Zones   map[api.Zone]int // where other tasks of the job are
}

// Choose names the machines to keep, by their place in the list, so that the room is there
// soonest, and of those that do the fewest; and how soon, in seconds. It names none where the
// room would never come.
func Choose(hosts []Host, w Want) (kept []int, after float64) {
	if w.OneZone {
		byZone := map[api.Zone][]int{}
		var zones []api.Zone
		for i := range hosts {
			z := hosts[i].Zone
			if len(byZone[z]) == 0 {
				zones = append(zones, z)
			}
			byZone[z] = append(byZone[z], i)
		}
		slices.Sort(zones)
		after = math.Inf(1)
		for _, z := range zones {
			if !sched.ZoneOpen(&api.JobSpec{OneZone: true}, w.Zones, z) {
				continue
			}
			if k, at := choose(hosts, byZone[z], w); k != nil && at < after {
				kept, after = k, at
			}
		}
		return kept, after
	}
	all := make([]int, len(hosts))
	for i := range all {
		all[i] = i
	}
	return choose(hosts, all, w)
}

// choose is Choose among some of the machines.
func choose(hosts []Host, among []int, w Want) ([]int, float64) {
	// When each machine could hold its next task, in order: the last of those needed says
	// how soon all of them can start.
	type slot struct {
		at   float64
		host int
	}
	var slots []slot
	for _, i := range among {
		h := &hosts[i]
		for _, at := range h.slotsAt(w.Demand, w.Tasks) {
			if h.Kept {
				at = max(0, at-sticky)
			}
			slots = append(slots, slot{at, i})
		}
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	zones := map[api.Zone]int{}
	maps.Copy(zones, w.Zones)
	left, last := w.Tasks, 0.0
	for _, s := range slots {
		if z := hosts[s.host].Zone; w.Spread > 0 {
			if zones[z] >= w.Spread {
				continue
			}
			zones[z]++
		}
		last = s.at
		if left--; left == 0 {
			break
		}
	}
	if left > 0 {
		return nil, math.Inf(1)
	}
	// Of the machines that have room by then, those with most of it.
	by := slices.Clone(among)
	count := func(i int) int {
		at := last
		if hosts[i].Kept {
			at += sticky
		}
		return hosts[i].slotsBy(w.Demand, at, w.Tasks)
	}
	slices.SortStableFunc(by, func(a, b int) int {
		if hosts[a].Kept != hosts[b].Kept {
			if hosts[a].Kept {
				return -1
			}
			return 1
		}
		return cmp.Compare(count(b), count(a))
	})
	var kept []int
	clear(zones)
	maps.Copy(zones, w.Zones)
	left = w.Tasks
	for _, i := range by {
		n := min(left, count(i))
		if w.Spread > 0 {
			n = min(n, w.Spread-zones[hosts[i].Zone])
		}
		if n <= 0 {
			continue
		}
		kept = append(kept, i)
		zones[hosts[i].Zone] += n
		if left -= n; left == 0 {
			return kept, last
		}
	}
	return nil, math.Inf(1)
}

// Empty names the machine that is empty soonest and can then hold a task of the demand, -1 if
// none ever is, and how soon that is, in seconds.
func Empty(hosts []Host, demand api.Resources) (best int, after float64) {
	best, after = -1, math.Inf(1)
	for i := range hosts {
		h := &hosts[i]
		free, at := h.Free, 0.0
		for _, e := range h.Ends {
			free, at = free.Plus(e.Frees), max(at, e.After)
		}
		if h.Kept {
			at = max(0, at-sticky)
		}
		if demand.Fits(free) && at < after {
			best, after = i, at
		}
	}
	return best, after
}
