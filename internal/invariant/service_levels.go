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

// ServiceLevel sums up how well the jobs of a class or team were served: a service by its uptime relative
// to the expected uptime, an array or gang by 1 if it is done and 0 if not. Cancelled arrays and gangs, and
// those that were submitted too late to finish, are not counted.
type ServiceLevel struct {
	Jobs       int
	TotalShare float64
}

// Share returns the mean share over the jobs, or 1 without jobs.
func (s ServiceLevel) Share() float64 {
	if s.Jobs == 0 {
		return 1
	}
	return s.TotalShare / float64(s.Jobs)
}

const (
	startGrace      = 30 * time.Second // from the submission of a service until its uptime counts
	completionGrace = 60 * time.Second // for an array or gang, in addition to twice its run time
)

// jobTracker records when jobs and their tasks ran, to compute service levels.
type jobTracker struct {
	jobs           map[api.JobID]*TrackedJob
	runningSince   map[api.TaskID]time.Duration // start times of services' tasks on machines
	uptime         map[api.JobID]time.Duration  // total run time of replicas that ended, after startGrace
	completedCount map[api.JobID]int
}

// TrackedJob is a job that users have submitted, and its progress.
type TrackedJob struct {
	Spec        *api.JobSpec
	SubmittedAt time.Duration
	RunTime     time.Duration
	CancelledAt time.Duration // time of the cancellation request; 0: none
	StartedAt   time.Duration // first time with a task, or a whole gang, on machines; 0: not started
	ActiveTasks int           // tasks on machines
}

func newJobTracker() jobTracker {
	return jobTracker{jobs: map[api.JobID]*TrackedJob{}, runningSince: map[api.TaskID]time.Duration{}, uptime: map[api.JobID]time.Duration{}, completedCount: map[api.JobID]int{}}
}

// submitted records a job's first submission and ignores repeated ones.
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

// taskStarted records that a task, on no machine before, is on a machine.
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

// taskStopped records that a task is no longer on any machine.
func (s *jobTracker) taskStopped(at time.Duration, id api.TaskID) {
	if j := s.jobs[id.Job]; j != nil {
		j.ActiveTasks--
	}
	if from, ok := s.runningSince[id]; ok {
		delete(s.runningSince, id)
		s.uptime[id.Job] += s.expectedUptime(id.Job, from, at)
	}
}

// expectedUptime returns the part of an interval in which a service's replicas are expected to run.
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

// ServiceLevels returns the service levels by class and by team.
func (c *Checker) ServiceLevels(now time.Duration) (classes map[api.Class]ServiceLevel, teams map[api.Team]ServiceLevel) {
	classes, teams = map[api.Class]ServiceLevel{}, map[api.Team]ServiceLevel{}
	for j, share := range c.jobTracker.servedShares(now) {
		k, t := classes[j.Spec.Class], teams[j.Spec.Team]
		classes[j.Spec.Class] = ServiceLevel{k.Jobs + 1, k.TotalShare + share}
		teams[j.Spec.Team] = ServiceLevel{t.Jobs + 1, t.TotalShare + share}
	}
	return classes, teams
}

// LargestJobs returns the service levels of the largest tenth of each class's jobs, at least one job, and
// a message for each of these jobs that was pending for longer than maxWait. Jobs are ordered by the total
// demand of their tasks: by accelerators, then CPUs, then memory.
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
			last++ // includes jobs of equal size
		}
		for _, j := range jobs[:last] {
			if share, counted := shares[j]; counted {
				classes[class] = ServiceLevel{classes[class].Jobs + 1, classes[class].TotalShare + share}
			}
			until := now
			if j.CancelledAt != 0 {
				until = min(until, j.CancelledAt)
			}
			if j.StartedAt != 0 {
				until = min(until, j.StartedAt)
			}
			if maxWait > 0 && until-j.SubmittedAt > maxWait {
				late = append(late, fmt.Sprintf("job %s, one of the largest jobs of class %s, was pending for %.0f s", j.Spec.Ref, class, (until-j.SubmittedAt).Seconds()))
			}
		}
	}
	slices.Sort(late)
	return classes, late
}

// servedShares returns the served share of each job that counts towards a service level.
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

// ReplicaCounts returns the numbers of running and of expected replicas of services.
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

// Jobs returns the submitted jobs, in no order. The caller must not change them.
func (c *Checker) Jobs() iter.Seq2[api.JobID, *TrackedJob] { return maps.All(c.jobTracker.jobs) }

// Job returns a submitted job, or nil.
func (c *Checker) Job(ref api.JobID) *TrackedJob { return c.jobTracker.jobs[ref] }

// JobIDs returns the sorted ids of the submitted jobs.
func (c *Checker) JobIDs() []api.JobID { return slices.Sorted(maps.Keys(c.jobTracker.jobs)) }
