package pools

// This file preempts tasks that hold units of a pool.

import (
	"cmp"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/pool"
	"basaltwall/sched"
)

// holding is the smallest set of tasks that releases units of a pool when it is preempted: one task,
// or all tasks of a gang or of a job that holds units as a whole.
type holding struct {
	job        *core.Job
	placements []*core.Placement
	units      int
}

// isGang reports whether a holding is a gang.
func (h *holding) isGang() bool { return h.job.Spec.Kind == api.Gang }

// holdings lists the holdings of a pool in the order of preemption: the least urgent first, among
// equally urgent ones gangs last, as all of their tasks lose their work, and then the newest first.
// Owners with the same cluster state get the same list.
func (pm *Manager) holdings(name api.PoolName) []holding {
	var all []holding
	indexOf := map[*core.Job]int{} // index in all of holdings with several tasks
	for p := range pm.core.State.Partitions {
		for placement := range pm.core.State.PlacementsByPartition[p] {
			j := placement.Job
			need, ok := j.Spec.PoolRequest(name)
			if !ok || placement.Finishing {
				continue
			}
			if j.Spec.Kind != api.Gang && need.Job == 0 {
				all = append(all, holding{job: j, placements: []*core.Placement{placement}, units: need.Task})
				continue
			}
			i, known := indexOf[j]
			if !known {
				i = len(all)
				indexOf[j] = i
				all = append(all, holding{job: j, units: need.Job})
			}
			all[i].placements, all[i].units = append(all[i].placements, placement), all[i].units+need.Task
		}
	}
	slices.SortFunc(all, pm.compareHoldings)
	return all
}

// compareHoldings orders holdings, the first to be preempted first.
func (pm *Manager) compareHoldings(a, b holding) int {
	return cmp.Or(sched.Descending(pm.deps.Priorities.EffectivePriority(b.job.Spec), pm.deps.Priorities.EffectivePriority(a.job.Spec)),
		core.BoolToInt(a.isGang())-core.BoolToInt(b.isGang()),
		cmp.Compare(b.job.AcceptedAt, a.job.AcceptedAt),
		cmp.Compare(b.job.ID, a.job.ID),
		b.placements[0].Task.Index-a.placements[0].Task.Index)
}

// preemptHolders preempts tasks that hold units of a pool, in two cases. If more units are held than
// the pool has, and the pool is set to reclaim them, it preempts the excess. If an urgent job lacks
// only units, it preempts less urgent tasks, except gangs. Each owner stops the tasks in its own
// partitions. Tasks that are stopping still count as held, so that no more than needed are preempted.
func (pm *Manager) preemptHolders(entry *pool.Entry, requests []request) {
	if !pm.isCurrent(entry) || entry.State == pool.Removed {
		return
	}
	missing := pm.PoolHeldTotal(entry.Name) - entry.Size
	preemptible := func(holding) bool { return entry.Reclaim }
	if missing <= 0 || !entry.Reclaim {
		urgent := pm.urgentRequest(entry, requests)
		if urgent == nil {
			return
		}
		missing += urgent.demand.Units * urgent.demand.Starts
		rank := urgent.job.Spec.Priority.Rank()
		preemptible = func(h holding) bool { return !h.isGang() && h.job.Spec.Priority.Rank() < rank }
	}
	if missing <= 0 {
		return
	}
	for _, h := range pm.holdings(entry.Name) {
		if missing <= 0 {
			return
		}
		if !preemptible(h) {
			continue
		}
		missing -= h.units
		pm.preempt(entry.Name, h)
	}
}

// preempt stops the tasks of a holding in partitions that this controller owns.
func (pm *Manager) preempt(name api.PoolName, h holding) {
	for _, placement := range h.placements {
		if pm.core.Partitions[placement.Partition] != nil && !placement.OwnerState.StopRequested {
			pm.deps.Scheduler.StopTask(placement)
			placement.Job.OwnerState.PreemptedTasks++
			slog.Info("task preempted", core.TenantAttr(placement.Job), "task", placement.Task, "machine", placement.Machine, "pool", name)
		}
	}
}

// urgentRequest returns the first request of an urgent job that has free capacity to start, nil if
// there is none.
func (pm *Manager) urgentRequest(entry *pool.Entry, requests []request) *request {
	if entry.State != pool.Active {
		return nil
	}
	for _, r := range requests {
		if r.job.Spec.Priority.Rank() < core.MinPreemptorRank {
			return nil
		}
		if r.demand.Units <= entry.Size && pm.hasCapacityFor(r) {
			return &r
		}
	}
	return nil
}
