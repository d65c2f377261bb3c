package core

// This file defines the state that a partition's owner keeps beyond the cluster state.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
)

// OwnedPartition is a partition of the machines, owned by this controller under one term. It is
// discarded when the ownership ends.
type OwnedPartition struct {
	ID            api.PartitionID
	Term          api.Revision // revision that recorded the ownership
	OwnedSince    api.Time
	LastRevision  api.Revision // of the last record written under this term
	NeedsRound    bool         // something changed since the last round was planned
	NeedsNewToken bool         // a record must be written to obtain a newer fencing token

	RoundState
	OwnershipChange
	ArchiveState
	QuotaState
	DemandState
	BalanceState
	BackfillState
}

// RoundState is the state of a partition's rounds.
type RoundState struct {
	NextRound      api.Time // earliest time of the next round
	PlannedAt      api.Time // when the last round was planned
	RetryAt        api.Time // when a job that was left out for a time may be tried again; 0 if there is none
	PendingEnds    map[*Placement]bool
	InFlight       *PendingRound                   // nil if no record is being written
	InFlightDemand map[api.MachineID]api.Resources // of the tasks started by the round in flight
	PlannedTeams   map[api.Team]bool               // teams with starts in the last round
	RoundReduction WriteReduction
	UnexaminedJobs int // number of jobs that the last round left out
	DeferredGang   DeferredGang
	PoolCursor     int // position at which the next round continues with the pools, if there are more than MaxRoundPools
}

// DeferredGang is a gang whose starts did not fit beside the other entries of a round. The next round has space for
// them. It is zero if there is none.
type DeferredGang struct {
	Job   api.JobID
	Bytes int // size of its entry in the record
}

// OwnershipChange is the state of a handover of the partition to another controller.
type OwnershipChange struct {
	Releasing   bool // the preferred owner is live, so no new work is begun
	HandingOver bool // the handover is being written
}

// ArchiveState is the state of writes of a partition other than its rounds.
type ArchiveState struct {
	Checkpointing       bool // a checkpoint is being written
	ArchivingResults    bool // records of finished jobs are being replaced by their results
	NextArchive         api.Time
	CheckpointReduction WriteReduction
	ArchiveReduction    WriteReduction
}

// QuotaState is the state of teams' quota in a partition.
type QuotaState struct {
	QuotaDemand        map[api.Team]api.Resources                     // quota that pending tasks need beyond the partition's share
	AgedQuotaDemand    map[api.Team]api.Resources                     // the part of QuotaDemand for jobs that have waited too long
	QuotaStarvedDemand map[api.Team]api.Resources                     // the part of QuotaDemand for jobs with free capacity but without quota for a single task
	ReservedQuota      map[api.PartitionID]map[api.Team]api.Resources // reserved for jobs of other partitions
	NextQuotaTransfer  map[api.PartitionID]api.Time                   // earliest time of the next transfer to a partition
}

// DemandState is the demand of pending tasks as of the last round.
type DemandState struct {
	PendingTaskCount int
	UnmetDemands     []message.UnmetDemand
	ShortTypes       map[api.MachineTypeName]bool // types without free capacity for pending tasks
}

// BalanceState is the state of job moves and machine loans to other partitions.
type BalanceState struct {
	MoveInFlight bool
	NextMove     api.Time  // earliest time of the next move
	MoveCursor   api.JobID // last job considered for a move
	LoanInFlight bool
	NextLoan     api.Time // earliest time of the next loan
}

// BackfillState is the state of starting jobs that have waited too long.
type BackfillState struct {
	AgedJobsCheckedAt api.Time // when these jobs were last examined
	ServicesMovedAt   api.Time // when services were last moved off a machine for them
	AgedStartCredit   float64  // work that these jobs may still start ahead of others, as seconds of the largest machine
}

// PendingRound is a round whose record is being written to the state service.
type PendingRound struct {
	Record         clusterstate.RoundRecord
	Txn            api.Txn
	Starts         []*Placement // placements that exist once the record is durable
	Ends           map[*Placement]bool
	SentAt         api.Time
	OutcomeUnknown bool // a call that sent the record got no response
	Transfer       bool // the record lends a machine together with its tasks
}

// OwnershipCondition returns the condition that this controller still owns the partition under this
// term.
func (owned *OwnedPartition) OwnershipCondition() api.Condition {
	return api.Condition{Key: clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID), Version: owned.Term}
}

// RotateToCursor returns the sorted jobs, rotated to begin at the job last considered for a
// move.
func (owned *OwnedPartition) RotateToCursor(jobs []api.JobID) []api.JobID {
	i, _ := slices.BinarySearch(jobs, owned.MoveCursor)
	return slices.Concat(jobs[i:], jobs[:i])
}
