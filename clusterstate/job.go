// Jobs: their records, the state that users see, and the indexes by what is left to do.

package clusterstate

import (
	"encoding/json"

	"basaltwall/api"
)

// Job is an accepted job that is not yet archived. J is what owners of partitions track of it.
type Job[J, P any] struct {
	JobValue
	ID              api.JobID
	Demand          api.Resources
	Version         api.Revision
	Completed       TaskSet
	CompletedCount  int
	Placements      map[int]*Placement[J, P] // by task
	PlacementCounts map[api.PartitionID]int  // number of placements by partition
	FinishingCount  int                      // placements whose end is known but not yet recorded
	RetryCount      int                      // starts that ended otherwise than by completing, since this process knows the job
	OwnerState      J

	completedBy              map[api.PartitionID]*TaskSet
	liveCount                int                      // placements that are not finishing
	transferredCount         int                      // placements in another partition than the one that starts the task
	cancellationAcknowledged map[api.PartitionID]bool // partitions whose owner has recorded that it stops the job's tasks
}

// State is the job's state as users see it. A job all of whose tasks are completed is done even
// when a cancellation is recorded too: no completion is recorded after a cancellation, so the
// completion came first. A cancellation does not show before every owner that could keep its
// tasks alive has acknowledged it, see CancellationConfirmed.
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

// CancellationConfirmed reports whether users may see a recorded cancellation: the owner of
// each partition that holds placements of the job has recorded that it knows of the cancellation
// and alone commands their machines. No placement is added after a cancellation, and both the
// placements and the acknowledgements are replicated, so once this holds for one controller it
// holds for every one that reads later.
func (j *Job[J, P]) CancellationConfirmed() bool {
	for partition, count := range j.PlacementCounts {
		if count > 0 && !j.cancellationAcknowledged[partition] {
			return false
		}
	}
	return true
}

// CancellationAcknowledged reports whether a partition's owner has recorded that it knows of the job's cancellation.
func (j *Job[J, P]) CancellationAcknowledged(partition api.PartitionID) bool {
	return j.cancellationAcknowledged[partition]
}

// Terminal reports whether the job is completed or cancelled, for planning; users see State.
func (j *Job[J, P]) Terminal() bool { return j.CompletedCount >= j.Spec.Tasks || j.Cancelled }

// HasPendingTasks reports whether some task of the job is neither completed nor placed; finishing
// placements do not count as placed.
func (j *Job[J, P]) HasPendingTasks() bool {
	return j.CompletedCount+len(j.Placements)-j.FinishingCount < j.Spec.Tasks
}

// PendingTasks counts the job's tasks in a partition that are neither completed nor placed. It
// does not look at each task: a job may have 100,000.
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

// markCompleted records that a partition completed a task; an invalid index is ignored.
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

// maxJobResults bounds the results of archived jobs that are remembered.
const maxJobResults = 50_000

// putJob applies the key of a job.
func (s *State[J, P]) putJob(name string, value json.RawMessage, version api.Revision) error {
	var v JobValue
	if err := json.Unmarshal(value, &v); err != nil {
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
	j.JobValue, j.Demand, j.Version = v, v.Spec.Demand(), version
	if v.Tenant != "" {
		if s.JobsByTenant[v.Tenant] == nil {
			s.JobsByTenant[v.Tenant] = map[api.JobID]*Job[J, P]{}
		}
		s.JobsByTenant[v.Tenant][jobID] = j
	}
	s.reindex(j)
	return nil
}

// deleteJob applies the deletion of a job that was archived.
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

// LiveCount is how many of the job's placements are not finishing.
func (j *Job[J, P]) LiveCount() int { return j.liveCount }

// reindex updates the sets of jobs by what is left to do for them, so that no round looks at the
// many jobs that need nothing.
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

// SetJobResult remembers the result of a job that is archived, for the latest maxJobResults jobs.
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
