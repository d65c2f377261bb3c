// Package invariant has an independent checker of the scheduler's rules: what may never happen,
// whatever faults there are. It is told what really happens on machines and what users are told,
// by emulators or tests, and records every violation with the rule's name and the time.
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

// Checker observes what runs on machines and what users are told, and finds
// violations of the rules. Times are those of the run, from its start.
type Checker struct {
	Violations []string // by rule, with the time, in the order in which they were found
	StartCount int      // task starts so far

	config               *config.Config
	placements           map[api.TaskID]map[api.MachineID]placement
	tasksByJob           map[api.JobID]map[api.TaskID]bool // that are on some machine
	teamUsage            map[api.Team]api.Resources        // of all that is on machines
	completedTasks       map[api.TaskID]bool
	reportedStates       map[api.JobID]api.JobState // of the highest rank so far
	cancelAcknowledgedAt map[api.JobID]time.Duration
	cancelRequests       map[api.JobID]bool // cancellation asked by its user
	specs                map[api.JobID]*api.JobSpec
	submitted            map[api.JobID]bool
	jobTracker           jobTracker
	queries              map[api.JobID]*queryStatus    // accepted jobs whose users poll
	faultsEndAt          time.Duration                 // when the last fault is over
	stoppedReplicas      map[api.TaskID]stoppedReplica // replicas that were stopped
	pendingCancels       map[api.JobID]time.Duration   // cancellations that users wait for, and since when
	feasibleSince        feasibleTimes                 // feasible placements of jobs that wait
	starvationReported   map[api.JobID]bool            // those that were reported as left waiting

	// OnStart, if set, is called for each task that starts on a machine, with the time at which
	// its job was first submitted.
	OnStart func(at, submitted time.Duration, id api.TaskID, s *api.JobSpec)

	// MaxCancelWait is the longest that a user has waited for a cancellation.
	MaxCancelWait time.Duration
}

// TaskStopped notes that a running task was told to stop.
func (c *Checker) TaskStopped(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID) {
	if s.Kind == api.Service && s.Priority == api.High && !c.cancelRequests[id.Job] {
		c.stoppedReplicas[id] = stoppedReplica{at, m}
	}
}

// forgetPreempted forgets the replicas, all of high priority, that were stopped on a machine where work of higher
// priority starts: they were preempted, not moved. A machine that is vacated for work of the same priority is a move.
func (c *Checker) forgetPreempted(m api.MachineID, s *api.JobSpec) {
	for id, x := range c.stoppedReplicas {
		if x.machine == m && s.Priority.Rank() > api.High.Rank() {
			delete(c.stoppedReplicas, id)
		}
	}
}

// FaultUntil notes that a fault lasts until then: requests may go unanswered meanwhile.
func (c *Checker) FaultUntil(until time.Duration) { c.faultsEndAt = max(c.faultsEndAt, until) }

// QuerySent notes that a user has asked about a job.
func (c *Checker) QuerySent(at time.Duration, ref api.JobID) {
	if a := c.queries[ref]; a != nil {
		a.lastSent = at
	}
}

type placement struct {
	zone api.Zone
	spec *api.JobSpec
}

// NewChecker returns a checker for a deployment.
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

// RecordViolation records that a rule is broken.
func (c *Checker) RecordViolation(at time.Duration, rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s at %.2f s: %s", rule, at.Seconds(), fmt.Sprintf(format, args...)))
}

// TaskStarted notes that a task is on a machine.
func (c *Checker) TaskStarted(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	c.StartCount++
	for other := range c.placements[id] {
		if other != m {
			c.RecordViolation(at, RuleRanTwice, "%s starts on %s while on %s", id, m, other)
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
		c.RecordViolation(at, RuleQuota, "%s uses %.1f CPUs, %.1f GPUs", s.Team, usage.CPU.Float(), usage.GPU.Float())
	}
}

// checkPlace checks that a job allows a machine for its task.
func (c *Checker) checkPlace(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	if len(s.Types) > 0 && !slices.Contains(s.Types, typ) || s.Zone != "" && s.Zone != zone || spot && !s.Spot {
		c.RecordViolation(at, RuleWrongPlace, "%s on %s, a %s in %s", id, m, typ, zone)
	}
	same := 1
	if s.OneZone || s.Spread {
		same += c.countSameZone(at, id, s, zone)
	}
	if s.Spread && same > MaxTasksPerZone(s.Tasks) {
		c.RecordViolation(at, RuleWrongPlace, "%d of %d tasks of %s in %s", same, s.Tasks, id.Job, zone)
	}
}

// RunningTasks is how many tasks are on machines.
func (c *Checker) RunningTasks() int { return len(c.placements) }

// countSameZone counts the other tasks of a job in a zone, and finds those that must not be elsewhere.
func (c *Checker) countSameZone(at time.Duration, id api.TaskID, s *api.JobSpec, zone api.Zone) int {
	same := 0
	for other := range c.tasksByJob[id.Job] {
		if other == id {
			continue
		}
		for _, p := range c.placements[other] {
			if s.OneZone && p.zone != zone {
				c.RecordViolation(at, RuleWrongPlace, "%s in %s while %s is in %s", id, zone, other, p.zone)
			}
			if p.zone == zone {
				same++
			}
		}
	}
	return same
}

// TaskStarting notes that a machine carries out the launch of a task, or that the task has its image or
// its gang and begins. None may once its user has got the acknowledgement that the job is cancelled.
func (c *Checker) TaskStarting(at time.Duration, id api.TaskID, what string) {
	end, ok := c.cancelAcknowledgedAt[id.Job]
	switch {
	case !ok:
	case at > end+api.Seconds(c.config.Deployment.Workers.Cancel):
		c.RecordViolation(at, RuleRanCancelled, "%s %s after its cancellation", id, what)
	default:
		c.RecordViolation(at, RuleBeganCancelled, "%s %s %.2f s after its cancellation was told", id, what, (at - end).Seconds())
	}
}

// TaskEnded notes that a task has left a machine.
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

// FaultsOver reports whether no fault is in force any more.
func (c *Checker) FaultsOver(at time.Duration) bool { return at > c.faultsEndAt }

// RunningTaskIDs are the tasks that are on machines, in no order.
func (c *Checker) RunningTaskIDs() iter.Seq[api.TaskID] { return maps.Keys(c.placements) }

// CompletedTasks is how many of a job's tasks are done.
func (c *Checker) CompletedTasks(ref api.JobID) int { return c.jobTracker.completedCount[ref] }

// MaxTasksPerZone is how many tasks of a job that is to be spread may be in one zone.
func MaxTasksPerZone(tasks int) int { return int(math.Ceil(float64(tasks) / 2)) }
