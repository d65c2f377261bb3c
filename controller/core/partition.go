package core

import (
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
)

// OwnedPartition is a partition of the machines that this node owns, under one term.
type OwnedPartition struct {
	ID               api.PartitionID
	Term             api.Revision
	OwnedSince       api.Time
	LastRevision     api.Revision // of our latest durable record
	NextRound        api.Time     // no round before
	PlannedAt        api.Time     // the last one was planned
	Dirty            bool         // something changed since the last round
	NeedsNewToken    bool         // a newer token is wanted
	PendingEnds      map[*Placement]bool
	InFlight         *PendingRound
	Checkpointing    bool // a checkpoint is being written
	Releasing        bool
	HandingOver      bool
	ArchivingResults bool // final states are being put away
	NextArchive      api.Time

	QuotaDemand          map[api.Team]api.Resources   // share that waiting tasks lack
	PlannedTeams         map[api.Team]bool            // teams the last round placed tasks of
	NextQuotaTransfer    map[api.PartitionID]api.Time // no further gift to a part before
	PendingTaskCount     int
	UnexaminedJobs       int // jobs that the last round did not look at, see inTurn
	PoolCursor           int // of pools, where there are more than a round may name
	MoveInFlight         bool
	LoanInFlight         bool
	NextLoan             api.Time
	UnmetDemands         []message.UnmetDemand
	NextMove             api.Time
	MoveCursor           api.JobID                       // the job last looked at for moving
	InFlightDemand       map[api.MachineID]api.Resources // what the round in flight starts, by machine
	BackfilledAt         api.Time                        // jobs that must begin were looked at
	ServicesMovedAt      api.Time                        // services were last moved off a machine
	MustStartCredit      float64                         // what they may still take before others, see turnOf
	ShortTypes           map[api.MachineTypeName]bool    // types on which the last round found no room for what waits
	MustStartQuotaDemand map[api.Team]api.Resources      // of want, what those lack
	QuotaStarvedDemand   map[api.Team]api.Resources      // of want, what tasks lack that have machines and no limit for even one
	ReservedQuota        map[api.PartitionID]map[api.Team]api.Resources
}

// PendingRound is a round's record on its way to the state service.
type PendingRound struct {
	Record         clusterstate.Record
	Txn            api.Txn
	Starts         []*Placement // as they will be once durable
	Ends           map[*Placement]bool
	SentAt         api.Time
	OutcomeUnknown bool // a sending of it was not answered

	Transfer bool // a machine is lent with its tasks by this record
}

// OwnershipCondition is the condition that the part is still ours, under this term.
func (owned *OwnedPartition) OwnershipCondition() api.Condition {
	return api.Condition{Key: clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID), Version: owned.Term}
}

// RotateAfterCursor puts the jobs after the one last looked at first.
func (owned *OwnedPartition) RotateAfterCursor(refs []api.JobID) []api.JobID {
	i, _ := slices.BinarySearch(refs, owned.MoveCursor)
	return slices.Concat(refs[i:], refs[:i])
}
