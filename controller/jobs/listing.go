package jobs

import (
	"cmp"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// This file lists jobs for operators.

// Listing is a list of unfinished jobs, the latest first, with counts of all of them.
type Listing struct {
	OpenCount int    `json:"open"`
	LateCount int    `json:"late"`
	Jobs      []View `json:"jobs"`
}

// View is a job as shown to operators. A job is late when it has missed its first completion
// objective (a service or a gang: its start objective), or will miss it by the user's estimate.
type View struct {
	JobID      api.JobID         `json:"job"`
	Team       api.Team          `json:"team"`
	Tardiness  float64           `json:"late_s,omitempty"` // expected, in seconds
	Reasons    []string          `json:"why,omitempty"`
	Class      api.Class         `json:"class"`
	State      api.JobState      `json:"state"`
	Tasks      int               `json:"tasks"`
	Completed  int               `json:"done"`
	Placed     int               `json:"placed"`
	Partitions []api.PartitionID `json:"parts"`
	Elapsed    float64           `json:"elapsed_s"`
}

// ViewJobs lists up to limit unfinished jobs of one team or, if team is empty, of all teams. The
// costly details, such as the pending reasons, are computed for the listed jobs only.
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
	capacityGroups := s.deps.Capacity.FreeCapacityGroups()
	for _, e := range entries[:min(limit, len(entries))] {
		listing.Jobs = append(listing.Jobs, s.ViewJob(e.job, capacityGroups))
	}
	return listing
}

// secondsSinceAccepted returns a job's age; clock skew between controllers can make it negative.
func (s *Service) secondsSinceAccepted(j *core.Job) float64 {
	return float64(s.core.WallClock-j.AcceptedAt) / 1000
}

// tardiness returns the actual or expected delay of a job beyond its objective, in seconds; 0 if
// the job can still meet it.
func (s *Service) tardiness(j *core.Job) float64 {
	elapsed := max(0, s.secondsSinceAccepted(j))
	hasPending := j.CompletedCount+len(j.Placements)-j.FinishingCount < j.Spec.Tasks
	if j.Spec.Kind != api.Array { // the objective is about the start of the last task
		if startObjective := s.core.StartObjective(j.Spec.Class); startObjective > 0 && hasPending {
			return max(0, elapsed-startObjective)
		}
		if j.Spec.Kind == api.Service {
			return 0
		}
	}
	remaining := 0.0 // a pending task needs the whole estimate
	if hasPending {
		remaining = j.Spec.Estimate
	}
	if objectives := s.core.CompletionObjectives(j.Spec); len(objectives) > 0 {
		return max(0, elapsed+remaining-objectives[0])
	}
	return 0
}

// ViewJob describes a job and, if it is unfinished, the reasons why its tasks are pending or were
// delayed.
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
