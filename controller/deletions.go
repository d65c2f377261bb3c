package controller

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// ScheduleDeletion has the cloud delete a machine; its answer proves the tasks over.
func (as *Autoscaler) ScheduleDeletion(m *core.Machine, owned *core.OwnedPartition, reason string) {
	m.Deleting = true
	m.Unreachable = reason == deleteReasonUnreachable || reason == deleteReasonCancelled || reason == deleteReasonZoneLost
	as.pendingDeletions = append(as.pendingDeletions, pendingDeletion{m, owned, reason})
}

// pendingDeletion is a machine that is to be deleted.
type pendingDeletion struct {
	machine   *core.Machine
	partition *core.OwnedPartition
	reason    string
}

// ProcessDeletions deletes what is to be deleted, many by one call. That the parts
// are still ours is read first: a deposed owner, cut off perhaps, must not delete
// what another has put to use.
func (as *Autoscaler) ProcessDeletions() {
	if as.deletionInFlight || len(as.pendingDeletions) == 0 || as.core.Now < as.nextDeletionAt {
		return
	}
	as.deletionInFlight = true
	// What a rule wants gone in time first, then a lost zone's in the order of the plan,
	// then work that should never stop or that others of its gang wait for.
	rank := func(deletion pendingDeletion) int {
		return slices.Index([]string{deleteReasonCancelled, deleteReasonZoneLost, deletion.reason}, deletion.reason)
	}
	slices.SortStableFunc(as.pendingDeletions, func(a, b pendingDeletion) int {
		if c := rank(a) - rank(b); c != 0 || a.reason == deleteReasonZoneLost {
			return c
		}
		return as.nonArrayTasks(b.machine) - as.nonArrayTasks(a.machine)
	})
	batch := slices.Clone(as.pendingDeletions[:min(len(as.pendingDeletions), MaxDeletionBatch)])
	as.pendingDeletions = slices.Clone(as.pendingDeletions[len(batch):])
	finish := func(ok bool) {
		if as.deletionInFlight = false; ok {
			as.deletionFailures, as.nextDeletionAt = 0, as.core.Now.Add(as.core.CloudCallInterval)
			return
		}
		// Twice as long each time, and not in step with the other owners: all of them have
		// much to delete when a zone is lost, and the cloud may be down just then.
		as.deletionFailures++
		backoff := min(maxDeletionBackoff, as.core.CloudCallInterval<<min(as.deletionFailures, 16))
		as.nextDeletionAt = as.core.Now.Add(backoff/2 + time.Duration(as.rng.Int64N(int64(backoff/2)+1)))
	}
	cancelDeletion := func(deletion pendingDeletion) {
		deletion.machine.Deleting = false
		deletion.machine.NextCallAt = as.core.Now.Add(time.Second)
	}
	as.c.follower.LinearizableRead(func() {
		var ids []api.MachineID
		var confirmed []pendingDeletion
		for _, deletion := range batch {
			if as.core.Partitions[deletion.partition.ID] != deletion.partition || as.core.PartitionOf(deletion.machine.ID) != deletion.partition.ID || deletion.reason == deleteReasonIdle && len(as.core.State.PlacementsOn(deletion.machine.ID)) > 0 ||
				deletion.reason == deleteReasonZoneLost && as.c.health.RecordedState(deletion.machine.Zone) != zonehealth.Failed {
				cancelDeletion(deletion) // what was decided is not so any more
				continue
			}
			slog.Info("deleting machine", "machine", deletion.machine.ID, "reason", deletion.reason, "tasks", len(as.core.State.PlacementsOn(deletion.machine.ID)))
			ids, confirmed = append(ids, deletion.machine.ID), append(confirmed, deletion)
		}
		if len(ids) == 0 {
			finish(true)
			return
		}
		as.core.CallCloud(message.CloudCall{Delete: ids}, func(a message.CloudResponse) {
			finish(a.Status == 200)
			for _, deletion := range confirmed {
				if a.Status != 200 {
					cancelDeletion(deletion)
					continue
				}
				as.fleet.deletedAt[deletion.machine.ID] = as.core.Now
				delete(as.fleet.offerBackoff, machineOffer{Type: deletion.machine.MachineType, Zone: deletion.machine.Zone, Spot: deletion.machine.Spot}) // there may be room again
				if deletion.machine.Spot && (deletion.reason == deleteReasonUnreachable || deletion.reason == deleteReasonCancelled || deletion.machine.ReclaimNotice) {
					as.fleet.spotPreemptions++
				}
				as.c.balancer.DropLoanRecord(deletion.partition, deletion.machine.ID)
				if as.core.Partitions[deletion.partition.ID] == deletion.partition {
					for _, p := range as.core.State.PlacementsOn(deletion.machine.ID) {
						if p.Partition == deletion.partition.ID && !p.Finishing {
							as.c.scheduler.RecordTaskEnd(deletion.partition, p, false, core.EndReasonMachineDeleted)
						}
					}
					deletion.partition.Dirty = true
				}
				as.c.agents.ForgetMachine(deletion.machine.ID)
			}
		})
	}, func() {
		finish(false)
		for _, deletion := range batch {
			cancelDeletion(deletion)
		}
	})
}

// nonArrayTasks counts the tasks on a machine that are not of an array.
func (as *Autoscaler) nonArrayTasks(m *core.Machine) int {
	count := 0
	for _, p := range as.core.State.PlacementsOn(m.ID) {
		if p.Job.Spec.Kind != api.Array && !p.Job.Terminal() {
			count++
		}
	}
	return count
}

// maxDeletionBackoff is how long the next deletion waits at most after some that failed.
const maxDeletionBackoff = 8 * time.Second

// The protocol's bounds on names in a deletion and on machines in a rental.
const (
	MaxDeletionBatch = 100
	maxScaleOutBatch = 50
)

// Why a machine is deleted.
const (
	deleteReasonIdle        = "idle"
	deleteReasonUnreachable = "not reachable"
	deleteReasonZoneLost    = "lost with its zone"
	deleteReasonCancelled   = "not reachable, with a cancelled task"
)

// PendingDeletionCount is how many machines wait for their deletion.
func (as *Autoscaler) PendingDeletionCount() int { return len(as.pendingDeletions) }

// DeletionsBackingOff reports whether deletions failed and the next is not due yet.
func (as *Autoscaler) DeletionsBackingOff() bool {
	return as.deletionFailures > 0 && as.core.Now < as.nextDeletionAt
}
