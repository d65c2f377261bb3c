package balance

// This file moves pending tasks to other partitions.

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

const (
	// maxMoveCandidates bounds the jobs that are considered for a move at a time.
	maxMoveCandidates = 16
	// moveRetryInterval is the minimum interval between two moves of a job.
	moveRetryInterval = 3 * core.GossipInterval
	// minRebalanceShare is the minimum fraction of the competing pending tasks that is moved for balance.
	minRebalanceShare = 0.25
	// stuckMoveInterval is the time that an aged job stays in a partition where it can't be placed.
	stuckMoveInterval = 15 * time.Second
)

// moveTarget is the partition to which pending tasks of a job move, and their maximum number; 0 means
// no move.
type moveTarget struct {
	partition api.PartitionID
	tasks     int
}

// RebalancePending moves pending tasks of one job from a partition to another that has capacity for
// them.
func (b *Balancer) RebalancePending(owned *core.OwnedPartition) {
	if owned.MoveInFlight || owned.Releasing || owned.InFlight != nil || b.core.Now < owned.NextMove || owned.PendingTaskCount == 0 {
		return
	}
	owned.NextMove = b.core.Now.Add(core.GossipInterval)
	candidatesLeft := maxMoveCandidates
	pending := owned.RotateToCursor(slices.Sorted(maps.Keys(b.core.State.PendingJobs)))
	for _, jobID := range b.deps.Priorities.SortByPriority(pending) {
		j := b.core.State.PendingJobs[jobID]
		if !b.isMovable(j) || j.PendingTasks(owned.ID) == 0 {
			continue
		}
		if candidatesLeft == 0 {
			return
		}
		candidatesLeft--
		owned.MoveCursor = jobID
		if b.HasReservationFor(owned, jobID) {
			continue // machines are reserved for it here
		}
		if target := b.moveTargetFor(owned, j); target.tasks > 0 && b.moveTasks(owned, j, target) {
			return
		}
	}
}

// isMovable reports whether a job may be moved now: its tasks may start, and it was not moved
// recently.
func (b *Balancer) isMovable(j *core.Job) bool {
	if j.OwnerState.BackoffUntil > b.core.Now || b.deps.Tenancy.StartsBlocked(j) {
		return false
	}
	movedAt := j.OwnerState.RebalancedAt
	return movedAt == 0 || b.core.Now.Sub(movedAt) >= moveRetryInterval
}

// HasReservationFor reports whether a partition has reserved a machine for a job because it has been
// pending for long.
func (b *Balancer) HasReservationFor(owned *core.OwnedPartition, jobID api.JobID) bool {
	return slices.ContainsFunc(b.deps.Agents.MachinesOf(owned.ID), func(m *core.Machine) bool {
		return m.ReservedForAged && b.deps.Preemptor.ReservedFor(m) == jobID
	})
}

// moveTargetFor chooses the partition to which a job's pending tasks should move, if any.
func (b *Balancer) moveTargetFor(owned *core.OwnedPartition, j *core.Job) moveTarget {
	stuck := j.OwnerState.Unplaceable && b.deps.Backfiller.AgingStage(j, owned.ID) != sched.NotAged &&
		b.core.Now.Sub(j.OwnerState.RebalancedAt) > stuckMoveInterval
	freeSlots := b.deps.Capacity.FreeSlotsByPartition(j.Spec)
	if freeSlots[owned.ID] > 0 && j.Spec.Kind == api.Array {
		return moveTarget{} // the next round can place tasks here
	}
	target := b.mostFreeSlots(owned, j, freeSlots)
	if j.Spec.NeedsSinglePartition() {
		var stays bool
		if target, stays = b.targetForWholeJob(owned, j, target); stays {
			return moveTarget{}
		}
	} else if target.tasks == 0 {
		target = b.balanceTarget(owned, j)
	}
	if target.tasks == 0 && stuck {
		target = b.nextWithCapacity(owned, j)
		j.OwnerState.Unplaceable = false
	}
	return target
}

// mostFreeSlots returns the other partition with the most free capacity in excess of its own pending
// tasks.
func (b *Balancer) mostFreeSlots(owned *core.OwnedPartition, j *core.Job, freeSlots []int) moveTarget {
	best := moveTarget{}
	for i, free := range freeSlots {
		partition := api.PartitionID(i)
		if partition == owned.ID {
			continue
		}
		if spare := free - b.deps.Capacity.CompetingTasksIn(partition, j.Spec); spare > best.tasks {
			best = moveTarget{partition, spare}
		}
	}
	return best
}

