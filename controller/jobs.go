package controller

import (
	"cmp"
	"fmt"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// What an operator is shown of jobs.
type (
	// JobsView is the jobs that are not over, late ones first, and how many there are.
	JobsView struct {
		OpenCount int       `json:"open"`
		LateCount int       `json:"late"`
		Jobs      []JobView `json:"jobs"`
	}
	// JobView is a job. It is late when it is not complete by its first limit (a
	// service: not started by it), or can't be any more by its owner's estimate.
	JobView struct {
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
)

// ViewJobs shows up to limit jobs, of one team or of all. There may be very many:
// each is looked at once to put them in order, and only those that are shown are
// looked into, with the machines counted once for all of them.
func (js *JobService) ViewJobs(team api.Team, limit int) JobsView {
	type entry struct {
		j    *core.Job
		late float64
	}
	v := JobsView{Jobs: []JobView{}}
	entries := make([]entry, 0, len(js.core.State.Jobs))
	for _, j := range js.core.State.Jobs {
		if j.Terminal() || team != "" && j.Spec.Team != team {
			continue
		}
		tardiness := js.tardiness(j)
		if tardiness > 0 {
			v.LateCount++
		}
		entries = append(entries, entry{j, tardiness})
	}
	v.OpenCount = len(entries)
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.late, a.late), cmp.Compare(a.j.AcceptedAt, b.j.AcceptedAt), cmp.Compare(a.j.ID, b.j.ID))
	})
	capacityGroups := js.FreeCapacityGroups()
	for _, e := range entries[:min(limit, len(entries))] {
		v.Jobs = append(v.Jobs, js.ViewJob(e.j, capacityGroups))
	}
	return v
}

// tardiness is by how much a job is or will be later than it should, in seconds; 0
// if it can still be in time.
func (js *JobService) tardiness(j *core.Job) float64 {
	elapsed := max(0, float64(js.core.WallClock-j.AcceptedAt)/1000)
	hasPending := j.CompletedCount+len(j.Placements)-j.FinishingCount < j.Spec.Tasks
	if j.Spec.Kind != api.Array { // what counts is when all of it runs
		if startObjective := js.core.StartObjective(j.Spec.Class); startObjective > 0 && hasPending {
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
	if limits := js.core.CompletionObjectives(j.Spec); len(limits) > 0 {
		return max(0, elapsed+remaining-limits[0])
	}
	return 0
}

// freeCapacityGroup is what machines that are alike have free in a part.
type freeCapacityGroup struct {
	partition   api.PartitionID
	machineKind message.MachineClass
	message.FreeCapacity
}

// FreeCapacityGroups counts the machines by what they have free.
func (js *JobService) FreeCapacityGroups() []freeCapacityGroup {
	var groups []freeCapacityGroup
	index := map[freeCapacityGroup]int{}
	js.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		count := r.Count
		r.Kind, r.Count, r.Could = 0, 0, api.Resources{}
		key := freeCapacityGroup{p, k, r}
		i, ok := index[key]
		if !ok {
			i = len(groups)
			index[key] = i
			groups = append(groups, key)
		}
		groups[i].Count += count
	})
	return groups
}

func (js *JobService) ViewJob(j *core.Job, capacityGroups []freeCapacityGroup) JobView {
	v := JobView{JobID: j.ID, Class: j.Spec.Class, Team: j.Spec.Team, State: j.State(), Tasks: j.Spec.Tasks, Completed: j.CompletedCount,
		Placed: len(j.Placements), Partitions: []api.PartitionID{}, Elapsed: core.RoundToTenth(float64(js.core.WallClock-j.AcceptedAt) / 1000)}
	for _, r := range j.Split {
		if !slices.Contains(v.Partitions, r.Partition) {
			v.Partitions = append(v.Partitions, r.Partition)
		}
	}
	if j.Terminal() {
		return v
	}
	v.Tardiness = core.RoundToTenth(js.tardiness(j))
	if rule := js.c.priorities.PendingReasonPriority(j.Spec); rule != "" && j.HasPendingTasks() {
		v.Reasons = append(v.Reasons, fmt.Sprintf("rule %q puts other work before it", rule))
	}
	for _, p := range v.Partitions {
		if w := j.PendingTasks(p); w > 0 {
			v.Reasons = append(v.Reasons, fmt.Sprintf("part %d: %d tasks wait: %s", p, w, js.PendingReason(j, p, capacityGroups)))
		}
	}
	fetching := 0
	for _, p := range j.Placements {
		if p.OwnerState.Reported && p.OwnerState.State == api.TaskFetching {
			fetching++
		}
	}
	for _, r := range []struct {
		count int
		what  string
	}{{fetching, "image being fetched for %d tasks"}, {j.OwnerState.LostTasks, "machine lost under %d tasks"},
		{j.OwnerState.PreemptedTasks, "%d tasks made way for more urgent work"},
		{j.RetryCount - j.OwnerState.LostTasks - j.OwnerState.PreemptedTasks, "%d more starts did not end with a result"}} {
		if r.count > 0 {
			v.Reasons = append(v.Reasons, fmt.Sprintf(r.what, r.count))
		}
	}
	return v
}

// PendingReason says what keeps a job's tasks from starting in a part.
func (js *JobService) PendingReason(j *core.Job, p api.PartitionID, capacityGroups []freeCapacityGroup) string {
	owner := js.core.State.Partitions[p].Owner
	switch {
	case !js.core.IsLive(owner):
		return "the part has no living owner"
	case j.OwnerState.BackoffUntil > js.core.Now:
		return fmt.Sprintf("backs off for another %.0f s after failures", j.OwnerState.BackoffUntil.Sub(js.core.Now).Seconds())
	case j.Spec.Kind == api.Gang && len(j.Placements) > 0:
		return "the gang's last attempt has not ended everywhere"
	}
	demand := j.Demand
	if j.Spec.Kind == api.Gang {
		demand = demand.Times(j.Spec.Tasks)
	}
	quotaLeft := js.core.RemainingQuota(p)[j.Spec.Team]
	demand.Mem = 0
	if !demand.Fits(quotaLeft) {
		return fmt.Sprintf("limit: team %s has %.1f CPUs and %.1f GPUs left here", j.Spec.Team, quotaLeft.CPU.Float(), quotaLeft.GPU.Float())
	}
	if reason := js.c.pools.PendingReasonPool(j, p); reason != "" {
		return reason
	}
	if owned := js.core.Partitions[p]; owned != nil && js.c.balancer.HasReservationFor(owned, j.ID) {
		return "room is gathered for it on machines that are kept"
	}
	allowed, usable, free := 0, 0, 0
	for _, r := range capacityGroups {
		if r.partition != p || !sched.Feasible(j.Spec, r.machineKind.Type, r.machineKind.Zone, r.machineKind.Spot) {
			continue
		}
		allowed += r.Count
		if r.machineKind.Usable && !(r.machineKind.Closed && js.core.IsCPUOnly(j.Spec)) {
			usable += r.Count
			free += r.Count * j.Demand.Slots(r.Free)
		}
	}
	reason := fmt.Sprintf("%d machines are allowed, %d usable, with room for %d tasks", allowed, usable, free)
	if free == 0 {
		return "no room: " + reason
	}
	return reason
}
