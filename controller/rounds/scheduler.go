// Package rounds runs the scheduling rounds of a controller's partitions. A round records ends and
// starts of tasks in one transaction; the starts take effect once the record is durable. The
// package also writes checkpoints, which bound the number of records that a recovery reads, and
// archives finished jobs.
//
// The state of a partition's rounds is in core.OwnedPartition, and its durable part in
// core.ClusterState. Scheduler itself only tracks the recent rate of rounds.
package rounds

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// Scheduler runs the rounds of owned partitions and makes them durable.
type Scheduler struct {
	core *core.Core
	deps Dependencies

	roundRate roundRate
}

// New returns a scheduler; Connect must be called before any other method.
func New(shared *core.Core) *Scheduler {
	return &Scheduler{core: shared}
}

// Connect sets the other components that the scheduler uses.
func (s *Scheduler) Connect(deps Dependencies) { s.deps = deps }

// RunPartition does the work that is due for an owned partition: a checkpoint, archiving,
// rebalancing, reservations, and a round if something has changed since the last one.
func (s *Scheduler) RunPartition(owned *core.OwnedPartition) {
	s.maybeCheckpoint(owned)
	s.archiveJobs(owned)
	if !s.core.Overloaded() {
		s.deps.Balancer.RebalancePending(owned)
		s.deps.Balancer.LendMachines(owned)
	}
	s.deps.Backfiller.ReserveForAgedJobs(owned)
	if s.isRecheckDue(owned) {
		owned.NeedsRound = true
	}
	if !s.isRoundDue(owned) || s.IsRecordRingFull(owned) {
		return
	}
	owned.NeedsRound, owned.PlannedAt = false, s.core.Now
	round := s.PlanRound(owned)
	if isEmptyRecord(&round.Record) && !owned.NeedsNewToken {
		owned.RoundReduction.Accepted() // what is pending may be too large for a reduced round
		owned.NextRound = s.core.Now.Add(s.currentRoundInterval())
		return
	}
	owned.NeedsNewToken = false
	s.CommitRound(owned, round)
}

// isRecheckDue reports whether a round should retry jobs that the last round left out, or found no
// free capacity for, although nothing has changed, or whose retry on a machine is due.
func (s *Scheduler) isRecheckDue(owned *core.OwnedPartition) bool {
	sincePlanned := s.core.Now.Sub(owned.PlannedAt)
	return owned.RetryAt != 0 && s.core.Now >= owned.RetryAt || owned.UnexaminedJobs > 0 && sincePlanned >= core.DeferredJobsInterval ||
		len(owned.UnmetDemands) > 0 && sincePlanned >= core.UnmetDemandRecheckInterval
}

// isRoundDue reports whether a partition should run a round now: something has changed, no other
// record of it is being written, and the interval since the last round is over.
func (s *Scheduler) isRoundDue(owned *core.OwnedPartition) bool {
	if owned.InFlight != nil || owned.Releasing || owned.LoanInFlight {
		return false
	}
	return s.core.Now >= owned.NextRound && (owned.NeedsRound || owned.NeedsNewToken)
}

// isEmptyRecord reports whether a round has nothing to record.
func isEmptyRecord(record *clusterstate.RoundRecord) bool {
	return len(record.Jobs) == 0 && len(record.QuotaTransfers) == 0 && len(record.Reservations) == 0
}

// ownsFirstTask reports whether the first task of a job is in the partition, whose owner makes the
// decisions for the job as a whole.
func ownsFirstTask(p api.PartitionID, j *core.Job) bool {
	return len(j.Split) > 0 && j.Split[0].Partition == p
}
