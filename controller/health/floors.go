// Capacity floors, below which the tasks of a class or team are not preempted.

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

// floorInterval is the time between two computations of the floors while no zone has failed.
const floorInterval = 2 * time.Second

// Floors holds, by class and team, the CPUs that this controller may still preempt in its partitions
// and the capacity that new tasks may still use. Both maps are nil if there are no floors.
type Floors struct {
	Classes map[api.Class]zonehealth.Allowance
	Teams   map[api.Team]zonehealth.Allowance
}

// IsPreemptible reports whether a task may be preempted without its class or team falling below its
// floor. A class or team that is newer than the floors has no floor.
func (mon *Monitor) IsPreemptible(p *core.Placement) bool {
	if mon.Floors.Classes == nil {
		return true
	}
	cpus := p.Job.Demand.CPU.Float()
	class, classKnown := mon.Floors.Classes[p.Job.Spec.Class]
	team, teamKnown := mon.Floors.Teams[p.Job.Spec.Team]
	return (!classKnown || class.Preemptible >= cpus) && (!teamKnown || team.Preemptible >= cpus)
}

// StartAllowance returns the number of a job's tasks that may still start without using capacity that
// is reserved for the floors of other classes and teams.
func (mon *Monitor) StartAllowance(j *core.Job) int {
	class, known := mon.Floors.Classes[j.Spec.Class]
	if !known || j.Demand.CPU <= 0 {
		return j.Spec.Tasks // there are no floors, or the class is newer than they are
	}
	headroom := class.Headroom
	if team, ok := mon.Floors.Teams[j.Spec.Team]; ok {
		headroom = min(headroom, team.Headroom)
	}
	if j.Spec.Kind != api.Gang {
		headroom *= mon.ownedShare() // the rest is for other partitions' owners
	}
	return int(min(float64(j.Spec.Tasks), max(0, headroom)/j.Demand.CPU.Float()))
}

// AdjustFloors updates the floors after a job's class and team have gained CPUs, or lost them if cpus
// is negative.
func (mon *Monitor) AdjustFloors(s *api.JobSpec, cpus float64) {
	adjustAllowance(mon.Floors.Classes, s.Class, cpus)
	adjustAllowance(mon.Floors.Teams, s.Team, cpus)
}

// adjustAllowance updates the allowance of a class or team; one without an allowance is ignored.
func adjustAllowance[K comparable](allowances map[K]zonehealth.Allowance, holder K, cpus float64) {
	if a, ok := allowances[holder]; ok {
		allowances[holder] = zonehealth.Allowance{Preemptible: a.Preemptible + cpus, Headroom: a.Headroom - cpus}
	}
}

// ownedShare returns the fraction of the partitions that this controller owns.
func (mon *Monitor) ownedShare() float64 {
	return float64(len(mon.core.Partitions)) / float64(len(mon.core.State.Partitions))
}

// computeFloors computes the floors. Each owner may preempt its partitions' share of the preemptible
// capacity. While no zone has failed, only classes and teams with starving work have a floor, see
// zonehealth.Starving.
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

// floorUsage sums the allocated and demanded CPUs of each class and team.
type floorUsage struct {
	mon        *Monitor
	zoneFailed bool

	capacity       float64                      // usable CPUs of all machines
	machineCounts  map[message.MachineClass]int // usable machines
	remainingQuota map[api.Team]api.Resources   // quota that pending tasks may still use

	classes   map[api.Class]zonehealth.Usage
	teams     map[api.Team]zonehealth.Usage
	maxUsable map[api.Class]float64 // CPUs that the class's least constrained job could use
}

// newFloorUsage returns a floorUsage without jobs, for the capacity of all partitions.
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
	mon.deps.Gossiper.EachFreeCapacity(func(_ api.PartitionID, class message.MachineClass, free message.FreeCapacity) {
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

// usableCPUs returns the CPUs that a job could use if all usable machines were empty.
func (u *floorUsage) usableCPUs(s *api.JobSpec) float64 {
	slots := 0
	for class, count := range u.machineCounts {
		if sched.Feasible(s, class.Type, class.Zone, class.Spot) {
			slots += count * s.Demand().Slots(u.mon.core.MachineTypes[class.Type].Capacity())
		}
	}
	return float64(slots) * s.CPUs
}

// add adds a job's allocated and demanded CPUs to its class and team.
func (u *floorUsage) add(j *core.Job) {
	lost := u.mon.unreachableTasks[j.ID]
	running := max(0, len(j.Placements)-j.FinishingCount-lost)
	usable := u.usableCPUs(j.Spec)
	u.maxUsable[j.Spec.Class] = max(u.maxUsable[j.Spec.Class], usable)
	pending := 0
	if !u.mon.deps.Tenancy.StartsBlocked(j) && usable > 0 && u.mayStart(j) {
		pending = lost + u.reserveQuota(j, running, lost)
	}
	cpus := j.Demand.CPU.Float()
	held, demand := cpus*float64(running), cpus*float64(running+pending)
	floorShare := u.mon.deps.Priorities.FairShareFloor(j.Spec)
	starving := pending > 0 && zonehealth.Starving(u.mon.sinceWallClock(j.AcceptedAt))
	noFloor := !u.zoneFailed && floorShare == 0 && !starving
	addUsage(u.classes, j.Spec.Class, zonehealth.Usage{Allocated: held, Demand: demand, NoFloor: noFloor, FloorShare: floorShare})
	addUsage(u.teams, j.Spec.Team, zonehealth.Usage{Allocated: held, Demand: demand, NoFloor: noFloor})
}

// mayStart reports whether a job's pending tasks count as demand. While no zone has failed, the tasks
// of a job that backs off or needs units of a pool do not count.
func (u *floorUsage) mayStart(j *core.Job) bool {
	return u.zoneFailed || !j.OwnerState.StartsDelayed(u.mon.core.Now) && len(j.Spec.Needs) == 0
}

// reserveQuota subtracts a job's pending tasks from its team's remaining quota and returns the number
// that fits. Tasks on lost machines are already part of the team's usage.
func (u *floorUsage) reserveQuota(j *core.Job, running, lost int) int {
	team := j.Spec.Team
	waiting := max(0, j.Spec.Tasks-j.CompletedCount-running-lost)
	startable := min(waiting, j.Demand.Slots(u.remainingQuota[team]))
	u.remainingQuota[team] = u.remainingQuota[team].Minus(j.Demand.Times(startable))
	return startable
}

// addUsage adds a job's usage to its class or team, which has no floor if none of its jobs has one.
func addUsage[K comparable](usage map[K]zonehealth.Usage, holder K, job zonehealth.Usage) {
	sum := usage[holder]
	usage[holder] = zonehealth.Usage{
		Allocated:  sum.Allocated + job.Allocated,
		Demand:     sum.Demand + job.Demand,
		NoFloor:    job.NoFloor && (sum.NoFloor || sum.Demand == 0),
		FloorShare: max(sum.FloorShare, job.FloorShare),
	}
}

// limitDemand limits each class's demand to the CPUs that it could use.
func (u *floorUsage) limitDemand() {
	for class, usage := range u.classes {
		usage.Demand = min(usage.Demand, max(usage.Allocated, u.maxUsable[class]))
		u.classes[class] = usage
	}
}
