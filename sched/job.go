// Jobs in the input of a round, and their order.

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
	PriorityBoost       float64          // number of priorities by which rules raise it; negative if they lower it
	AgingStage          AgingStage       // of a job that has not started
	WaitedSeconds       float64          // waiting time of an aged job
	ReservesQuota       bool             // quota that it lacks is reserved for it as it becomes free
	WithinGuarantee     bool             // within its team's guarantee
	HoldsJobUnits       bool             // it already holds the pool units required once per job
	StartSLO            float64          // objective for a start, in seconds; 0: none
	NewMachineSeconds   float64          // seconds until a booting machine would have the image; 0: none boots
	ExcludedMachines    map[api.MachineID]bool
	RetriedMachines     map[api.MachineID]bool // its tasks failed there: used after all others
	LatencySensitive    bool                   // should start sooner than a machine boots
	AcceleratorOptional bool                   // some type without accelerators can take its tasks
	SpotRisk            float64                // probability that the reclaim of a spot machine makes it late, between 0 and 1
}

// AgingStage is the stage of a job's waiting time relative to the start deadline, see package
// backfill.
type AgingStage int

// Stages of aging. A job that has not aged is ordered by rank, guarantee and urgency.
const (
	NotAged            AgingStage = iota
	AgedWithinPriority            // goes before others of its priority
	AgedAboveAll                  // goes before all others
)

// TasksWithinUnits returns how many of the given number of tasks the available pool units allow;
// for a gang all or none.
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

// ConsumeUnits subtracts the pool units of a number of the job's tasks from the available units.
func (j *Job) ConsumeUnits(units map[api.PoolName]int, tasks int) {
	for _, n := range j.Spec.Needs {
		units[n.Pool] -= n.Units(tasks, j.HoldsJobUnits)
	}
}

// effectivePriority returns the job's priority rank as changed by rules.
func (j *Job) effectivePriority() float64 { return float64(j.Spec.Priority.Rank()) + j.PriorityBoost }

// compareJobs orders jobs for the placement of gangs and for the use of a team's quota.
func compareJobs(a, b *Job) int {
	if first := cmp.Or(compareTrueFirst(a.AgingStage == AgedAboveAll, b.AgingStage == AgedAboveAll), Descending(a.effectivePriority(), b.effectivePriority()),
		cmp.Compare(b.AgingStage, a.AgingStage), cmp.Compare(b.WaitedSeconds, a.WaitedSeconds)); first != 0 {
		return first
	}
	return cmp.Or(compareTrueFirst(a.WithinGuarantee, b.WithinGuarantee), cmp.Compare(b.Urgency, a.Urgency))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Descending is a comparison that orders larger numbers first.
func Descending(a, b float64) int { return cmp.Compare(b, a) }
