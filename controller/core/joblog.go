package core

// Messages of the log records that follow a job from its acceptance to its end. Programs that read
// the logs, such as tools/regress, find these records by their messages, so both name them from
// here. Each record has the job's ID under the key "job"; all but LogJobAccepted have the seconds
// that went before it under "after", and all but LogJobCancelled what the job asks for, see SpecAttr.
const (
	// LogJobAccepted is logged by the controller that accepted a job once it is stored.
	LogJobAccepted = "job accepted"
	// LogJobStarts is logged by a partition's owner that plans the first start of a job's task.
	LogJobStarts = "job starts"
	// LogJobDone is logged by a partition's owner whose record completes a job.
	LogJobDone = "job done"
	// LogJobCancelled is logged by the controller that answers a cancellation when the job has ended.
	LogJobCancelled = "job cancelled"
)
