package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// Checker observes what runs on machines and what users are told, and finds
// violations of the rules. It shares no code with the controllers' decisions.
type Checker struct {
	Violations []string
	StartCount int

	config               *config.Config
	placements           map[api.TaskID]map[api.MachineID]placement
	tasksByJob           map[api.JobID]map[api.TaskID]bool // that are on some machine
	teamUsage            map[api.Team]api.Resources        // of all that is on machines
	completedTasks       map[api.TaskID]bool
	reportedStates       map[api.JobID]api.JobState // the strongest answer so far
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

// replicaRestartTimeout is how long a replica of an urgent service may be missing after it was stopped by
// command: only preemption by work of higher priority (see forgetPreempted) and a move may stop it, and a move
// has free capacity for it elsewhere, so it is the time to fetch the image and to start.
const replicaRestartTimeout = time.Minute

// stoppedReplica is when and where a replica was stopped by command.
type stoppedReplica struct {
	at      time.Duration
	machine api.MachineID
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

// queryStatus is how queries about a job were answered.
type queryStatus struct {
	lastAnswered time.Duration // when one was last answered with 200
	lastSent     time.Duration // when one was last sent
	reported     bool          // a violation was recorded
}

// unansweredTimeout is how long queries about an accepted job may go unanswered, once all
// faults are over.
const unansweredTimeout = 75 * time.Second

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
	return &Checker{config: cfg, placements: map[api.TaskID]map[api.MachineID]placement{}, tasksByJob: map[api.JobID]map[api.TaskID]bool{}, teamUsage: map[api.Team]api.Resources{}, completedTasks: map[api.TaskID]bool{},
		reportedStates: map[api.JobID]api.JobState{}, cancelAcknowledgedAt: map[api.JobID]time.Duration{}, cancelRequests: map[api.JobID]bool{},
		specs: map[api.JobID]*api.JobSpec{}, submitted: map[api.JobID]bool{}, jobTracker: newJobTracker(), queries: map[api.JobID]*queryStatus{}, stoppedReplicas: map[api.TaskID]stoppedReplica{},
		pendingCancels: map[api.JobID]time.Duration{}, feasibleSince: feasibleTimes{}, starvationReported: map[api.JobID]bool{}}
}

func (c *Checker) recordViolation(at time.Duration, rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s at %.2f s: %s", rule, at.Seconds(), fmt.Sprintf(format, args...)))
}

// TaskStarted notes that a task is on a machine.
func (c *Checker) TaskStarted(at time.Duration, id api.TaskID, s *api.JobSpec, m api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	c.StartCount++
	for other := range c.placements[id] {
		if other != m {
			c.recordViolation(at, "ran_twice", "%s starts on %s while on %s", id, m, other)
		}
	}
	if len(s.Types) > 0 && !slices.Contains(s.Types, typ) || s.Zone != "" && s.Zone != zone || spot && !s.Spot {
		c.recordViolation(at, "wrong_place", "%s on %s, a %s in %s", id, m, typ, zone)
	}
	same := 1
	if s.OneZone || s.Spread {
		same += c.countSameZone(at, id, s, zone)
	}
	if s.Spread && same > ceilHalf(s.Tasks) {
		c.recordViolation(at, "wrong_place", "%d of %d tasks of %s in %s", same, s.Tasks, id.Job, zone)
	}
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
		c.OnStart(at, j.submittedAt, id, s)
	}
	delete(c.stoppedReplicas, id)
	c.forgetPreempted(m, s)
	if usage := c.teamUsage[s.Team]; !c.withinLimit(s.Team, usage) {
		c.recordViolation(at, "quota", "%s uses %.1f CPUs, %.1f GPUs", s.Team, usage.CPU.Float(), usage.GPU.Float())
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
				c.recordViolation(at, "wrong_place", "%s in %s while %s is in %s", id, zone, other, p.zone)
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
		c.recordViolation(at, "ran_cancelled", "%s %s after its cancellation", id, what)
	default:
		c.recordViolation(at, "began_cancelled", "%s %s %.2f s after its cancellation was told", id, what, (at - end).Seconds())
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

// JobSubmitted notes that a user has tried to submit a job, CancelRequested that one
// has asked for its cancellation.
func (c *Checker) JobSubmitted(at time.Duration, s *api.JobSpec, run time.Duration) {
	c.submitted[s.Ref] = true
	c.specs[s.Ref] = s
	c.jobTracker.submitted(at, s, run)
}

// CancelRequested notes a user's wish to cancel.
func (c *Checker) CancelRequested(at time.Duration, ref api.JobID) {
	c.cancelRequests[ref] = true
	c.jobTracker.cancelled(at, ref)
}

// AwaitCancelAck notes that a user asks for a cancellation, and repeats that until it is acknowledged.
func (c *Checker) AwaitCancelAck(at time.Duration, ref api.JobID) {
	if _, since := c.pendingCancels[ref]; !since && stateRank(c.reportedStates[ref]) < 2 {
		c.pendingCancels[ref] = at
	}
}

func stateRank(s api.JobState) int {
	switch s {
	case api.JobDone, api.JobCancelled:
		return 2
	case api.JobPending, api.JobRunning:
		return 1
	}
	return 0
}

// ResponseReceived notes an answer: before is what was known when the request was sent.
func (c *Checker) ResponseReceived(at time.Duration, ref api.JobID, status int, s api.JobState, previous api.JobState) {
	if status == 404 || status == 400 || status == 422 {
		if previous != "" {
			c.recordViolation(at, "forgotten", "%s, accepted before, gets %d", ref, status)
		}
		return
	}
	if status == 401 {
		delete(c.queries, ref) // its tenant was removed: nobody can ask any more
	}
	if status != 200 && status != 201 {
		return
	}
	if !c.submitted[ref] {
		c.recordViolation(at, "invented", "%s gets %d", ref, status)
		return
	}
	if stateRank(previous) == 2 && s != previous {
		c.recordViolation(at, "went_back", "%s was %s, is called %s", ref, previous, s)
	}
	if s == api.JobCancelled && !c.cancelRequests[ref] {
		c.recordViolation(at, "went_back", "%s is called cancelled, which nobody asked", ref)
	}
	if s == api.JobDone {
		for i := range c.specs[ref].Tasks {
			if !c.completedTasks[api.TaskID{Job: ref, Index: i}] {
				c.recordViolation(at, "not_done", "%s is called done, task %d is not", ref, i)
				break
			}
		}
	}
	if s == api.JobCancelled {
		if _, ok := c.cancelAcknowledgedAt[ref]; !ok {
			c.cancelAcknowledgedAt[ref] = at
		}
	}
	if since, ok := c.pendingCancels[ref]; ok && stateRank(s) == 2 {
		c.MaxCancelWait = max(c.MaxCancelWait, at-since)
		delete(c.pendingCancels, ref)
	}
	if c.queries[ref] == nil {
		c.queries[ref] = &queryStatus{}
	}
	c.queries[ref].lastAnswered = at
	if stateRank(s) >= stateRank(c.reportedStates[ref]) {
		c.reportedStates[ref] = s
	}
}

// InvalidJobResponse notes the answer to the submission of an invalid job, and reports whether it is final:
// the job must be refused, naming the field where one is at fault.
func (c *Checker) InvalidJobResponse(at time.Duration, ref api.JobID, problem string, status int, field, reason string) bool {
	switch status {
	case 200, 201:
		c.recordViolation(at, "accepted_bad", "%s (%s) is accepted", ref, problem)
	case 400, 422:
		if !strings.HasPrefix(reason, field) {
			c.recordViolation(at, "accepted_bad", "%s (%s) is refused by %q, which does not name %s", ref, problem, reason, field)
		}
	default:
		return false
	}
	return true
}

// ReportedState is the strongest answer given so far for a job.
func (c *Checker) ReportedState(ref api.JobID) api.JobState { return c.reportedStates[ref] }

// CheckTimeouts checks what may go wrong by time alone.
func (c *Checker) CheckTimeouts(at time.Duration) {
	for job, tasks := range c.tasksByJob {
		if end, ok := c.cancelAcknowledgedAt[job]; !ok || at <= end+api.Seconds(c.config.Deployment.Workers.Cancel) {
			continue
		}
		for id := range tasks {
			c.recordViolation(at, "ran_cancelled", "%s is still on a machine", id)
		}
	}
	for id, x := range c.stoppedReplicas {
		if c.cancelRequests[id.Job] {
			delete(c.stoppedReplicas, id)
		} else if since := max(x.at, c.faultsEndAt); at > since+replicaRestartTimeout {
			delete(c.stoppedReplicas, id)
			c.recordViolation(at, "moved", "%s was stopped at %.1f s and is missing since", id, x.at.Seconds())
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(c.pendingCancels)) {
		if since := max(c.pendingCancels[ref], c.faultsEndAt); at > since+unansweredTimeout {
			delete(c.pendingCancels, ref)
			c.recordViolation(at, "untold", "the cancellation of %s is not told since %.1f s", ref, since.Seconds())
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(c.queries)) {
		a := c.queries[ref]
		if since := max(a.lastAnswered, c.faultsEndAt); !a.reported && !c.cancelRequests[ref] && a.lastSent > since && at > since+unansweredTimeout {
			a.reported = true
			c.recordViolation(at, "unknown", "%s, accepted before, has had no answer since %.1f s", ref, since.Seconds())
		}
	}
}
