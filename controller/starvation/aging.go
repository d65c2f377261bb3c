package starvation

// This file has how long jobs have waited, and what follows from it for the order of starts.

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
	// maxMustStartJobs is for how many jobs a partition reserves machines at once.
	maxMustStartJobs = 16
	// fragmentationUrgency is how many times sooner machines are reserved for jobs whose capacity
	// does not come free by itself, as small tasks leave no whole machine.
	fragmentationUrgency = 4
	// mustStartShare is the share of the work that a partition starts which may go to aged jobs
	// before others. Where more of it waits than that, no order keeps the bound, and what has
	// begun must end too.
	mustStartShare = 0.25
	// serviceRuntimeSeconds is for how long a service's task is reckoned to run.
	serviceRuntimeSeconds = 600
	// creditHorizon is for how long starts of the largest machine's size may be saved up or owed.
	creditHorizon = 4 * backfill.StartDeadline
)

// waitingTime is for how long nothing of a job has run in a partition, or in any for
// core.AllPartitions: since it was accepted, or since its last task ended. ok is false if
// something of it runs or it may not start now.
func (g *Guard) waitingTime(j *core.Job, p api.PartitionID) (waited time.Duration, ok bool) {
	running := j.PlacementCounts[p]
	if p == core.AllPartitions {
		running = j.LiveCount()
	}
	if running > 0 || j.OwnerState.BackoffUntil > g.core.Now || g.siblings.Tenancy.StartsBlocked(j) {
		return 0, false
	}
	waited = time.Duration(g.core.WallClock-j.AcceptedAt) * time.Millisecond
	if endedAt := j.OwnerState.LastTaskEndedAt; endedAt != 0 {
		waited = min(waited, g.core.Now.Sub(endedAt))
	} else if j.CompletedCount > 0 || j.RetryCount > 0 {
		waited = min(waited, g.core.Now.Sub(g.core.StartedAt)) // its task ended before this process began
	}
	return waited, true
}

// WaitStage is how far a job has aged in a partition, or in all of them for core.AllPartitions.
func (g *Guard) WaitStage(j *core.Job, p api.PartitionID) sched.AgingStage {
	waited, ok := g.waitingTime(j, p)
	if !ok {
		return sched.NotAged
	}
	if g.suffersFragmentation(j.Spec) {
		waited = max(waited, min(waited*fragmentationUrgency, backfill.StartDeadline*3/4-1))
	}
	return backfill.AgingStageOf(waited)
}

// RoundStage is how far a job counts as aged in a round, and for how many seconds it has waited.
// Once aged jobs have used up their share of the starts, only those have precedence whose machines
// are being gathered.
func (g *Guard) RoundStage(owned *core.OwnedPartition, j *core.Job) (stage sched.AgingStage, waitedSeconds float64) {
	waited, _ := g.waitingTime(j, owned.ID)
	stage = g.WaitStage(j, owned.ID)
	if stage != sched.NotAged && owned.MustStartCredit < 0 && !g.siblings.Balancer.HasReservationFor(owned, j.ID) {
		stage = sched.NotAged
	}
	if stage == sched.NotAged {
		return stage, 0
	}
	return stage, waited.Seconds()
}

// ChargeMustStartCredit accounts for the start of a task: its share of the largest machine, for as
// long as it is likely to run. Starts of aged jobs use up the credit that other starts build up.
func (g *Guard) ChargeMustStartCredit(owned *core.OwnedPartition, j *core.Job, stage sched.AgingStage) {
	seconds := j.Spec.Estimate
	if j.Spec.Kind == api.Service {
		seconds = serviceRuntimeSeconds
	}
	work := backfill.DominantShare(j.Demand, g.core.LargestMachine) * max(1, seconds)
	if stage != sched.NotAged {
		work *= -(1/mustStartShare - 1)
	}
	limit := creditHorizon.Seconds()
	owned.MustStartCredit = max(-limit, min(limit, owned.MustStartCredit+work))
}

// mustStartJobs are the aged jobs with pending tasks in a partition, those that have waited longest
// first.
func (g *Guard) mustStartJobs(owned *core.OwnedPartition) []*core.Job {
	var aged []*core.Job
	for _, j := range g.core.State.PendingJobs {
		if g.WaitStage(j, owned.ID) != sched.NotAged && j.PendingTasks(owned.ID) > 0 {
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
	return aged[:min(len(aged), maxMustStartJobs)]
}
