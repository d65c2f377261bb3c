// Floors below which the work of a class or team is not preempted.

package health

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// floorInterval is how often floors are computed while no zone has failed.
const floorInterval = 2 * time.Second

// Floors are how far the work of each class and team may still be preempted in the partitions of this
// controller, and what it may still take. Both maps are nil where no floors are kept.
type Floors struct {
	Classes map[api.Class]zonehealth.Allowance
	Teams   map[api.Team]zonehealth.Allowance
}

// IsPreemptible reports whether a task may be preempted: no class and no team goes below its floor.
// One that is new since the floors were computed has none.
func (mon *Monitor) IsPreemptible(p *core.Placement) bool {
	if mon.Floors.Classes == nil {
		return true
	}
	cpus := p.Job.Demand.CPU.Float()
	class, classKnown := mon.Floors.Classes[p.Job.Spec.Class]
	team, teamKnown := mon.Floors.Teams[p.Job.Spec.Team]
	return (!classKnown || class.Preemptible >= cpus) && (!teamKnown || team.Preemptible >= cpus)
}

// StartAllowance is how many more of a job's tasks may start: no class and no team takes what would
// leave less than the floors of the others.
func (mon *Monitor) StartAllowance(j *core.Job) int {
	class, known := mon.Floors.Classes[j.Spec.Class]
	if !known || j.Demand.CPU <= 0 {
		return j.Spec.Tasks // no floors are kept, or the class is new since they were computed
	}
	headroom := class.Headroom
	if team, ok := mon.Floors.Teams[j.Spec.Team]; ok {
		headroom = min(headroom, team.Headroom)
	}
	if j.Spec.Kind != api.Gang {
		headroom *= mon.ownedShare() // the rest is other owners' to take
	}
	return int(min(float64(j.Spec.Tasks), max(0, headroom)/j.Demand.CPU.Float()))
}

// AdjustFloors notes that a job's class and team hold so many CPUs more, or less, since the floors were
// computed.
func (mon *Monitor) AdjustFloors(s *api.JobSpec, cpus float64) {
	adjustAllowance(mon.Floors.Classes, s.Class, cpus)
	adjustAllowance(mon.Floors.Teams, s.Team, cpus)
}

// adjustAllowance changes an allowance by what its holder has taken; an unknown holder is left out.
func adjustAllowance[K comparable](allowances map[K]zonehealth.Allowance, holder K, cpus float64) {
	if a, ok := allowances[holder]; ok {
		allowances[holder] = zonehealth.Allowance{Preemptible: a.Preemptible + cpus, Headroom: a.Headroom - cpus}
	}
}

// ownedShare is the share of the partitions that this controller owns.
func (mon *Monitor) ownedShare() float64 {
	return float64(len(mon.core.Partitions)) / float64(len(mon.core.State.Partitions))
}

// computeFloors computes how far the work of each class and team may still be preempted. Each owner
// preempts its partitions' share of that. While no zone has failed, a floor is kept only for those that
// have been short of it for as long as zonehealth.Starving says.
func (mon *Monitor) computeFloors(zoneFailed bool) {
	usage := mon.newFloorUsage(zoneFailed)
	for _, id := range slices.Sorted(maps.Keys(mon.core.State.Jobs)) {
		if j := mon.core.State.Jobs[id]; !j.Terminal() {
			usage.add(j)
		}
	}
	usage.limitDemand()
	share := mon.ownedShare()
	mon.Floors = Floors{
		Classes: zonehealth.Allowances(usage.classes, usage.capacity, share),
		Teams:   zonehealth.Allowances(usage.teams, usage.capacity, share),
	}
}

// floorUsage sums what the work of each class and team holds and demands.
type floorUsage struct {
	mon        *Monitor
	zoneFailed bool

	capacity       float64                      // usable CPUs of all machines
	machineCounts  map[message.MachineClass]int // usable machines
	remainingQuota map[api.Team]api.Resources

	classes   map[api.Class]zonehealth.Usage
	teams     map[api.Team]zonehealth.Usage
	maxUsable map[api.Class]float64 // CPUs that the class's least constrained job could use
}

