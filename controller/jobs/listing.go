package jobs

import (
	"cmp"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// This file lists jobs for operators.

// Listing is the jobs that are not over, late ones first, and how many there are.
type Listing struct {
	OpenCount int    `json:"open"`
	LateCount int    `json:"late"`
	Jobs      []View `json:"jobs"`
}

// View is a job as operators see it. It is late when it is not complete by its first objective
// (a service: not started by it), or can't be any more by its user's estimate.
type View struct {
	JobID      api.JobID         `json:"job"`
	Team       api.Team          `json:"team"`
	Tardiness  float64           `json:"late_s,omitempty"` // as it is expected to be in the end
	Reasons    []string          `json:"why,omitempty"`
	Class      api.Class         `json:"class"`
	State      api.JobState      `json:"state"`
	Tasks      int               `json:"tasks"`
	Completed  int               `json:"done"`
	Placed     int               `json:"placed"`
	Partitions []api.PartitionID `json:"parts"`
	Elapsed    float64           `json:"elapsed_s"`
}

// ViewJobs lists up to limit jobs, of one team or of all. There may be very many: each is
// looked at once to sort them, and only those that are listed are looked into, with the
// machines counted once for all of them.
func (s *Service) ViewJobs(team api.Team, limit int) Listing {
	type entry struct {
		job       *core.Job
		tardiness float64
	}
	listing := Listing{Jobs: []View{}}
	entries := make([]entry, 0, len(s.core.State.Jobs))
	for _, j := range s.core.State.Jobs {
		if j.Terminal() || team != "" && j.Spec.Team != team {
			continue
		}
		tardiness := s.tardiness(j)
		if tardiness > 0 {
			listing.LateCount++
		}
		entries = append(entries, entry{job: j, tardiness: tardiness})
	}
	listing.OpenCount = len(entries)
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.tardiness, a.tardiness), cmp.Compare(a.job.AcceptedAt, b.job.AcceptedAt), cmp.Compare(a.job.ID, b.job.ID))
	})
	capacityGroups := s.siblings.Capacity.FreeCapacityGroups()
	for _, e := range entries[:min(limit, len(entries))] {
		listing.Jobs = append(listing.Jobs, s.ViewJob(e.job, capacityGroups))
	}
	return listing
}

// secondsSinceAccepted is a job's age, negative if the clocks of controllers differ by more.
func (s *Service) secondsSinceAccepted(j *core.Job) float64 {
	return float64(s.core.WallClock-j.AcceptedAt) / 1000
}

// tardiness is by how much a job is or will be later than it should, in seconds; 0 if it can
// still be in time.
func (s *Service) tardiness(j *core.Job) float64 {
	elapsed := max(0, s.secondsSinceAccepted(j))
	hasPending := j.CompletedCount+len(j.Placements)-j.FinishingCount < j.Spec.Tasks
	if j.Spec.Kind != api.Array { // what counts is when all of it runs
		if startObjective := s.core.StartObjective(j.Spec.Class); startObjective > 0 && hasPending {
			return max(0, elapsed-startObjective)
		}
		if j.Spec.Kind == api.Service {
			return 0
		}
	}
	remaining := 0.0 // a task that has not started needs all of its time
	if hasPending {
		remaining = j.Spec.Estimate
	}
	if objectives := s.core.CompletionObjectives(j.Spec); len(objectives) > 0 {
		return max(0, elapsed+remaining-objectives[0])
	}
	return 0
}

// ViewJob describes a job and, if it is not over, what keeps its tasks from starting or has
// slowed them down.
func (s *Service) ViewJob(j *core.Job, capacityGroups []core.FreeCapacityGroup) View {
	view := View{
		JobID:      j.ID,
		Class:      j.Spec.Class,
		Team:       j.Spec.Team,
		State:      j.State(),
		Tasks:      j.Spec.Tasks,
		Completed:  j.CompletedCount,
		Placed:     len(j.Placements),
		Partitions: []api.PartitionID{},
		Elapsed:    core.RoundToTenth(s.secondsSinceAccepted(j)),
	}
	for _, r := range j.Split {
		if !slices.Contains(view.Partitions, r.Partition) {
			view.Partitions = append(view.Partitions, r.Partition)
		}
	}
	if j.Terminal() {
		return view
	}
	view.Tardiness = core.RoundToTenth(s.tardiness(j))
	view.Reasons = slices.Concat(s.pendingReasons(j, view.Partitions, capacityGroups), delayReasons(j))
	return view
}
