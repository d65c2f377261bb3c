package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Balancer moves pending tasks, quota and machines between partitions.
type Balancer struct {
	core *core.Core
	c    *Controller
}

// RebalancePending moves waiting tasks to a part that has room for them.
func (bl *Balancer) RebalancePending(owned *core.OwnedPartition) {
	if owned.MoveInFlight || owned.Releasing || owned.InFlight != nil || bl.core.Now < owned.NextMove || owned.PendingTaskCount == 0 {
		return
	}
	owned.NextMove = bl.core.Now.Add(core.GossipInterval)
	candidatesLeft := maxMoveCandidates
	for _, jobID := range bl.c.priorities.SortByPriority(owned.RotateAfterCursor(slices.Sorted(maps.Keys(bl.core.State.PendingJobs)))) {
		j := bl.core.State.PendingJobs[jobID]
		if j.OwnerState.BackoffUntil > bl.core.Now || bl.c.tenancy.StartsBlocked(j) || bl.core.Now.Sub(j.OwnerState.RebalancedAt) < 3*core.GossipInterval && j.OwnerState.RebalancedAt != 0 {
			continue
		}
		waiting := j.PendingTasks(owned.ID)
		if waiting == 0 {
			continue
		}
		if candidatesLeft--; candidatesLeft < 0 {
			return
		}
		owned.MoveCursor = jobID
		if bl.HasReservationFor(owned, jobID) {
			continue // room is gathered for it here
		}
		stuck := j.OwnerState.Unplaceable && bl.c.backfiller.WaitStage(j, owned.ID) != sched.NotAged && bl.core.Now.Sub(j.OwnerState.RebalancedAt) > stuckMoveInterval
		freeSlots := bl.c.jobs.FreeSlotsByPartition(j.Spec)
		if freeSlots[owned.ID] > 0 && j.Spec.Kind == api.Array {
			continue // it will be placed here
		}
		best, moveCount := api.PartitionID(0), 0
		for q := range freeSlots {
			if api.PartitionID(q) == owned.ID {
				continue
			}
			if r := freeSlots[q] - bl.c.jobs.PendingTasksIn(api.PartitionID(q), j.Spec); r > moveCount {
				best, moveCount = api.PartitionID(q), r
			}
		}
		if capacity := bl.c.jobs.TotalSlotsByPartition(j.Spec); j.Spec.NeedsSinglePartition() && moveCount == 0 && capacity[owned.ID] < j.Spec.Tasks {
			// It can never be placed here; there it may wait or have others
			// make way.
			for q, c := range capacity {
				if c >= j.Spec.Tasks && c > moveCount {
					best, moveCount = api.PartitionID(q), c
				}
			}
		}
		if j.Spec.NeedsSinglePartition() {
			holdNow, holdAfterPreemption := bl.PartitionsWithCapacity(j.Spec)
			if holdNow[owned.ID] {
				continue
			}
			if len(holdNow) == 0 {
				if holdAfterPreemption[owned.ID] {
					continue // others will make way here
				}
				holdNow = holdAfterPreemption
			}
			if len(holdNow) > 0 && !holdNow[best] {
				best = slices.Min(slices.Collect(maps.Keys(holdNow)))
				moveCount = j.Spec.Tasks
			}
		}
		if moveCount == 0 && !j.Spec.NeedsSinglePartition() {
			best, moveCount = bl.balanceTarget(owned, j, waiting)
		}
		if moveCount == 0 && stuck {
			// It must begin, and nothing that it may use comes free here by itself: the next
			// part that has such machines may be better off.
			capacity := bl.c.jobs.TotalSlotsByPartition(j.Spec)
			for i := 1; i < len(capacity) && moveCount == 0; i++ {
				if q := (int(owned.ID) + i) % len(capacity); capacity[q] > 0 {
					best, moveCount = api.PartitionID(q), waiting
				}
			}
			j.OwnerState.Unplaceable = false
		}
		if moveCount == 0 {
			continue
		}
		split, ok := splitAfterMove(j, owned.ID, best, moveCount)
		if !ok {
			continue
		}
		v := j.JobValue
		v.Split = split
		data, err := json.Marshal(v)
		if err != nil || bl.core.JobExceedsValueSize(data) {
			continue
		}
		j.OwnerState.RebalancedAt = bl.core.Now
		owned.MoveInFlight = true
		key := clusterstate.KeyJob + string(jobID)
		tx := api.Txn{If: []api.Condition{{Key: key, Version: j.Version}, owned.OwnershipCondition()},
			Writes: []api.Write{{Put: key, Value: data}}}
		bl.core.CallStoreTxn(tx, func(a message.StoreResponse) {
			if a.Status == 200 {
				bl.core.Metrics.TaskMoves++
			}
			slog.Info("pending tasks moved", "job", jobID, "from", owned.ID, "to", best, "most", moveCount, "status", a.Status)
			bl.c.follower.LinearizableRead(func() { owned.MoveInFlight = false }, func() { owned.MoveInFlight = false })
		})
		return
	}
}

