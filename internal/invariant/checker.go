// Package invariant checks the scheduler's safety and liveness rules, which hold under all injected
// faults. Emulators and tests report to it which tasks run on which machines and which responses users
// receive; it records every violation with the rule's name and the time.
//
// The package shares no code with the controllers' decisions. A Checker belongs to one run and is
// not safe for concurrent use.
package invariant

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// Checker compares the tasks on machines and the responses to users with the rules. All times are
// relative to the start of the run.
type Checker struct {
	Violations []string // in order of detection; each begins with the rule and the time
	StartCount int      // task starts so far

	config               *config.Config
	placements           map[api.TaskID]map[api.MachineID]placement
	tasksByJob           map[api.JobID]map[api.TaskID]bool // tasks that are on a machine
	teamUsage            map[api.Team]api.Resources        // resources of all tasks on machines
	completedTasks       map[api.TaskID]bool
	reportedStates       map[api.JobID]api.JobState // state of the highest rank reported to users
	cancelAcknowledgedAt map[api.JobID]time.Duration
	cancelRequests       map[api.JobID]bool // jobs whose cancellation was requested
	specs                map[api.JobID]*api.JobSpec
	submitted            map[api.JobID]bool
	jobTracker           jobTracker
	queries              map[api.JobID]*queryStatus    // by accepted job
	faultsEndAt          time.Duration                 // end of the last fault
	stoppedReplicas      map[api.TaskID]stoppedReplica // stopped replicas that have not restarted
	pendingCancels       map[api.JobID]time.Duration   // request times of unacknowledged cancellations
	feasibleSince        feasibleTimes                 // feasible placements of pending jobs
	starvationReported   map[api.JobID]bool            // jobs with a recorded left_waiting violation

	// OnStart, if set, is called for each task that starts on a machine. submitted is the time of
	// the job's first submission.
	OnStart func(at, submitted time.Duration, id api.TaskID, s *api.JobSpec)

	// MaxCancelWait is the longest time from a cancellation request to its acknowledgement.
	MaxCancelWait time.Duration
}

// TaskStopped records that a worker stopped a running task by command.
func (c *Checker) TaskStopped(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID) {
	if s.Kind == api.Service && s.Priority == api.High && !c.cancelRequests[id.Job] {
		c.stoppedReplicas[id] = stoppedReplica{at, m}
	}
}

// forgetPreempted stops tracking replicas that were preempted: they were stopped on a machine on which a task
// of a priority above high starts. A start of the same priority does not count as preemption.
func (c *Checker) forgetPreempted(m api.MachineID, s *api.JobSpec) {
	for id, x := range c.stoppedReplicas {
		if x.machine == m && s.Priority.Rank() > api.High.Rank() {
			delete(c.stoppedReplicas, id)
		}
	}
}

// RecordFaultUntil records that a fault lasts until the given time. Response and restart timeouts count from the
// end of the last fault.
func (c *Checker) RecordFaultUntil(until time.Duration) { c.faultsEndAt = max(c.faultsEndAt, until) }

// QuerySent records that a user polled for a job.
func (c *Checker) QuerySent(at time.Duration, ref api.JobID) {
	if a := c.queries[ref]; a != nil {
		a.lastSent = at
	}
}

type placement struct {
	zone api.Zone
	spec *api.JobSpec
}

// NewChecker returns a Checker that takes limits and timeouts from cfg.
func NewChecker(cfg *config.Config) *Checker {
	return &Checker{
		config:               cfg,
		placements:           map[api.TaskID]map[api.MachineID]placement{},
		tasksByJob:           map[api.JobID]map[api.TaskID]bool{},
		teamUsage:            map[api.Team]api.Resources{},
		completedTasks:       map[api.TaskID]bool{},
		reportedStates:       map[api.JobID]api.JobState{},
		cancelAcknowledgedAt: map[api.JobID]time.Duration{},
		cancelRequests:       map[api.JobID]bool{},
		specs:                map[api.JobID]*api.JobSpec{},
		submitted:            map[api.JobID]bool{},
		jobTracker:           newJobTracker(),
		queries:              map[api.JobID]*queryStatus{},
		stoppedReplicas:      map[api.TaskID]stoppedReplica{},
		pendingCancels:       map[api.JobID]time.Duration{},
		feasibleSince:        feasibleTimes{},
		starvationReported:   map[api.JobID]bool{},
	}
}

// RecordViolation records a violation of a rule.
func (c *Checker) RecordViolation(at time.Duration, rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s at %.2f s: %s", rule, at.Seconds(), fmt.Sprintf(format, args...)))
}

