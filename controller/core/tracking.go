package core

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
)

// The book with what an owner notes beyond the record.
type (
	ClusterState = clusterstate.State[JobTracking, PlacementTracking]
	// Job is an accepted job that is not yet put away.
	Job = clusterstate.Job[JobTracking, PlacementTracking]
	// Placement is a task's durable start that has not been proven over.
	Placement = clusterstate.Placement[JobTracking, PlacementTracking]
)

// Keys of records that stand for themselves.
const (
	MachineTypesKey = clusterstate.Root + "types"
	SettingsKey     = clusterstate.Root + "settings"
)

// PlacementTracking is what the owner of a place knows of it beyond the record.
type PlacementTracking struct {
	LaunchToken     api.FencingToken // highest token under which a launch may be on its way
	Reported        bool
	State           api.TaskState
	PlacedAt        api.Time // placed, as far as this process knows
	RunningSince    api.Time // first seen running
	HaltRequested   bool     // its machine was called to halt it, as its job is cancelled
	StopRequested   bool
	StopRequestedAt api.Time
	StopGrace       float64
}

// JobTracking is an owner's working notes of a job.
type JobTracking struct {
	BackoffUntil      api.Time // no new starts before, after failures
	Failures          int
	FailedOn          map[api.MachineID]bool
	RebalancedAt      api.Time
	NextPreemptionAt  api.Time // others are not made to give way before
	PreemptedForStart bool     // others were made to give way so that it starts soon
	StartPlanned      bool     // a start was planned here
	LastTaskEndedAt   api.Time // when a task of it last ended
	ReplicaMovedAt    api.Time // when a replica was last moved
	Unplaceable       bool     // must begin, and has no room to hope for in its part
	UnmetSince        api.Time // since when it has found no room in its part although other work starts
	UnmetSeenAt       api.Time // and when it was last seen so
	LostTasks         int      // tasks that our parts lost with their machines
	LastLossAt        api.Time // when the last of them was known to be lost
	PreemptedTasks    int      // tasks that our parts stopped for more urgent work
	CompletedSeconds  float64  // seconds that tasks took which were seen to complete
	CompletedTasks    int      // and how many they were
}
