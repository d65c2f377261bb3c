package core

// This file holds what components agree on about the states and ends of tasks.

import "basaltwall/api"

// Reasons for the end of a task that was lost with its machine or with its agent's epoch.
const (
	EndReasonMachineDeleted = "machine deleted"
	EndReasonEpochOver      = "session over"
)

// TaskStarted reports whether a task in that state has started, so that it can't start any more.
func TaskStarted(state api.TaskState) bool {
	return state != api.TaskFetching && state != api.TaskWaiting
}
