// This file holds the queue of machines to delete, and deletes them in batches.

package autoscale

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

const (
	// maxDeletionBackoff is the maximum delay of the next deletion call after failures.
	maxDeletionBackoff = 8 * time.Second
	// maxBackoffDoublings bounds the exponent of the backoff, against overflow.
	maxBackoffDoublings = 16
	// cancelledDeletionDelay is the time without calls to a machine after its deletion was
	// cancelled.
	cancelledDeletionDelay = time.Second

	// labelHashRange is the range of the hash of the controller's label, which seeds the
	// jitter of the backoff.
	labelHashRange = 1 << 30
)

// deletionQueue holds the machines to delete and the state of the deletion call.
type deletionQueue struct {
	pending  []pendingDeletion
	inFlight bool
	nextAt   api.Time
	failures int        // consecutive failed calls
	rng      *rand.Rand // for the jitter of the backoff
}

// pendingDeletion is a machine to delete.
type pendingDeletion struct {
	machine   *core.Machine
	partition *core.OwnedPartition
	reason    core.DeletionReason
}

func newDeletionQueue(shared *core.Core) deletionQueue {
	seed := core.HashPartition(api.MachineID(shared.Config.Label), labelHashRange)
	return deletionQueue{rng: rand.New(rand.NewPCG(uint64(shared.Incarnation), uint64(seed)))}
}

// ScheduleDeletion queues a machine for deletion by the cloud. The cloud's confirmation proves
// that the machine's tasks have ended.
func (as *Manager) ScheduleDeletion(m *core.Machine, owned *core.OwnedPartition, reason core.DeletionReason) {
	m.Deleting = true
	m.Unreachable = reason == core.DeletionReasonUnreachable || reason == core.DeletionReasonCancelled || reason == core.DeletionReasonZoneLost
	as.deletions.pending = append(as.deletions.pending, pendingDeletion{machine: m, partition: owned, reason: reason})
}

// PendingDeletionCount returns the number of queued deletions.
func (as *Manager) PendingDeletionCount() int { return len(as.deletions.pending) }

// DeletionsBackingOff reports whether deletion calls fail and the next one is delayed.
func (as *Manager) DeletionsBackingOff() bool {
	return as.deletions.failures > 0 && as.core.Now < as.deletions.nextAt
}

// ProcessDeletions deletes a batch of queued machines. A linearizable read first confirms that
// this controller still owns their partitions: a deposed owner, perhaps in a network partition,
// must not delete machines that the new owner uses.
func (as *Manager) ProcessDeletions() {
	queue := &as.deletions
	if queue.inFlight || len(queue.pending) == 0 || as.core.Now < queue.nextAt {
		return
	}
	queue.inFlight = true
	batch := as.takeDeletionBatch()
	as.deps.Follower.LinearizableRead(
		func() { as.deleteBatch(batch) },
		func() {
			as.finishDeletionCall(false)
			as.cancelDeletions(batch)
		})
}

// takeDeletionBatch removes the most urgent deletions from the queue: first those that confirm
// a cancellation before its deadline, then those of a lost zone in the order of its evacuation
// plan, then by the number of tasks of services and gangs on the machine.
func (as *Manager) takeDeletionBatch() []pendingDeletion {
	queue := &as.deletions
	slices.SortStableFunc(queue.pending, func(a, b pendingDeletion) int {
		if c := a.rank() - b.rank(); c != 0 || a.reason == core.DeletionReasonZoneLost {
			return c
		}
		return as.nonArrayTasks(b.machine) - as.nonArrayTasks(a.machine)
	})
	size := min(len(queue.pending), core.MaxDeletionBatch)
	batch := slices.Clone(queue.pending[:size])
	queue.pending = slices.Clone(queue.pending[size:])
	return batch
}

// rank returns the position of a deletion by its reason; lower is more urgent.
func (deletion pendingDeletion) rank() int {
	switch deletion.reason {
	case core.DeletionReasonCancelled:
		return 0
	case core.DeletionReasonZoneLost:
		return 1
	default:
		return 2
	}
}

// nonArrayTasks counts the tasks of services and gangs on a machine.
func (as *Manager) nonArrayTasks(m *core.Machine) int {
	count := 0
	for _, p := range as.core.State.PlacementsOn(m.ID) {
		if p.Job.Spec.Kind != api.Array && !p.Job.Terminal() {
			count++
		}
	}
	return count
}

