package controller

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/zonehealth"
)

// scheduleDeletion has the cloud delete a machine; its answer proves the tasks over.
func (n *Controller) scheduleDeletion(m *Machine, owned *ownedPartition, reason string) {
	m.deleting = true
	m.unreachable = reason == deleteReasonUnreachable || reason == deleteReasonCancelled || reason == deleteReasonZoneLost
	n.pendingDeletions = append(n.pendingDeletions, pendingDeletion{m, owned, reason})
}

// pendingDeletion is a machine that is to be deleted.
type pendingDeletion struct {
	machine   *Machine
	partition *ownedPartition
	reason    string
}

// processDeletions deletes what is to be deleted, many by one call. That the parts
// are still ours is read first: a deposed owner, cut off perhaps, must not delete
// what another has put to use.
func (n *Controller) processDeletions() {
	if n.deletionInFlight || len(n.pendingDeletions) == 0 || n.now < n.nextDeletionAt {
		return
	}
	n.deletionInFlight = true
	// What a rule wants gone in time first, then a lost zone's in the order of the plan,
	// then work that should never stop or that others of its gang wait for.
	rank := func(deletion pendingDeletion) int {
		return slices.Index([]string{deleteReasonCancelled, deleteReasonZoneLost, deletion.reason}, deletion.reason)
	}
	slices.SortStableFunc(n.pendingDeletions, func(a, b pendingDeletion) int {
		if c := rank(a) - rank(b); c != 0 || a.reason == deleteReasonZoneLost {
			return c
		}
		return n.nonArrayTasks(b.machine) - n.nonArrayTasks(a.machine)
	})
	batch := slices.Clone(n.pendingDeletions[:min(len(n.pendingDeletions), maxDeletionBatch)])
	n.pendingDeletions = slices.Clone(n.pendingDeletions[len(batch):])
	finish := func(ok bool) {
		if n.deletionInFlight = false; ok {
			n.deletionFailures, n.nextDeletionAt = 0, n.now.Add(n.cloudCallInterval)
			return
		}
		// Twice as long each time, and not in step with the other owners: all of them have
		// much to delete when a zone is lost, and the cloud may be down just then.
		n.deletionFailures++
		backoff := min(maxDeletionBackoff, n.cloudCallInterval<<min(n.deletionFailures, 16))
		n.nextDeletionAt = n.now.Add(backoff/2 + time.Duration(n.rng.Int64N(int64(backoff/2)+1)))
	}
	cancelDeletion := func(deletion pendingDeletion) {
		deletion.machine.deleting = false
		deletion.machine.nextCallAt = n.now.Add(time.Second)
	}
	n.linearizableRead(func() {
		var ids []api.MachineID
		var confirmed []pendingDeletion
		for _, deletion := range batch {
			if n.partitions[deletion.partition.id] != deletion.partition || n.partitionOf(deletion.machine.ID) != deletion.partition.id || deletion.reason == deleteReasonIdle && len(n.state.PlacementsOn(deletion.machine.ID)) > 0 ||
				deletion.reason == deleteReasonZoneLost && n.zones.records[deletion.machine.zone].State != zonehealth.Failed {
				cancelDeletion(deletion) // what was decided is not so any more
				continue
			}
			slog.Info("deleting machine", "machine", deletion.machine.ID, "why", deletion.reason, "tasks", len(n.state.PlacementsOn(deletion.machine.ID)))
			ids, confirmed = append(ids, deletion.machine.ID), append(confirmed, deletion)
		}
		if len(ids) == 0 {
			finish(true)
			return
		}
		n.callCloud(CloudCall{Delete: ids}, func(a CloudResponse) {
			finish(a.Status == 200)
			for _, deletion := range confirmed {
				if a.Status != 200 {
					cancelDeletion(deletion)
					continue
				}
				n.fleet.deletedAt[deletion.machine.ID] = n.now
				delete(n.fleet.offerBackoff, machineOffer{deletion.machine.machineType, deletion.machine.zone, deletion.machine.spot}) // there may be room again
				if deletion.machine.spot && (deletion.reason == deleteReasonUnreachable || deletion.reason == deleteReasonCancelled || deletion.machine.reclaimNotice) {
					n.fleet.spotPreemptions++
				}
				n.dropLoanRecord(deletion.partition, deletion.machine.ID)
				if n.partitions[deletion.partition.id] == deletion.partition {
					for _, p := range n.state.PlacementsOn(deletion.machine.ID) {
						if p.Partition == deletion.partition.id && !p.Finishing {
							n.recordTaskEnd(deletion.partition, p, false, reasonMachineDeleted)
						}
					}
					deletion.partition.dirty = true
				}
				n.forgetMachine(deletion.machine.ID)
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
func (n *Controller) nonArrayTasks(m *Machine) int {
	count := 0
	for _, p := range n.state.PlacementsOn(m.ID) {
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
	maxDeletionBatch = 100
	maxScaleOutBatch = 50
)

// Why a machine is deleted.
const (
	deleteReasonIdle        = "idle"
	deleteReasonUnreachable = "not reachable"
	deleteReasonZoneLost    = "lost with its zone"
	deleteReasonCancelled   = "not reachable, with a cancelled task"
)