// targetForWholeJob corrects the target of a job whose tasks must all be in one partition to a
// partition with capacity for the whole job, now or, if the job's priority allows it, after preemption.
// The job stays if its own partition has this capacity.
func (b *Balancer) targetForWholeJob(owned *core.OwnedPartition, j *core.Job, target moveTarget) (corrected moveTarget, stays bool) {
	if target.tasks == 0 {
		target = b.largestForWholeJob(owned, j)
	}
	holders, afterPreemption := b.PartitionsWithCapacity(j.Spec)
	if holders[owned.ID] {
		return moveTarget{}, true
	}
	if len(holders) == 0 {
		if afterPreemption[owned.ID] {
			return moveTarget{}, true
		}
		holders = afterPreemption
	}
	if len(holders) > 0 && !holders[target.partition] {
		target = moveTarget{slices.Min(slices.Collect(maps.Keys(holders))), j.Spec.Tasks}
	}
	return target, false
}

// largestForWholeJob returns the partition with the most total capacity for a job that does not fit
// its own partition even if this were empty. There the job can wait for capacity or preempt tasks.
func (b *Balancer) largestForWholeJob(owned *core.OwnedPartition, j *core.Job) moveTarget {
	best := moveTarget{}
	slots := b.deps.Capacity.TotalSlotsByPartition(j.Spec)
	if slots[owned.ID] >= j.Spec.Tasks {
		return best
	}
	for partition, count := range slots {
		if count >= j.Spec.Tasks && count > best.tasks {
			best = moveTarget{api.PartitionID(partition), count}
		}
	}
	return best
}

// balanceTarget finds the partition with the fewest competing pending tasks relative to its capacity.
// It applies only with priority rules: else tasks of lower precedence would start in that partition
// while the job's tasks wait here.
func (b *Balancer) balanceTarget(owned *core.OwnedPartition, j *core.Job) moveTarget {
	best := moveTarget{}
	if len(b.core.Settings.Priority) == 0 {
		return best
	}
	slots := b.deps.Capacity.TotalSlotsByPartition(j.Spec)
	waiting := j.PendingTasks(owned.ID)
	waitingHere, slotsHere := float64(b.deps.Capacity.CompetingTasksIn(owned.ID, j.Spec)), float64(slots[owned.ID])
	for i, count := range slots {
		partition, slotsThere := api.PartitionID(i), float64(count)
		if partition == owned.ID || count == 0 {
			continue
		}
		waitingThere := float64(b.deps.Capacity.CompetingTasksIn(partition, j.Spec))
		surplus := (waitingHere*slotsThere - waitingThere*slotsHere) / (slotsHere + slotsThere)
		if int(surplus) > best.tasks && surplus > minRebalanceShare*waitingHere {
			best = moveTarget{partition, min(waiting, int(surplus))}
		}
	}
	return best
}

// nextWithCapacity returns the next partition, in order of ID, with machines that a job may use.
func (b *Balancer) nextWithCapacity(owned *core.OwnedPartition, j *core.Job) moveTarget {
	slots := b.deps.Capacity.TotalSlotsByPartition(j.Spec)
	for i := 1; i < len(slots); i++ {
		if next := (int(owned.ID) + i) % len(slots); slots[next] > 0 {
			return moveTarget{api.PartitionID(next), j.PendingTasks(owned.ID)}
		}
	}
	return moveTarget{}
}

// moveTasks writes a job's record with pending tasks assigned to another partition, and reports
// whether it has sent a write.
func (b *Balancer) moveTasks(owned *core.OwnedPartition, j *core.Job, target moveTarget) bool {
	split, ok := splitAfterMove(j, owned.ID, target.partition, target.tasks)
	if !ok {
		return false
	}
	value := j.JobValue
	value.Split = split
	data, err := json.Marshal(value)
	if err != nil || b.core.JobExceedsValueSize(data) {
		return false
	}
	j.OwnerState.RebalancedAt = b.core.Now
	owned.MoveInFlight = true
	jobID, key := j.ID, clusterstate.KeyJob+string(j.ID)
	txn := api.Txn{
		If:     []api.Condition{{Key: key, Version: j.Version}, owned.OwnershipCondition()},
		Writes: []api.Write{{Put: key, Value: data}},
	}
	settle := func() { owned.MoveInFlight = false }
	b.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		if response.Status == 200 {
			b.core.Metrics.TaskMoves++
		}
		slog.Info("pending tasks moved", "job", jobID, "from", owned.ID, "to", target.partition, "max_tasks", target.tasks, "status", response.Status)
		b.deps.Log.LinearizableRead(settle, settle)
	})
	return true
}
