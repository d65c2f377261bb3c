package core

import "basaltwall/api"

// TaskStarted reports whether a task in that state has started, so that it can't start any more.
func TaskStarted(state api.TaskState) bool {
	return state != api.TaskFetching && state != api.TaskWaiting
}
