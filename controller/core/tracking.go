package core

// This file holds what an owner notes of jobs and placements beside their records. It is not
// recorded, and lost with the ownership or the process.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
)

type (
	// ClusterState is the recorded state, with what an owner notes of jobs and placements.
	ClusterState = clusterstate.State[JobTracking, PlacementTracking]
	// Job is an accepted job that is not yet archived.
	Job = clusterstate.Job[JobTracking, PlacementTracking]
	// Placement is a task's durable start that has not been proven over.
	Placement = clusterstate.Placement[JobTracking, PlacementTracking]
)

// Keys of records that stand for themselves.
const (
	MachineTypesKey = clusterstate.Root + "types"
	SettingsKey     = clusterstate.Root + "settings"
)

// PlacementTracking is what the owner of a placement's partition knows of it beyond the record.
type PlacementTracking struct {
	LaunchToken     api.FencingToken // the highest token under which a launch may be on its way
	Reported        bool             // a heartbeat has shown the task
	State           api.TaskState    // as last reported
	PlacedAt        api.Time         // when it became known to this process
	RunningSince    api.Time         // when it was first seen running
	HaltRequested   bool             // its machine was called to halt it, as its job is cancelled
	StopRequested   bool
	StopRequestedAt api.Time
	StopGrace       float64 // seconds that the task is given to stop by itself
}

// JobTracking is what owners of partitions note of a job.
type JobTracking struct {
	BackoffUntil      api.Time // no new starts before, after failures
	Failures          int
	FailedOn          map[api.MachineID]bool
	RebalancedAt      api.Time
	NextPreemptionAt  api.Time // no task is preempted for it before
	PreemptedForStart bool     // tasks were preempted so that it starts soon
	StartPlanned      bool     // a start was planned by this controller
	LastTaskEndedAt   api.Time // when a task of it last ended
	ReplicaMovedAt    api.Time // when a replica was last moved
	Unplaceable       bool     // has waited too long, and can hope for no capacity in its partition
	UnmetSince        api.Time // since when it has found no free capacity in its partition although other work starts
	UnmetSeenAt       api.Time // when that was last seen
	LostTasks         int      // tasks that this controller's partitions lost with their machines
	LastLossAt        api.Time // when the last of them was known to be lost
	PreemptedTasks    int      // tasks that this controller's partitions stopped for more urgent work
	CompletedSeconds  float64  // the total runtime of the tasks that were seen to complete
	CompletedTasks    int      // how many were seen to complete
}
