package invariant

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// ServiceLevel is the share of a class's or a team's work that was served: for a service the share of
// the replica time due, for an array or gang 1 once it is done and 0 before. Jobs that were submitted
// too late to be done, and those that their users cancelled, are not counted; nor is the time that a
// service may take to start.
type ServiceLevel struct {
	Jobs       int
	TotalShare float64
}

// Share is the mean over the jobs, 1 where there were none.
func (s ServiceLevel) Share() float64 {
	if s.Jobs == 0 {
		return 1
	}
	return s.TotalShare / float64(s.Jobs)
}

// startGrace is how long a service may take to start before its replicas are due, and
// completionGrace what an array or gang may take beyond twice its run time.
const (
	startGrace      = 30 * time.Second
	completionGrace = 60 * time.Second
)

// jobTracker is what the checker keeps of how jobs are served.
type jobTracker struct {
	jobs           map[api.JobID]*TrackedJob
	runningSince   map[api.TaskID]time.Duration // tasks of services that are on machines
	uptime         map[api.JobID]time.Duration  // replica time, after the grace
	completedCount map[api.JobID]int
}

// TrackedJob is a job that users have submitted.
type TrackedJob struct {
	Spec        *api.JobSpec
	SubmittedAt time.Duration
	RunTime     time.Duration
	CancelledAt time.Duration // cancelled by its user; 0: not
	StartedAt   time.Duration // when it began: a task was on a machine, or all of a gang; 0: not yet
	ActiveTasks int
}

func newJobTracker() jobTracker {
	return jobTracker{jobs: map[api.JobID]*TrackedJob{}, runningSince: map[api.TaskID]time.Duration{}, uptime: map[api.JobID]time.Duration{}, completedCount: map[api.JobID]int{}}
}

// submitted notes a job's first submission; it is repeated until it is answered.
func (s *jobTracker) submitted(at time.Duration, spec *api.JobSpec, run time.Duration) {
	if s.jobs[spec.Ref] == nil {
		s.jobs[spec.Ref] = &TrackedJob{Spec: spec, SubmittedAt: at, RunTime: run}
	}
}

func (s *jobTracker) cancelled(at time.Duration, ref api.JobID) {
	if j := s.jobs[ref]; j != nil && j.CancelledAt == 0 {
		j.CancelledAt = at
	}
}

// taskStarted notes that a task is on some machine from now on.
func (s *jobTracker) taskStarted(at time.Duration, id api.TaskID, spec *api.JobSpec) {
	if spec.Kind == api.Service {
		s.runningSince[id] = at
	}
	if j := s.jobs[id.Job]; j != nil {
		if j.ActiveTasks++; j.StartedAt == 0 && (spec.Kind != api.Gang || j.ActiveTasks == spec.Tasks) {
			j.StartedAt = at
		}
	}
}

// taskStopped notes that a task is on no machine any more.
func (s *jobTracker) taskStopped(at time.Duration, id api.TaskID) {
	if j := s.jobs[id.Job]; j != nil {
		j.ActiveTasks--
	}
	if from, ok := s.runningSince[id]; ok {
		delete(s.runningSince, id)
		s.uptime[id.Job] += s.expectedUptime(id.Job, from, at)
	}
}

// expectedUptime is how much of an interval a service's replicas were due.
func (s *jobTracker) expectedUptime(ref api.JobID, from, to time.Duration) time.Duration {
	j := s.jobs[ref]
	if j == nil {
		return 0
	}
	from = max(from, j.SubmittedAt+startGrace)
	if j.CancelledAt != 0 {
		to = min(to, j.CancelledAt)
	}
	return max(0, to-from)
}

// ServiceLevels returns, as of now, how each class and each team was served.
func (c *Checker) ServiceLevels(now time.Duration) (classes map[api.Class]ServiceLevel, teams map[api.Team]ServiceLevel) {
	classes, teams = map[api.Class]ServiceLevel{}, map[api.Team]ServiceLevel{}
	for j, got := range c.jobTracker.servedShares(now) {
		k, t := classes[j.Spec.Class], teams[j.Spec.Team]
		classes[j.Spec.Class] = ServiceLevel{k.Jobs + 1, k.TotalShare + got}
		teams[j.Spec.Team] = ServiceLevel{t.Jobs + 1, t.TotalShare + got}
	}
	return classes, teams
}

