// Jobs: what a round knows of them, and the order in which they are served.

package sched

import (
	"cmp"

	"basaltwall/api"
)

// Job is a job with pending tasks.
type Job struct {
	Spec                *api.JobSpec
	Demand              api.Resources    // of one task
	Pending             []int            // indices of the pending tasks
	PlacedByZone        map[api.Zone]int // number of its placed tasks by zone
	Urgency             float64          // orders jobs of equal rank, between 0 and 1
	PriorityBoost       float64          // by how many priorities rules raise it; negative: lower it
	AgingStage          AgingStage       // of a job that has not started
	WaitedSeconds       float64          // how long it has waited, once it has aged
	ReservesQuota       bool             // quota that it lacks is left to it as it becomes free
	WithinGuarantee     bool             // within its team's guarantee
	HoldsJobUnits       bool             // it holds already the pool units of the job itself
	StartSLO            float64          // objective for a start, in seconds; 0: none
	NewMachineSeconds   float64          // seconds until a machine that boots now would have the image; 0: none boots
	ExcludedMachines    map[api.MachineID]bool
	FastStart           bool    // should start sooner than a machine boots
	AcceleratorOptional bool    // some type without accelerators can take its tasks
	SpotRisk            float64 // how much it would suffer from the reclaim of a spot machine, between 0 and 1
}

// AgingStage is how far a job is in the time in which it must start, see package backfill.
type AgingStage int

// The stages. A job that has not aged is ordered by rank, guarantee and urgency.
const (
	NotAged            AgingStage = iota
	AgedWithinPriority            // goes before others of its priority
	AgedAboveAll                  // goes before all others
)

// TasksWithinUnits is how many of so many tasks of the job the available pool units allow: of a
// gang all or none.
func (j *Job) TasksWithinUnits(units map[api.PoolName]int, tasks int) int {
	requested := tasks
	for _, n := range j.Spec.Needs {
		available := units[n.Pool]
		if !j.HoldsJobUnits {
			available -= n.Job
		}
		if available < 0 || n.Task > 0 && available < n.Task {
			return 0
		}
		if n.Task > 0 {
			tasks = min(tasks, available/n.Task)
		}
	}
	if j.Spec.Kind == api.Gang && tasks < requested {
		return 0
	}
	return max(0, tasks)
}

// ConsumeUnits takes the pool units of so many tasks of the job off the available ones.
func (j *Job) ConsumeUnits(units map[api.PoolName]int, tasks int) {
	for _, n := range j.Spec.Needs {
		units[n.Pool] -= n.Units(tasks, j.HoldsJobUnits)
	}
}

// effectivePriority is the job's priority rank as changed by rules.
func (j *Job) effectivePriority() float64 { return float64(j.Spec.Priority.Rank()) + j.PriorityBoost }

// compareJobs orders jobs for the placement of gangs and for the use of a team's quota.
func compareJobs(a, b *Job) int {
	if first := cmp.Or(compareTrueFirst(a.AgingStage == AgedAboveAll, b.AgingStage == AgedAboveAll), Descending(a.effectivePriority(), b.effectivePriority()),
		cmp.Compare(b.AgingStage, a.AgingStage), cmp.Compare(b.WaitedSeconds, a.WaitedSeconds)); first != 0 {
		return first
	}
	return cmp.Or(compareTrueFirst(a.WithinGuarantee, b.WithinGuarantee), cmp.Compare(b.Urgency, a.Urgency))
}

// compareTrueFirst compares so that true is first.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Descending compares so that the larger number is first.
func Descending(a, b float64) int { return cmp.Compare(b, a) }