// newFloorUsage returns sums without any job, over the capacity of all partitions.
func (mon *Monitor) newFloorUsage(zoneFailed bool) *floorUsage {
	u := &floorUsage{
		mon:            mon,
		zoneFailed:     zoneFailed,
		machineCounts:  map[message.MachineClass]int{},
		remainingQuota: map[api.Team]api.Resources{},
		classes:        map[api.Class]zonehealth.Usage{},
		teams:          map[api.Team]zonehealth.Usage{},
		maxUsable:      map[api.Class]float64{},
	}
	mon.siblings.Gossiper.EachFreeCapacity(func(_ api.PartitionID, class message.MachineClass, free message.FreeCapacity) {
		if typ := mon.core.MachineTypes[class.Type]; typ != nil && class.Usable {
			u.capacity += typ.CPUs * float64(free.Count)
			u.machineCounts[class] += free.Count
		}
	})
	teamUsage := mon.core.TeamUsage()
	for name, team := range mon.core.Teams {
		u.remainingQuota[name] = core.QuotaLimit(team).Minus(teamUsage[name])
	}
	return u
}

// usableCPUs is how much of the capacity a job could use. Work that fits nothing that is left, or is
// beyond its team's quota, has no claim on it; nor has any to more than all that it fits.
func (u *floorUsage) usableCPUs(s *api.JobSpec) float64 {
	slots := 0
	for class, count := range u.machineCounts {
		if sched.Feasible(s, class.Type, class.Zone, class.Spot) {
			slots += count * s.Demand().Slots(u.mon.core.MachineTypes[class.Type].Capacity())
		}
	}
	return float64(slots) * s.CPUs
}

// add counts a job's tasks.
func (u *floorUsage) add(j *core.Job) {
	lost := u.mon.unreachableTasks[j.ID]
	running := max(0, len(j.Placements)-j.FinishingCount-lost)
	usable := u.usableCPUs(j.Spec)
	u.maxUsable[j.Spec.Class] = max(u.maxUsable[j.Spec.Class], usable)
	pending := 0
	if !u.mon.siblings.Tenancy.StartsBlocked(j) && usable > 0 && u.mayStart(j) {
		pending = lost + u.reserveQuota(j, running, lost)
	}
	cpus := j.Demand.CPU.Float()
	held, demand := cpus*float64(running), cpus*float64(running+pending)
	floorShare := u.mon.siblings.Priorities.FairShareFloor(j.Spec)
	starving := pending > 0 && zonehealth.Starving(u.mon.sinceWallClock(j.AcceptedAt))
	noFloor := !u.zoneFailed && floorShare == 0 && !starving
	addUsage(u.classes, j.Spec.Class, zonehealth.Usage{Allocated: held, Demand: demand, NoFloor: noFloor, FloorShare: floorShare})
	addUsage(u.teams, j.Spec.Team, zonehealth.Usage{Allocated: held, Demand: demand, NoFloor: noFloor})
}

// mayStart reports whether a job's pending tasks count as demand. While no zone has failed, those of a
// job that backs off or waits for units of a pool don't.
func (u *floorUsage) mayStart(j *core.Job) bool {
	return u.zoneFailed || j.OwnerState.BackoffUntil <= u.mon.core.Now && len(j.Spec.Needs) == 0
}

// reserveQuota takes a job's pending tasks from what remains of its team's quota and returns how many
// fit. What is on lost machines is in the team's usage already.
func (u *floorUsage) reserveQuota(j *core.Job, running, lost int) int {
	team := j.Spec.Team
	waiting := max(0, j.Spec.Tasks-j.CompletedCount-running-lost)
	startable := min(waiting, j.Demand.Slots(u.remainingQuota[team]))
	u.remainingQuota[team] = u.remainingQuota[team].Minus(j.Demand.Times(startable))
	return startable
}

// addUsage adds a job's usage to that of its class or team, which goes without a floor if all its jobs
// do.
func addUsage[K comparable](usage map[K]zonehealth.Usage, holder K, job zonehealth.Usage) {
	sum := usage[holder]
	usage[holder] = zonehealth.Usage{
		Allocated:  sum.Allocated + job.Allocated,
		Demand:     sum.Demand + job.Demand,
		NoFloor:    job.NoFloor && (sum.NoFloor || sum.Demand == 0),
		FloorShare: max(sum.FloorShare, job.FloorShare),
	}
}

// limitDemand limits each class's demand to what it could use.
func (u *floorUsage) limitDemand() {
	for class, usage := range u.classes {
		usage.Demand = min(usage.Demand, max(usage.Allocated, u.maxUsable[class]))
		u.classes[class] = usage
	}
}
