// This file holds the messages of users: submissions, polls and cancellations.

package api

import "slices"

// Paths of the users' protocol.
const (
	PathJobs         = "/v1/jobs"
	PathHistory      = "/v1/history" // only in a hosted service
	PathUsage        = "/v1/usage"   // only in a hosted service
	PathReady        = "/ready"
	PathSuffixCancel = "withdraw"
)

// Kind is the kind of a job: job array, gang or service.
type Kind string

// The kinds of jobs.
const (
	Array   Kind = "sweep"    // independent tasks
	Gang    Kind = "ensemble" // tasks that are gang scheduled: all start, or none
	Service Kind = "daemon"   // replicas that run until the job is cancelled
)

// Priority is a job's priority, chosen by the user.
type Priority string

// The priorities, highest first.
const (
	Production Priority = "critical"
	High       Priority = "high"
	Normal     Priority = "normal"
	Low        Priority = "idle"
)

// Rank returns the rank of a priority, from 0 for the lowest, or -1 for an unknown priority.
func (p Priority) Rank() int {
	return slices.Index([]Priority{Low, Normal, High, Production}, p)
}

// JobState is the state of a job as reported to its user.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// JobSpec is a job as submitted and as stored in the key-value store. Durations are in seconds.
type JobSpec struct {
	Ref        JobID             `json:"ref"`
	Class      Class             `json:"mestiere"`
	Team       Team              `json:"bottega"`
	Kind       Kind              `json:"forma"`
	Priority   Priority          `json:"urgenza"`
	Tasks      int               `json:"pezzi"`
	CPUs       float64           `json:"cores"`
	GPUs       float64           `json:"gpus"`
	MemGB      float64           `json:"ram_gb"`
	Image      Image             `json:"stampo"`
	ImageGB    float64           `json:"image_gb"`
	Types      []MachineTypeName `json:"banchi,omitempty"`     // allowed machine types; none: any
	Zone       Zone              `json:"cortile,omitempty"`    // required zone; empty: any
	OneZone    bool              `json:"together,omitempty"`   // all tasks in one zone
	Spread     bool              `json:"scatter,omitempty"`    // at most half of the tasks in one zone
	Spot       bool              `json:"avanzi,omitempty"`     // may use spot machines
	Estimate   float64           `json:"stima_s"`              // expected run time of a task
	Checkpoint float64           `json:"tappa_s,omitempty"`    // interval between a task's checkpoints
	Save       float64           `json:"salvo_s,omitempty"`    // duration of writing a checkpoint
	Deadline   *float64          `json:"consegna_s,omitempty"` // from acceptance to completion; nil: none
	Needs      []PoolRequest     `json:"gettoni,omitempty"`    // units of pools, in a hosted service
}

// PoolName names a pool of counted resources.
type PoolName string

// PoolRequest is a job's request for units of a pool.
type PoolRequest struct {
	Pool PoolName `json:"nome"`
	Task int      `json:"a_pezzo,omitempty"`  // units of each task, held from its start to its end
	Job  int      `json:"a_lavoro,omitempty"` // units of the job, held while any of its tasks is on a machine
}

// Units returns the units needed by a number of tasks, including the job's own units unless held is true,
// which means that the job holds them already.
func (n PoolRequest) Units(tasks int, held bool) int {
	u := n.Task * tasks
	if !held && tasks > 0 {
		u += n.Job
	}
	return u
}

// PoolRequest returns the job's request for units of a pool, or false if there is none.
func (s *JobSpec) PoolRequest(pool PoolName) (PoolRequest, bool) {
	i := slices.IndexFunc(s.Needs, func(n PoolRequest) bool { return n.Pool == pool })
	if i < 0 {
		return PoolRequest{}, false
	}
	return s.Needs[i], true
}

// GangSize returns the number of tasks that must start together: all tasks of a gang, else one.
func (s *JobSpec) GangSize() int {
	if s.Kind == Gang {
		return s.Tasks
	}
	return 1
}

// HasJobUnits reports whether the job requests pool units for the job as a whole.
func (s *JobSpec) HasJobUnits() bool {
	return slices.ContainsFunc(s.Needs, func(n PoolRequest) bool { return n.Job > 0 })
}

// Demand returns the resources that one task requests.
func (s *JobSpec) Demand() Resources {
	return Resources{CPU: ToQuantity(s.CPUs), GPU: ToQuantity(s.GPUs), Mem: ToQuantity(s.MemGB)}
}

// NeedsSinglePartition reports whether the job's tasks constrain each other's placement, so
// that one partition must hold them all.
func (s *JobSpec) NeedsSinglePartition() bool {
	return s.Kind != Array || s.OneZone || s.Spread || s.HasJobUnits()
}

// JobStatus is the response to a poll, a submission or a cancellation.
type JobStatus struct {
	JobID   JobID    `json:"ref"`
	State   JobState `json:"stato"`
	Done    *int     `json:"done,omitempty"`
	Running *int     `json:"running,omitempty"`
}

// Terminal reports whether the job is done or cancelled.
func (s JobStatus) Terminal() bool { return s.State == JobDone || s.State == JobCancelled }

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}