// balanceTarget finds a part in which less waits that goes before a job's tasks, by what the parts'
// machines hold, and how many to move there: where rules say what goes first, work that comes
// after it would start there while it waits here.
func (bl *Balancer) balanceTarget(owned *core.OwnedPartition, j *core.Job, waiting int) (to api.PartitionID, moveCount int) {
	if len(bl.core.Settings.Priority) == 0 {
		return 0, 0
	}
	capacity := bl.c.jobs.TotalSlotsByPartition(j.Spec)
	ownWaiting, ownCapacity := bl.c.jobs.PendingTasksIn(owned.ID, j.Spec), float64(capacity[owned.ID])
	for other, c := range capacity {
		if api.PartitionID(other) == owned.ID || c == 0 {
			continue
		}
		otherWaiting := bl.c.jobs.PendingTasksIn(api.PartitionID(other), j.Spec)
		if surplus := (float64(ownWaiting)*float64(c) - float64(otherWaiting)*ownCapacity) / (ownCapacity + float64(c)); int(surplus) > moveCount && surplus > minRebalanceShare*float64(ownWaiting) {
			to, moveCount = api.PartitionID(other), min(waiting, int(surplus))
		}
	}
	return to, moveCount
}

// minRebalanceShare is the share of what waits that is worth a write to move.
const minRebalanceShare = 0.25

// stuckMoveInterval is how long a job that must begin stays in a part that has no room to hope for.
const stuckMoveInterval = 15 * time.Second

// HasReservationFor reports whether a part keeps a machine for a job because room is gathered for it.
func (bl *Balancer) HasReservationFor(owned *core.OwnedPartition, ref api.JobID) bool {
	return slices.ContainsFunc(bl.c.agents.MachinesOf(owned.ID), func(m *core.Machine) bool { return m.Consolidated && bl.c.preemptor.ReservedFor(m) == ref })
}

// maxMoveCandidates bounds the jobs that are looked at at once for moving elsewhere.
const maxMoveCandidates = 16

// maxSplitRanges bounds how finely a job may be split.
const maxSplitRanges = 64

// splitAfterMove returns the job's split with up to most of the waiting tasks of one
// part given to another; jobs whose tasks belong together move whole or not.
func splitAfterMove(j *core.Job, from, to api.PartitionID, maxTasks int) ([]clusterstate.TaskRange, bool) {
	if j.Spec.NeedsSinglePartition() {
		if len(j.Placements) > 0 || j.Spec.Kind == api.Gang && maxTasks < j.Spec.Tasks {
			return nil, false
		}
		return []clusterstate.TaskRange{{From: 0, To: j.Spec.Tasks, Partition: to}}, true
	}
	if len(j.Split) >= maxSplitRanges {
		return nil, false
	}
	for k := len(j.Split) - 1; k >= 0; k-- {
		r := j.Split[k]
		if r.Partition != from {
			continue
		}
		end := r.To
		for end > r.From && (j.Completed.Has(end-1) || j.Placements[end-1] != nil) {
			end--
		}
		begin := end
		for begin > r.From && end-begin < maxTasks && !j.Completed.Has(begin-1) && j.Placements[begin-1] == nil {
			begin--
		}
		if begin == end {
			continue
		}
		var out []clusterstate.TaskRange
		for _, p := range []clusterstate.TaskRange{{From: r.From, To: begin, Partition: from}, {From: begin, To: end, Partition: to}, {From: end, To: r.To, Partition: from}} {
			if p.To > p.From {
				out = append(out, p)
			}
		}
		return slices.Concat(j.Split[:k], out, j.Split[k+1:]), true
	}
	return nil, false
}

// PartitionsWithCapacity finds the parts that have room for all of a job's tasks: now, or
// if others made way where the job is urgent enough for that.
func (bl *Balancer) PartitionsWithCapacity(s *api.JobSpec) (now, afterPreemption map[api.PartitionID]bool) {
	demand, cpuOnly := s.Demand(), bl.core.IsCPUOnly(s)
	urgent := s.Priority.Rank() >= preemptorRank
	free, preemptible := map[api.PartitionID][]sched.Machine{}, map[api.PartitionID][]sched.Machine{}
	bl.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if !k.Usable || !bl.core.IsEligible(s, cpuOnly, k.Type, k.Zone, k.Spot) {
			return
		}
		m := sched.Machine{Type: k.Type, Zone: k.Zone, Spot: k.Spot}
		for range min(r.Count, s.Tasks) { // more of a kind are never needed
			if m.Free = r.Free; demand.Fits(m.Free) {
				free[p] = append(free[p], m)
			}
			if m.Free = r.Could; urgent && demand.Fits(m.Free) {
				preemptible[p] = append(preemptible[p], m)
			}
		}
	})
	holding := func(machines map[api.PartitionID][]sched.Machine) map[api.PartitionID]bool {
		out := map[api.PartitionID]bool{}
		for p, ms := range machines {
			if sched.FitsAll(ms, s) {
				out[p] = true
			}
		}
		return out
	}
	return holding(free), holding(preemptible)
}

// preferredZone is the zone with most room for a job whose tasks must be together.
func (bl *Balancer) preferredZone(s *api.JobSpec) api.Zone {
	if !s.OneZone {
		return ""
	}
	freeSlots := map[api.Zone]int{}
	bl.c.gossiper.EachFreeCapacity(func(_ api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if k.Usable && sched.Feasible(s, k.Type, k.Zone, k.Spot) {
			// Room that is free at once counts for more.
			freeSlots[k.Zone] += r.Count * (2*s.Demand().Slots(r.Free) + s.Demand().Slots(r.Could))
		}
	})
	return core.LargestZone(freeSlots)
}
