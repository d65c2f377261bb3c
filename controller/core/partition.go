package core

// This file holds what the owner of a partition knows of it beyond the cluster state.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
)

// OwnedPartition is a partition of the machines that this controller owns, under one term. It is
// dropped when the ownership ends.
type OwnedPartition struct {
	ID            api.PartitionID
	Term          api.Revision // of the ownership: the revision that recorded it
	OwnedSince    api.Time
	LastRevision  api.Revision // of the last record that was written under this term
	Dirty         bool         // something changed since the last round was planned
	NeedsNewToken bool         // a newer fencing token is wanted, which a record gives

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
	NextRound      api.Time // no round before
	PlannedAt      api.Time // when the last one was planned
	PendingEnds    map[*Placement]bool
	InFlight       *PendingRound                   // nil if no record is being written
	InFlightDemand map[api.MachineID]api.Resources // of the tasks that the round in flight starts
	PlannedTeams   map[api.Team]bool               // teams that the last round started tasks of
	UnexaminedJobs int                             // jobs that the last round left out
	PoolCursor     int                             // where the next round goes on with the pools, if there are more than a round may name
}

// OwnershipChange tells whether a partition is handed to another controller.
type OwnershipChange struct {
	Releasing   bool // its preferred owner is live, so that nothing new is begun
	HandingOver bool // the handover is being written
}

// ArchiveState is the state of what is written of a partition beside its rounds.
type ArchiveState struct {
	Checkpointing    bool // a checkpoint is being written
	ArchivingResults bool // results of finished jobs are being written in place of their records
	NextArchive      api.Time
}

// QuotaState is what the partition's owner knows of teams' quota shares.
type QuotaState struct {
	QuotaDemand          map[api.Team]api.Resources                     // that pending tasks need beyond the partition's share
	MustStartQuotaDemand map[api.Team]api.Resources                     // the part of QuotaDemand that jobs need which have waited too long
	QuotaStarvedDemand   map[api.Team]api.Resources                     // the part of QuotaDemand that there is free capacity for, but quota for not even one task
	ReservedQuota        map[api.PartitionID]map[api.Team]api.Resources // kept for jobs of other partitions
	NextQuotaTransfer    map[api.PartitionID]api.Time                   // no further transfer to a partition before
}

// DemandState is what the last round found of pending tasks.
type DemandState struct {
	PendingTaskCount int
	UnmetDemands     []message.UnmetDemand
	ShortTypes       map[api.MachineTypeName]bool // types that had no free capacity for what is pending
}

// BalanceState is the state of moves of jobs and loans of machines to other partitions.
type BalanceState struct {
	MoveInFlight bool
	NextMove     api.Time  // no move before
	MoveCursor   api.JobID // the job that was last considered for a move
	LoanInFlight bool
	NextLoan     api.Time // no loan before
}

// BackfillState is the state of starts of jobs that have waited too long.
type BackfillState struct {
	BackfilledAt    api.Time // when these jobs were last looked at
	ServicesMovedAt api.Time // when services were last moved off a machine for them
	MustStartCredit float64  // what they may still take before other work
}

// PendingRound is a round's record on its way to the state service.
type PendingRound struct {
	Record         clusterstate.Record
	Txn            api.Txn
	Starts         []*Placement // as they will be once the record is durable
	Ends           map[*Placement]bool
	SentAt         api.Time
	OutcomeUnknown bool // a call that sent it was not answered
	Transfer       bool // the record lends a machine together with its tasks
}

// OwnershipCondition is the condition that this controller still owns the partition under this term.
func (owned *OwnedPartition) OwnershipCondition() api.Condition {
	return api.Condition{Key: clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID), Version: owned.Term}
}

// RotateAfterCursor returns the sorted jobs in a new order that begins at the one that was last
// considered for a move.
func (owned *OwnedPartition) RotateAfterCursor(jobs []api.JobID) []api.JobID {
	i, _ := slices.BinarySearch(jobs, owned.MoveCursor)
	return slices.Concat(jobs[i:], jobs[:i])
}
