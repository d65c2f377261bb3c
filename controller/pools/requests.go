package pools

// This file lists the jobs that wait for units of pools, in the order of allocation.

import (
	"cmp"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/pool"
	"basaltwall/sched"
)

// request is a job that waits in a partition for units of a pool.
type request struct {
	job       *core.Job
	partition api.PartitionID
	entitled  bool // within the guarantee of its team
	demand    pool.Demand
}

// requests lists the requests for a pool in the order of allocation: by priority, then those within
// their team's guarantee, then by age. It excludes jobs that may not start for another reason, and those that hold
// all units that they need.
// Urgent, entitled and aged requests reserve released units; a request for several units at once
// reserves them in alternate intervals.
func (pm *Manager) requests(name api.PoolName) []request {
	var out []request
	entry := pm.entry(name)
	held := pm.heldByTeam(entry)
	for _, j := range pm.core.State.PendingJobs {
		need, ok := j.Spec.PoolRequest(name)
		if !ok || pm.deps.Tenancy.StartsBlocked(j) || j.OwnerState.StartsDelayed(pm.core.Now) {
			continue
		}
		for p := range pm.core.State.Partitions {
			pendingTasks := j.PendingTasks(api.PartitionID(p))
			if demand := newDemand(j, need, api.PartitionID(p), pendingTasks); demand.Units > 0 && pendingTasks > 0 {
				out = append(out, pm.newRequest(entry, held, j, demand))
			}
		}
	}
	slices.SortFunc(out, pm.compareRequests)
	return out
}

// newDemand returns the demand of a job with a number of pending tasks in a partition. It is for no units if the job
// holds those that it takes as a whole and its tasks need none.
func newDemand(j *core.Job, need api.PoolRequest, partition api.PartitionID, pendingTasks int) pool.Demand {
	if j.Spec.Kind == api.Gang {
		return pool.Demand{Partition: partition, Units: need.Units(j.Spec.Tasks, false), Starts: 1}
	}
	return pool.Demand{Partition: partition, Units: need.Units(1, j.LiveCount() > 0), Starts: pendingTasks}
}

// newRequest returns the request of a job for a demand of at least one unit. held is the number of units by team,
// nil if the pool has no guarantees.
func (pm *Manager) newRequest(entry *pool.Entry, held map[api.Team]int, j *core.Job, demand pool.Demand) request {
	entitled := held != nil && held[j.Spec.Team]+demand.Units <= entry.Guaranteed[j.Spec.Team]
	if entitled {
		demand.Starts = min(demand.Starts, (entry.Guaranteed[j.Spec.Team]-held[j.Spec.Team])/demand.Units)
	}
	demand.Reserves = entitled || pm.deps.Backfiller.AgingStage(j, demand.Partition) != sched.NotAged || j.Spec.Priority.Rank() >= core.MinPreemptorRank ||
		demand.Units > 1 && pool.ShouldReserve(time.Duration(pm.core.WallClock-j.AcceptedAt)*time.Millisecond)
	return request{job: j, partition: demand.Partition, entitled: entitled, demand: demand}
}

// compareRequests orders requests, the first to be served first.
func (pm *Manager) compareRequests(a, b request) int {
	return cmp.Or(core.BoolToInt(pm.isAgedAboveAll(b))-core.BoolToInt(pm.isAgedAboveAll(a)),
		sched.Descending(pm.deps.Priorities.EffectivePriority(a.job.Spec), pm.deps.Priorities.EffectivePriority(b.job.Spec)),
		core.BoolToInt(b.entitled)-core.BoolToInt(a.entitled),
		cmp.Compare(a.job.AcceptedAt, b.job.AcceptedAt),
		cmp.Compare(a.job.ID, b.job.ID),
		int(a.partition-b.partition))
}

// isAgedAboveAll reports whether a request has aged so far that it precedes all others.
func (pm *Manager) isAgedAboveAll(r request) bool {
	return pm.deps.Backfiller.AgingStage(r.job, r.partition) == sched.AgedAboveAll
}

// hasCapacityFor reports whether a requesting job has free capacity in its partition. It is always
// true for jobs that need a single partition: they need their units before they can be moved or
// preempt others.
func (pm *Manager) hasCapacityFor(r request) bool {
	return r.job.Spec.NeedsSinglePartition() || pm.deps.Capacity.FreeSlotsByPartition(r.job.Spec)[r.partition] > 0
}

// PoolBacklog returns the number of requested units of a pool, and the age in seconds of the oldest
// job that requests them.
func (pm *Manager) PoolBacklog(name api.PoolName) (units int, oldest float64) {
	for _, r := range pm.requests(name) {
		units += r.demand.Units * r.demand.Starts
		oldest = max(oldest, core.RoundToTenth(float64(pm.core.WallClock-r.job.AcceptedAt)/1000))
	}
	return units, oldest
}