// deleteBatch deletes the machines of a batch whose reasons for deletion still hold.
func (as *Manager) deleteBatch(batch []pendingDeletion) {
	confirmed := as.confirmDeletions(batch)
	if len(confirmed) == 0 {
		as.finishDeletionCall(true)
		return
	}
	var ids []api.MachineID
	for _, deletion := range confirmed {
		ids = append(ids, deletion.machine.ID)
	}
	as.core.CallCloud(message.CloudCall{Delete: ids}, func(response message.CloudResponse) {
		deleted := response.Status == statusOK
		as.finishDeletionCall(deleted)
		if !deleted {
			as.cancelDeletions(confirmed)
			return
		}
		for _, deletion := range confirmed {
			as.completeDeletion(deletion)
		}
	})
}

// confirmDeletions cancels the deletions whose reasons no longer hold, and returns the others.
func (as *Manager) confirmDeletions(batch []pendingDeletion) []pendingDeletion {
	var confirmed []pendingDeletion
	for _, deletion := range batch {
		if !as.stillDue(deletion) {
			as.cancelDeletion(deletion)
			continue
		}
		id := deletion.machine.ID
		slog.Info("deleting machine", "machine", id, "reason", string(deletion.reason), "tasks", len(as.core.State.PlacementsOn(id)))
		confirmed = append(confirmed, deletion)
	}
	return confirmed
}

// stillDue reports whether the reason for a deletion still holds.
func (as *Manager) stillDue(deletion pendingDeletion) bool {
	m, owned := deletion.machine, deletion.partition
	if as.core.Partitions[owned.ID] != owned || as.core.PartitionOf(m.ID) != owned.ID {
		return false
	}
	switch deletion.reason {
	case core.DeletionReasonIdle:
		return len(as.core.State.PlacementsOn(m.ID)) == 0
	case core.DeletionReasonZoneLost:
		return as.deps.Health.RecordedState(m.Zone) == zonehealth.Failed
	default:
		return true
	}
}

// cancelDeletions cancels deletions; the machines may be scheduled for deletion again.
func (as *Manager) cancelDeletions(deletions []pendingDeletion) {
	for _, deletion := range deletions {
		as.cancelDeletion(deletion)
	}
}

func (as *Manager) cancelDeletion(deletion pendingDeletion) {
	deletion.machine.Deleting = false
	deletion.machine.NextCallAt = as.core.Now.Add(cancelledDeletionDelay)
}

// finishDeletionCall sets the time of the next deletion call. Failures delay it by an
// exponential backoff with jitter: after the loss of a zone all owners delete many machines,
// and the cloud may be down at the same time.
func (as *Manager) finishDeletionCall(ok bool) {
	queue, interval := &as.deletions, as.core.CloudCallInterval
	queue.inFlight = false
	if ok {
		queue.failures, queue.nextAt = 0, as.core.Now.Add(interval)
		return
	}
	queue.failures++
	backoff := min(maxDeletionBackoff, interval<<min(queue.failures, maxBackoffDoublings))
	jitter := time.Duration(queue.rng.Int64N(int64(backoff/2) + 1))
	queue.nextAt = as.core.Now.Add(backoff/2 + jitter)
}

// completeDeletion records that the cloud has deleted a machine and ends its tasks.
func (as *Manager) completeDeletion(deletion pendingDeletion) {
	m, owned := deletion.machine, deletion.partition
	as.deletedAt[m.ID] = as.core.Now
	delete(as.scaleOuts.backoffUntil, core.MachineOffer{Type: m.MachineType, Zone: m.Zone, Spot: m.Spot}) // the offer may have capacity again
	if m.Spot && deletion.wasReclaimed() {
		as.spot.reclaimed++
	}
	as.deps.Balancer.DropLoanRecord(owned, m.ID)
	if as.core.Partitions[owned.ID] == owned {
		as.endTasks(m, owned)
	}
	as.deps.Agents.ForgetMachine(m.ID)
}

// wasReclaimed reports whether a spot machine was presumably reclaimed by the cloud.
func (deletion pendingDeletion) wasReclaimed() bool {
	return deletion.reason == core.DeletionReasonUnreachable || deletion.reason == core.DeletionReasonCancelled || deletion.machine.ReclaimNotice
}

// endTasks records that the tasks of a deleted machine have ended.
func (as *Manager) endTasks(m *core.Machine, owned *core.OwnedPartition) {
	for _, p := range as.core.State.PlacementsOn(m.ID) {
		if p.Partition == owned.ID && !p.Finishing {
			as.deps.Scheduler.RecordTaskEnd(owned, p, false, core.EndReasonMachineDeleted)
		}
	}
	owned.NeedsRound = true
}