// TaskStarted records that a task occupies a machine, and checks the rules for it.
func (c *Checker) TaskStarted(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	c.StartCount++
	for other := range c.placements[id] {
		if other != m {
			c.RecordViolation(at, RuleDuplicateRun, "task %s starts on %s while it is on %s", id, m, other)
		}
	}
	c.checkPlace(at, id, s, m, typ, zone, spot)
	c.TaskStarting(at, id, "starts")
	if c.placements[id] == nil {
		c.placements[id] = map[api.MachineID]placement{}
	}
	if len(c.placements[id]) == 0 {
		c.jobTracker.taskStarted(at, id, s)
	}
	if _, again := c.placements[id][m]; !again {
		c.teamUsage[s.Team] = c.teamUsage[s.Team].Plus(s.Demand())
	}
	c.placements[id][m] = placement{zone, s}
	if c.tasksByJob[id.Job] == nil {
		c.tasksByJob[id.Job] = map[api.TaskID]bool{}
	}
	c.tasksByJob[id.Job][id] = true
	if j := c.jobTracker.jobs[id.Job]; c.OnStart != nil && j != nil {
		c.OnStart(at, j.SubmittedAt, id, s)
	}
	delete(c.stoppedReplicas, id)
	c.forgetPreempted(m, s)
	if usage := c.teamUsage[s.Team]; !c.WithinLimit(s.Team, usage) {
		c.RecordViolation(at, RuleQuota, "team %s uses %.1f CPUs and %.1f GPUs, above its limit", s.Team, usage.CPU.Float(), usage.GPU.Float())
	}
}

// checkPlace checks a machine against the job's constraints on type, zone, spot machines and spreading.
func (c *Checker) checkPlace(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	if len(s.Types) > 0 && !slices.Contains(s.Types, typ) || s.Zone != "" && s.Zone != zone || spot && !s.Spot {
		c.RecordViolation(at, RulePlacement, "task %s is on machine %s (type %s, zone %s), which its job does not allow", id, m, typ, zone)
	}
	same := 1
	if s.OneZone || s.Spread {
		same += c.countSameZone(at, id, s, zone)
	}
	if s.Spread && same > MaxTasksPerZone(s.Tasks) {
		c.RecordViolation(at, RulePlacement, "%d of %d tasks of spread job %s are in zone %s", same, s.Tasks, id.Job, zone)
	}
}

// RunningTasks returns the number of tasks on machines.
func (c *Checker) RunningTasks() int { return len(c.placements) }

// countSameZone counts the other tasks of a job in a zone. For a job limited to one zone it records a
// violation for each task in another zone.
func (c *Checker) countSameZone(at time.Duration, id api.TaskID, s *api.JobSpec, zone api.Zone) int {
	same := 0
	for other := range c.tasksByJob[id.Job] {
		if other == id {
			continue
		}
		for _, p := range c.placements[other] {
			if s.OneZone && p.zone != zone {
				c.RecordViolation(at, RulePlacement, "task %s is in zone %s while task %s is in zone %s", id, zone, other, p.zone)
			}
			if p.zone == zone {
				same++
			}
		}
	}
	return same
}

// TaskStarting records a step of a task's start: its launch command, its start after the image is fetched
// or the start of its gang. No step is allowed after the job's cancellation was acknowledged.
func (c *Checker) TaskStarting(at time.Duration, id api.TaskID, what string) {
	end, ok := c.cancelAcknowledgedAt[id.Job]
	switch {
	case !ok:
	case at > end+api.Seconds(c.config.Deployment.Workers.Cancel):
		c.RecordViolation(at, RuleRanAfterCancelTimeout, "task %s %s after the timeout of its cancellation", id, what)
	default:
		c.RecordViolation(at, RuleStartedAfterCancel, "task %s %s %.2f s after its cancellation was acknowledged", id, what, (at - end).Seconds())
	}
}

// TaskEnded records that a task no longer occupies a machine.
func (c *Checker) TaskEnded(at time.Duration, id api.TaskID, m api.MachineID, done bool) {
	if p, there := c.placements[id][m]; there {
		c.teamUsage[p.spec.Team] = c.teamUsage[p.spec.Team].Minus(p.spec.Demand())
	}
	delete(c.placements[id], m)
	if len(c.placements[id]) == 0 {
		c.jobTracker.taskStopped(at, id)
		delete(c.placements, id)
		if delete(c.tasksByJob[id.Job], id); len(c.tasksByJob[id.Job]) == 0 {
			delete(c.tasksByJob, id.Job)
		}
	}
	if done && !c.completedTasks[id] {
		c.completedTasks[id] = true
		c.jobTracker.completedCount[id.Job]++
	}
}

// FaultsOver reports whether all faults have ended.
func (c *Checker) FaultsOver(at time.Duration) bool { return at > c.faultsEndAt }

// RunningTaskIDs returns the tasks on machines, in no order.
func (c *Checker) RunningTaskIDs() iter.Seq[api.TaskID] { return maps.Keys(c.placements) }

// CompletedTasks returns the number of a job's tasks that are done.
func (c *Checker) CompletedTasks(ref api.JobID) int { return c.jobTracker.completedCount[ref] }

// MaxTasksPerZone returns the largest number of tasks that a spread job may have in one zone.
func MaxTasksPerZone(tasks int) int { return int(math.Ceil(float64(tasks) / 2)) }
