package controller

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
)

// The book with what an owner notes beyond the record.
type (
	clusterState = clusterstate.State[jobTracking, placementTracking]
	// Job is an accepted job that is not yet put away.
	Job = clusterstate.Job[jobTracking, placementTracking]
	// Placement is a task's durable start that has not been proven over.
	Placement = clusterstate.Placement[jobTracking, placementTracking]
)

// Keys of records that stand for themselves.
const (
	machineTypesKey = clusterstate.Root + "types"
	settingsKey     = clusterstate.Root + "settings"
)

// placementTracking is what the owner of a place knows of it beyond the record.
type placementTracking struct {
	launchToken     api.FencingToken // highest token under which a launch may be on its way
	reported        bool
	state           api.TaskState
	placedAt        api.Time // placed, as far as this process knows
	runningSince    api.Time // first seen running
	haltRequested   bool     // its machine was called to halt it, as its job is cancelled
	stopRequested   bool
	stopRequestedAt api.Time
	stopGrace       float64
}

// jobTracking is an owner's working notes of a job.
type jobTracking struct {
	backoffUntil      api.Time // no new starts before, after failures
	failures          int
	failedOn          map[api.MachineID]bool
	rebalancedAt      api.Time
	nextPreemptionAt  api.Time // others are not made to give way before
	preemptedForStart bool     // others were made to give way so that it starts soon
	startPlanned      bool     // a start was planned here
	lastTaskEndedAt   api.Time // when a task of it last ended
	replicaMovedAt    api.Time // when a replica was last moved
	unplaceable       bool     // must begin, and has no room to hope for in its part
	unmetSince        api.Time // since when it has found no room in its part although other work starts
	unmetSeenAt       api.Time // and when it was last seen so
	lostTasks         int      // tasks that our parts lost with their machines
	lastLossAt        api.Time // when the last of them was known to be lost
	preemptedTasks    int      // tasks that our parts stopped for more urgent work
	completedSeconds  float64  // seconds that tasks took which were seen to complete
	completedTasks    int      // and how many they were
}
