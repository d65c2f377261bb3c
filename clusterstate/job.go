// Jobs: their records, their states as shown to users, and indexes of jobs by state.

package clusterstate

import (
	"encoding/json"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Job is an accepted job that is not yet archived. J is the type of the state that owners of partitions
// track without recording it.
type Job[J, P any] struct {
	JobValue
	ID              api.JobID
	Demand          api.Resources
	Version         api.Revision
	Completed       TaskSet
	CompletedCount  int
	Placements      map[int]*Placement[J, P] // by task index
	PlacementCounts map[api.PartitionID]int  // number of placements by partition
	FinishingCount  int                      // number of placements whose end is known but not yet recorded
	RetryCount      int                      // number of starts, seen by this process, that ended without completion
	OwnerState      J

	completedBy              map[api.PartitionID]*TaskSet
	liveCount                int                      // number of placements that are not finishing
	transferredCount         int                      // number of placements outside the partition that starts their task
	cancellationAcknowledged map[api.PartitionID]bool // partitions whose owner has acknowledged the job's cancellation
}

// State returns the job's state as shown to users. A job with all tasks completed is done even if a
// cancellation is recorded too, since no completion is recorded after a cancellation. A cancellation
// shows only once it is confirmed, see CancellationConfirmed.
func (j *Job[J, P]) State() api.JobState {
	switch {
	case j.CompletedCount >= j.Spec.Tasks:
		return api.JobDone
	case j.Cancelled && j.CancellationConfirmed():
		return api.JobCancelled
	case len(j.Placements) > 0:
		return api.JobRunning
	}
	return api.JobPending
}

// CancellationConfirmed reports whether a recorded cancellation may be shown to users: the owner of each
// partition with placements of the job has acknowledged it. No placement is added after a cancellation,
// and placements and acknowledgements are replicated, so a confirmation holds for all later reads of any
// controller.
func (j *Job[J, P]) CancellationConfirmed() bool {
	for partition, count := range j.PlacementCounts {
		if count > 0 && !j.cancellationAcknowledged[partition] {
			return false
		}
	}
	return true
}

// CancellationAcknowledged reports whether a partition's owner has acknowledged the job's cancellation.
func (j *Job[J, P]) CancellationAcknowledged(partition api.PartitionID) bool {
	return j.cancellationAcknowledged[partition]
}

// Terminal reports whether the job is completed or its cancellation is recorded. It is for scheduling;
// State is for users.
func (j *Job[J, P]) Terminal() bool { return j.CompletedCount >= j.Spec.Tasks || j.Cancelled }

// HasPendingTasks reports whether the job has tasks that are neither completed nor placed. Finishing
// placements do not count as placed.
func (j *Job[J, P]) HasPendingTasks() bool {
	return j.CompletedCount+len(j.Placements)-j.FinishingCount < j.Spec.Tasks
}

// PendingTasks returns the number of the job's tasks in a partition that are neither completed nor
// placed. It is fast for very large jobs, since it does not visit each task.
func (j *Job[J, P]) PendingTasks(partition api.PartitionID) int {
	if j.CompletedCount+len(j.Placements) >= j.Spec.Tasks {
		return 0
	}
	c := 0
	for _, r := range j.Split {
		if r.Partition == partition {
			c += r.To - r.From - j.Completed.Count(r.From, r.To)
		}
	}
	return max(0, c-j.PlacementCounts[partition]+j.transferAdjustment(partition))
}

// markCompleted records the completion of a task in a partition; an invalid index is ignored.
func (j *Job[J, P]) markCompleted(partition api.PartitionID, i int) {
	if i < 0 || i >= j.Spec.Tasks {
		return
	}
	if j.completedBy[partition] == nil {
		j.completedBy[partition] = &TaskSet{}
	}
	j.completedBy[partition].Add(i)
	if j.Completed.Add(i) {
		j.CompletedCount++
	}
}

// maxJobResults is the maximum number of archived jobs in State.JobResults.
const maxJobResults = 50_000

// putJob applies the value of a job's key.
func (s *State[J, P]) putJob(name string, value json.RawMessage, version api.Revision) error {
	var v JobValue
	if err := exactjson.Decode(value, &v); err != nil {
		return err
	}
	if v.Spec == nil {
		return ErrNoJobSpec
	}
	jobID := api.JobID(name)
	j := s.Jobs[jobID]
	if j == nil {
		j = &Job[J, P]{
			ID:                       jobID,
			Placements:               map[int]*Placement[J, P]{},
			PlacementCounts:          map[api.PartitionID]int{},
			completedBy:              map[api.PartitionID]*TaskSet{},
			cancellationAcknowledged: map[api.PartitionID]bool{},
		}
		s.Jobs[jobID] = j
	}
	reduced := j.Spec != nil && v.Spec.Tasks < j.Spec.Tasks
	j.JobValue, j.Demand, j.Version = v, v.Spec.Demand(), version
	if reduced {
		s.removeExcessPlacements(j)
	}
	if v.Tenant != "" {
		if s.JobsByTenant[v.Tenant] == nil {
			s.JobsByTenant[v.Tenant] = map[api.JobID]*Job[J, P]{}
		}
		s.JobsByTenant[v.Tenant][jobID] = j
	}
	s.reindex(j)
	return nil
}

// removeExcessPlacements removes the placements of tasks that the job does not have any more. A controller that
// loads the state ignores their starts, see applyDeltas.
func (s *State[J, P]) removeExcessPlacements(j *Job[J, P]) {
	for _, i := range slices.Sorted(maps.Keys(j.Placements)) {
		if i >= j.Spec.Tasks {
			s.removePlacement(j.Placements[i])
		}
	}
}

// deleteJob applies the deletion of an archived job's key.
func (s *State[J, P]) deleteJob(name string) {
	jobID := api.JobID(name)
	j := s.Jobs[jobID]
	if j == nil {
		return
	}
	if j.Terminal() {
		s.SetJobResult(jobID, j.State())
	}
	for _, p := range j.Placements {
		s.removePlacement(p)
	}
	if jobs := s.JobsByTenant[j.Tenant]; jobs != nil {
		if delete(jobs, jobID); len(jobs) == 0 {
			delete(s.JobsByTenant, j.Tenant)
		}
	}
	delete(s.Jobs, jobID)
	delete(s.PendingJobs, jobID)
	delete(s.FinishedJobs, jobID)
	delete(s.CancellingJobs, jobID)
}

// LiveCount returns the number of the job's placements that are not finishing.
func (j *Job[J, P]) LiveCount() int { return j.liveCount }

// reindex updates a job's membership in PendingJobs, FinishedJobs and CancellingJobs.
func (s *State[J, P]) reindex(j *Job[J, P]) {
	delete(s.PendingJobs, j.ID)
	delete(s.FinishedJobs, j.ID)
	delete(s.CancellingJobs, j.ID)
	switch {
	case j.Terminal() && len(j.Placements) == 0:
		s.FinishedJobs[j.ID] = j
	case j.Cancelled && len(j.Placements) > 0:
		s.CancellingJobs[j.ID] = j
	case !j.Terminal() && j.HasPendingTasks():
		s.PendingJobs[j.ID] = j
	}
}

// SetJobResult stores the result of an archived job. Only the latest maxJobResults are retained.
func (s *State[J, P]) SetJobResult(jobID api.JobID, state api.JobState) {
	if _, known := s.JobResults[jobID]; !known {
		s.resultOrder = append(s.resultOrder, jobID)
		if len(s.resultOrder) > maxJobResults {
			delete(s.JobResults, s.resultOrder[0])
			s.resultOrder = s.resultOrder[1:]
		}
	}
	s.JobResults[jobID] = state
}
