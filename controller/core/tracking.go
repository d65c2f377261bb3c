package core

// This file defines the state of jobs and placements that a partition's owner keeps in memory only.
// It is lost with the ownership or the process.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
)

type (
	// ClusterState is the recorded state, with the owner's tracking of jobs and placements.
	ClusterState = clusterstate.State[JobOwnerState, PlacementOwnerState]
	// Job is an accepted job that is not yet archived.
	Job = clusterstate.Job[JobOwnerState, PlacementOwnerState]
	// Placement is a durable start of a task without a recorded end.
	Placement = clusterstate.Placement[JobOwnerState, PlacementOwnerState]
)

// Keys of single records.
const (
	MachineTypesKey = clusterstate.Root + "types"
	SettingsKey     = clusterstate.Root + "settings"
)

// PlacementOwnerState is the state of a placement that the owner of its partition keeps in memory.
type PlacementOwnerState struct {
	Reported        bool          // a heartbeat has reported the task
	State           api.TaskState // as last reported
	PlacedAt        api.Time      // when it became known to this process
	RunningSince    api.Time      // when it was first reported as running
	HaltRequested   bool          // a call to halt it was made, because its job is cancelled
	StopRequested   bool
	StopRequestedAt api.Time
	StopGrace       float64 // grace period for the task to stop, in seconds
}

// JobOwnerState is the state of a job that owners of partitions keep in memory.
type JobOwnerState struct {
	BackoffUntil      api.Time // no new starts before, because of failures
	Failures          int
	OversizedUntil    api.Time // a gang whose starts exceed a record is not planned before
	FailedOn          MachineFailures
	UnknownTasks      UnknownTaskRefusals
	RebalancedAt      api.Time
	NextPreemptionAt  api.Time // earliest time of the next preemption for it
	PreemptedForStart bool     // tasks were preempted so that it starts soon
	StartPlanned      bool     // this controller planned a start
	LastTaskEndedAt   api.Time // when one of its tasks last ended
	ReplicaMovedAt    api.Time // when a replica was last moved
	Unplaceable       bool     // it has waited too long, and no capacity will become available in its partition
	UnmetSince        api.Time // since when it has found no free capacity in its partition while other jobs start
	UnmetSeenAt       api.Time // when this was last observed
	LostTasks         int      // tasks lost with their machines in this controller's partitions
	LastLossAt        api.Time // when the last such loss was detected
	PreemptedTasks    int      // tasks preempted in this controller's partitions
	CompletedSeconds  float64  // total runtime of the observed completed tasks
	CompletedTasks    int      // number of observed completed tasks
}

// StartsDelayed reports whether no task of the job may start now, because of failures or of its size.
func (s *JobOwnerState) StartsDelayed(now api.Time) bool {
	return max(s.BackoffUntil, s.OversizedUntil) > now
}
