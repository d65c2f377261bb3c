package core

// Why a task is over that was lost with its machine or with its agent's epoch.
const (
	EndReasonMachineDeleted = "machine deleted"
	EndReasonEpochOver      = "session over"
)
