package core

// This file defines states and end reasons of tasks that components share.

import "basaltwall/api"

// Reasons for the end of a task that was lost with its machine or with its agent's epoch.
const (
	EndReasonMachineDeleted = "machine deleted"
	EndReasonEpochEnded     = "agent epoch ended"
)

// TaskStarted reports whether a task in the given state has already started.
func TaskStarted(state api.TaskState) bool {
	return state != api.TaskFetching && state != api.TaskWaiting
}
