package rounds

// This file records the completion of gangs, whose tasks complete together.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// isCompletion reports whether the end of a placement is recorded as a completion. No completion is
// recorded after the cancellation of the job: otherwise a job reported as cancelled could be
// reported as done later. When one task of a gang is done, all are.
func (b *roundBuilder) isCompletion(placement *core.Placement) bool {
	if placement.Job.Cancelled {
		return false
	}
	return b.owned.PendingEnds[placement] || placement.Job.Spec.Kind == api.Gang && b.isGangDone(placement.Job)
}

// isGangDone reports whether a task of a gang has completed: as recorded, in this round, or as reported
// since.
func (b *roundBuilder) isGangDone(j *core.Job) bool {
	if j.CompletedCount > 0 {
		return true
	}
	for _, placement := range j.Placements {
		if b.round.Ends[placement] || b.owned.PendingEnds[placement] {
			return true
		}
	}
	return false
}

// completeGangs records the completion of the remaining tasks of gangs of which some tasks are recorded as
// completed. A task may have ended without a result before, because its agent's lease ran out or its machine
// was deleted after the gang had completed. Such a task has no placement and can't start again, since the
// others can't.
func (s *Scheduler) completeGangs(b *roundBuilder) {
	var gangs []api.JobID
	for id, j := range s.core.State.PendingJobs {
		if j.Spec.Kind == api.Gang && !j.Cancelled && ownsFirstTask(b.owned.ID, j) && b.recordsCompletion(j) {
			gangs = append(gangs, id)
		}
	}
	for _, id := range slices.Sorted(slices.Values(gangs)) {
		b.completeGang(s.core.State.Jobs[id])
	}
}

// recordsCompletion reports whether a completion of a job is recorded, or will be with this round.
func (b *roundBuilder) recordsCompletion(j *core.Job) bool {
	d := b.deltas[j.ID]
	return j.CompletedCount > 0 || d != nil && len(d.Completed) > 0
}

// completeGang records the completion of the tasks of a gang that are neither completed nor placed, as far as
// there is space left. Only the owner of its first task does so, since only that owner starts its tasks. The
// round is conditional on the job's version, so that none is recorded after a cancellation.
func (b *roundBuilder) completeGang(j *core.Job) {
	for task := range j.Spec.Tasks {
		if j.Completed.Has(task) || j.Placements[task] != nil {
			continue
		}
		if b.exceedsConditions(j.ID) || !b.reserve(j.ID, taskEndBytes, true) {
			b.owned.NeedsRound = true
			return
		}
		d := b.delta(j)
		d.Completed = append(d.Completed, task)
		b.conditionalJobs[j.ID] = true
	}
}
