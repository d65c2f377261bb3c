package starvation

// This file computes the waiting times of jobs and the precedence that follows from them.

import (
	"cmp"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

const (
	// maxAgedJobs is the maximum number of jobs for which a partition reserves machines at once.
	maxAgedJobs = 16
	// fragmentationAgingFactor multiplies the waiting time of jobs that suffer fragmentation: their
	// capacity does not become free by itself, because small tasks leave no whole machine.
	fragmentationAgingFactor = 4
	// agedStartShare is the share of the work started by a partition for which aged jobs have
	// precedence. With a higher demand of aged jobs, no order of starts can meet the deadline.
	agedStartShare = 0.25
	// serviceRuntimeSeconds is the assumed runtime of a service's task.
	serviceRuntimeSeconds = 600
	// creditHorizon limits the credit and the debt of starts, as a time on the largest machine.
	creditHorizon = 4 * backfill.StartDeadline
)

// waitingTime returns the time since any task of a job last ran in a partition, or in any partition
// for core.AllPartitions. It begins with the acceptance of the job or the end of its last task. ok
// is false if a task of the job runs or the job may not start now.
func (g *Guard) waitingTime(j *core.Job, p api.PartitionID) (waited time.Duration, ok bool) {
	running := j.PlacementCounts[p]
	if p == core.AllPartitions {
		running = j.LiveCount()
	}
	if running > 0 || j.OwnerState.StartsDelayed(g.core.Now) || g.deps.Tenancy.StartsBlocked(j) {
		return 0, false
	}
	waited = time.Duration(g.core.WallClock-j.AcceptedAt) * time.Millisecond
	if endedAt := j.OwnerState.LastTaskEndedAt; endedAt != 0 {
		waited = min(waited, g.core.Now.Sub(endedAt))
	} else if j.CompletedCount > 0 || j.RetryCount > 0 {
		waited = min(waited, g.core.Now.Sub(g.core.StartedAt)) // its last task ended before this process began
	}
	return waited, true
}

// AgingStage returns the aging stage of a job in a partition, or in all partitions for
// core.AllPartitions.
func (g *Guard) AgingStage(j *core.Job, p api.PartitionID) sched.AgingStage {
	waited, ok := g.waitingTime(j, p)
	if !ok {
		return sched.NotAged
	}
	if g.suffersFragmentation(j.Spec) {
		waited = max(waited, min(waited*fragmentationAgingFactor, backfill.StartDeadline*3/4-1))
	}
	return backfill.AgingStageOf(waited)
}

// RoundAgingStage returns the aging stage of a job in a round, and its waiting time in seconds. Once
// aged jobs have used up their share of the starts, only jobs with reserved machines have
// precedence.
func (g *Guard) RoundAgingStage(owned *core.OwnedPartition, j *core.Job) (stage sched.AgingStage, waitedSeconds float64) {
	waited, _ := g.waitingTime(j, owned.ID)
	stage = g.AgingStage(j, owned.ID)
	if stage != sched.NotAged && owned.AgedStartCredit < 0 && !g.deps.Balancer.HasReservationFor(owned, j.ID) {
		stage = sched.NotAged
	}
	if stage == sched.NotAged {
		return stage, 0
	}
	return stage, waited.Seconds()
}

// ChargeAgedStartCredit accounts for the start of a task: its share of the largest machine,
// multiplied by its expected runtime. Starts of aged jobs use up the credit that other starts build
// up.
func (g *Guard) ChargeAgedStartCredit(owned *core.OwnedPartition, j *core.Job, stage sched.AgingStage) {
	seconds := j.Spec.Estimate
	if j.Spec.Kind == api.Service {
		seconds = serviceRuntimeSeconds
	}
	work := backfill.DominantShare(j.Demand, g.core.LargestMachine) * max(1, seconds)
	if stage != sched.NotAged {
		work *= -(1/agedStartShare - 1)
	}
	limit := creditHorizon.Seconds()
	owned.AgedStartCredit = max(-limit, min(limit, owned.AgedStartCredit+work))
}

// agedJobs returns the aged jobs with pending tasks in a partition, those with the longest
// waiting time first.
func (g *Guard) agedJobs(owned *core.OwnedPartition) []*core.Job {
	var aged []*core.Job
	for _, j := range g.core.State.PendingJobs {
		if g.AgingStage(j, owned.ID) != sched.NotAged && j.PendingTasks(owned.ID) > 0 {
			aged = append(aged, j)
		}
	}
	slices.SortFunc(aged, func(a, b *core.Job) int {
		waitedA, _ := g.waitingTime(a, owned.ID)
		waitedB, _ := g.waitingTime(b, owned.ID)
		return cmp.Or(
			cmp.Compare(backfill.AgingStageOf(waitedB), backfill.AgingStageOf(waitedA)),
			cmp.Compare(waitedB, waitedA),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return aged[:min(len(aged), maxAgedJobs)]
}
