package pools

// This file lists the jobs that wait for units, in the order in which they are served.

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
	entitled  bool // within what its team is guaranteed
	demand    pool.Demand
}

// requests lists who waits for a pool, in the order in which they are served: by priority,
// then who is within its team's guarantee, then by age. Work that may not start anyway is
// not among them. Who is urgent or entitled reserves what comes free, and others do by
// turns if they need several units at once.
func (pm *Manager) requests(name api.PoolName) []request {
	var out []request
	entry := pm.entry(name)
	held := pm.heldByTeam(entry)
	for _, j := range pm.core.State.PendingJobs {
		need, ok := j.Spec.PoolRequest(name)
		if !ok || pm.siblings.Tenancy.StartsBlocked(j) || j.OwnerState.BackoffUntil > pm.core.Now {
			continue
		}
		for p := range pm.core.State.Partitions {
			if waiting := j.PendingTasks(api.PartitionID(p)); waiting > 0 {
				out = append(out, pm.newRequest(entry, held, j, need, api.PartitionID(p), waiting))
			}
		}
	}
	slices.SortFunc(out, pm.compareRequests)
	return out
}

// newRequest is the request of a job of which so many tasks wait in a partition; held is what
// each team holds of the pool, nil if it guarantees nothing.
func (pm *Manager) newRequest(entry *pool.Entry, held map[api.Team]int, j *core.Job, need api.PoolRequest, partition api.PartitionID, waiting int) request {
	demand := pool.Demand{Partition: partition, Units: need.Units(1, j.LiveCount() > 0), Starts: waiting}
	if j.Spec.Kind == api.Gang {
		demand.Units, demand.Starts = need.Units(j.Spec.Tasks, false), 1
	}
	entitled := held != nil && held[j.Spec.Team]+demand.Units <= entry.Guaranteed[j.Spec.Team]
	if entitled {
		demand.Starts = min(demand.Starts, (entry.Guaranteed[j.Spec.Team]-held[j.Spec.Team])/demand.Units)
	}
	demand.Reserves = entitled || pm.siblings.Backfiller.WaitStage(j, partition) != sched.NotAged || j.Spec.Priority.Rank() >= core.PreemptorRank ||
		demand.Units > 1 && pool.ShouldReserve(time.Duration(pm.core.WallClock-j.AcceptedAt)*time.Millisecond)
	return request{job: j, partition: partition, entitled: entitled, demand: demand}
}

// compareRequests orders requests as they are served.
func (pm *Manager) compareRequests(a, b request) int {
	return cmp.Or(core.BoolToInt(pm.isAgedAboveAll(b))-core.BoolToInt(pm.isAgedAboveAll(a)),
		sched.Descending(pm.siblings.Priorities.EffectivePriority(a.job.Spec), pm.siblings.Priorities.EffectivePriority(b.job.Spec)),
		core.BoolToInt(b.entitled)-core.BoolToInt(a.entitled),
		cmp.Compare(a.job.AcceptedAt, b.job.AcceptedAt),
		cmp.Compare(a.job.ID, b.job.ID),
		int(a.partition-b.partition))
}

// isAgedAboveAll reports whether a request has waited for so long that it goes before all others.
func (pm *Manager) isAgedAboveAll(r request) bool {
	return pm.siblings.Backfiller.WaitStage(r.job, r.partition) == sched.AgedAboveAll
}

// hasCapacityFor reports whether work that asks for units could start in its partition. Work that
// moves whole, or preempts others, needs its units first.
func (pm *Manager) hasCapacityFor(r request) bool {
	return r.job.Spec.NeedsSinglePartition() || pm.siblings.Capacity.FreeSlotsByPartition(r.job.Spec)[r.partition] > 0
}

// PoolBacklog is how many units of a pool are waited for, and for how many seconds the oldest
// of who waits has been there.
func (pm *Manager) PoolBacklog(name api.PoolName) (units int, oldest float64) {
	for _, r := range pm.requests(name) {
		units += r.demand.Units * r.demand.Starts
		oldest = max(oldest, core.RoundToTenth(float64(pm.core.WallClock-r.job.AcceptedAt)/1000))
	}
	return units, oldest
}
