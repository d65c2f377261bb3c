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

// holding is what gives back units of a pool together: a task, or all tasks of a gang or of a job
// that holds units for itself.
type holding struct {
	job        *core.Job
	placements []*core.Placement
	units      int
}

// isGang reports whether a holding is a gang's, whose tasks all lose their work together.
func (h *holding) isGang() bool { return h.job.Spec.Kind == api.Gang }

// holdings lists what holds units of a pool in the order in which it is preempted: the least
// urgent first, of those gangs last, since they lose all their tasks' work, and then the
// newest. Each owner finds the same by its cluster state.
func (pm *Manager) holdings(name api.PoolName) []holding {
	var all []holding
	indexOf := map[*core.Job]int{} // of holdings of several tasks
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

// compareHoldings orders holdings as they are preempted.
func (pm *Manager) compareHoldings(a, b holding) int {
	return cmp.Or(sched.Descending(pm.siblings.Priorities.EffectivePriority(b.job.Spec), pm.siblings.Priorities.EffectivePriority(a.job.Spec)),
		core.BoolToInt(a.isGang())-core.BoolToInt(b.isGang()),
		cmp.Compare(b.job.AcceptedAt, a.job.AcceptedAt),
		cmp.Compare(b.job.ID, a.job.ID),
		b.placements[0].Task.Index-a.placements[0].Task.Index)
}

// preemptHolders stops work that holds units of a pool. Of a pool of which more is held than there
// is it stops what is too much, if its operators say so. For urgent work that lacks units
// only it stops less urgent work, gangs aside, as for want of machines. Each owner stops
// what is its own; what has been asked to stop counts as held until it has ended, so no more
// is stopped than it takes.
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

// preempt stops the tasks of a holding that this controller owns.
func (pm *Manager) preempt(name api.PoolName, h holding) {
	for _, placement := range h.placements {
		if pm.core.Partitions[placement.Partition] != nil && !placement.OwnerState.StopRequested {
			pm.siblings.Scheduler.StopTask(placement)
			placement.Job.OwnerState.PreemptedTasks++
			slog.Info("task preempted", core.TenantAttr(placement.Job), "task", placement.Task, "machine", placement.Machine, "pool", name)
		}
	}
}

// urgentRequest is the first urgent work that waits for a pool and has free capacity to start, nil
// if there is none.
func (pm *Manager) urgentRequest(entry *pool.Entry, requests []request) *request {
	if entry.State != pool.Active {
		return nil
	}
	for _, r := range requests {
		if r.job.Spec.Priority.Rank() < core.PreemptorRank {
			return nil
		}
		if r.demand.Units <= entry.Size && pm.hasCapacityFor(r) {
			return &r
		}
	}
	return nil
}
