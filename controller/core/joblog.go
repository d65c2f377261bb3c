package core

// Messages of the log records that trace a job from acceptance to end. Programs that read the logs,
// such as tools/regress, match records by these constants. Each record has the job's ID under the
// key "job"; all but LogJobAccepted have the elapsed seconds under "after", and all but
// LogJobCancelled have the job's specification, see SpecAttr.
const (
	// LogJobAccepted is logged by the controller that accepted a job once the job is stored.
	LogJobAccepted = "job accepted"
	// LogJobStarts is logged by the partition's owner that plans the first start of a task of a job.
	LogJobStarts = "job starts"
	// LogJobDone is logged by the partition's owner that records the completion of a job.
	LogJobDone = "job done"
	// LogJobCancelled is logged by the controller that answers a cancellation once the job has ended.
	LogJobCancelled = "job cancelled"
)