// LargestJobs returns how the largest tenth of each class's jobs was served, one at least, and
// which of them waited longer than maxWait. Jobs are compared by what all their tasks take together:
// first by accelerators, then by CPUs, then by memory.
func (c *Checker) LargestJobs(now, maxWait time.Duration) (classes map[api.Class]ServiceLevel, late []string) {
	byClass := map[api.Class][]*TrackedJob{}
	for _, j := range c.jobTracker.jobs {
		byClass[j.Spec.Class] = append(byClass[j.Spec.Class], j)
	}
	size := func(j *TrackedJob) api.Resources { return j.Spec.Demand().Times(j.Spec.Tasks) }
	shares := c.jobTracker.servedShares(now)
	classes = map[api.Class]ServiceLevel{}
	for class, jobs := range byClass {
		slices.SortFunc(jobs, func(a, b *TrackedJob) int {
			x, y := size(a), size(b)
			return cmp.Or(cmp.Compare(y.GPU, x.GPU), cmp.Compare(y.CPU, x.CPU), cmp.Compare(y.Mem, x.Mem), cmp.Compare(a.Spec.Ref, b.Spec.Ref))
		})
		last := (len(jobs) + 9) / 10
		for last < len(jobs) && size(jobs[last]) == size(jobs[last-1]) {
			last++ // as large
		}
		for _, j := range jobs[:last] {
			if got, counted := shares[j]; counted {
				classes[class] = ServiceLevel{classes[class].Jobs + 1, classes[class].TotalShare + got}
			}
			until := now
			if j.CancelledAt != 0 {
				until = min(until, j.CancelledAt)
			}
			if j.StartedAt != 0 {
				until = min(until, j.StartedAt)
			}
			if maxWait > 0 && until-j.SubmittedAt > maxWait {
				late = append(late, fmt.Sprintf("%s, of the largest of class %s, waited %.0f s to begin", j.Spec.Ref, class, (until-j.SubmittedAt).Seconds()))
			}
		}
	}
	slices.Sort(late)
	return classes, late
}

// servedShares is how much of each job that counts was served.
func (s *jobTracker) servedShares(now time.Duration) map[*TrackedJob]float64 {
	up := map[api.JobID]time.Duration{}
	for ref, d := range s.uptime {
		up[ref] = d
	}
	for id, from := range s.runningSince {
		up[id.Job] += s.expectedUptime(id.Job, from, now)
	}
	out := map[*TrackedJob]float64{}
	for ref, j := range s.jobs {
		if j.Spec.Kind == api.Service {
			if due := s.expectedUptime(ref, 0, now) * time.Duration(j.Spec.Tasks); due != 0 {
				out[j] = float64(up[ref]) / float64(due)
			}
		} else if j.CancelledAt == 0 && j.SubmittedAt+2*j.RunTime+completionGrace <= now {
			if out[j] = 0; s.completedCount[ref] >= j.Spec.Tasks {
				out[j] = 1
			}
		}
	}
	return out
}

// ReplicaCounts counts the replicas of services that are up and those that are due, now.
func (c *Checker) ReplicaCounts(now time.Duration) (up, due int) {
	for _, j := range c.jobTracker.jobs {
		if j.Spec.Kind == api.Service && now > j.SubmittedAt+startGrace && (j.CancelledAt == 0 || now < j.CancelledAt) {
			due += j.Spec.Tasks
		}
	}
	for id := range c.jobTracker.runningSince {
		if j := c.jobTracker.jobs[id.Job]; j != nil && now > j.SubmittedAt+startGrace && (j.CancelledAt == 0 || now < j.CancelledAt) {
			up++
		}
	}
	return up, due
}

// Jobs are the jobs that users have submitted, in no order. They must not be changed.
func (c *Checker) Jobs() iter.Seq2[api.JobID, *TrackedJob] { return maps.All(c.jobTracker.jobs) }

// Job is a job that users have submitted; nil if it is not known.
func (c *Checker) Job(ref api.JobID) *TrackedJob { return c.jobTracker.jobs[ref] }

// JobIDs are the ids of the jobs that users have submitted, in order.
func (c *Checker) JobIDs() []api.JobID { return slices.Sorted(maps.Keys(c.jobTracker.jobs)) }
