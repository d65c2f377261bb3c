package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basaltwall/api"
)

// Served is what of a class's or a team's work was served: of a service the share of the
// replica time due, of an array or gang all once it is done and none before. Jobs that
// came too late to be done, and those that their users cancelled, are not counted; nor is
// the time in which a service may still start.
type Served struct {
	Jobs int
	Sum  float64
}

// Share is the mean over the jobs, 1 where there were none.
func (s Served) Share() float64 {
	if s.Jobs == 0 {
		return 1
	}
	return s.Sum / float64(s.Jobs)
}

// startGrace is how long a service may take to start before its replicas are due, and
// workGrace what an array or gang may take beyond twice its run time.
const (
	startGrace = 30 * time.Second
	workGrace  = 60 * time.Second
)

// service is what the checker keeps of how jobs are served.
type service struct {
	jobs  map[api.JobRef]*dueJob
	since map[api.TaskID]time.Duration // tasks of services that are on machines
	up    map[api.JobRef]time.Duration // replica time, after the grace
	done  map[api.JobRef]int
}

type dueJob struct {
	spec  *api.JobSpec
	at    time.Duration
	run   time.Duration
	ended time.Duration // cancelled by its user; 0: not
	first time.Duration // when it began: a task was on a machine, or all of a gang; 0: not yet
	onNow int
}

func newService() service {
	return service{jobs: map[api.JobRef]*dueJob{}, since: map[api.TaskID]time.Duration{}, up: map[api.JobRef]time.Duration{}, done: map[api.JobRef]int{}}
}

// came notes a job's first submission; it is repeated until it is answered.
func (s *service) came(at time.Duration, spec *api.JobSpec, run time.Duration) {
	if s.jobs[spec.Ref] == nil {
		s.jobs[spec.Ref] = &dueJob{spec: spec, at: at, run: run}
	}
}

func (s *service) cancelled(at time.Duration, ref api.JobRef) {
	if j := s.jobs[ref]; j != nil && j.ended == 0 {
		j.ended = at
	}
}

// on and off note that a task is on some machine from now on, or on none.
func (s *service) on(at time.Duration, id api.TaskID, spec *api.JobSpec) {
	if spec.Kind == api.Service {
		s.since[id] = at
	}
	if j := s.jobs[id.Job]; j != nil {
		if j.onNow++; j.first == 0 && (spec.Kind != api.Gang || j.onNow == spec.Tasks) {
			j.first = at
		}
	}
}

func (s *service) off(at time.Duration, id api.TaskID) {
	if j := s.jobs[id.Job]; j != nil {
		j.onNow--
	}
	if from, ok := s.since[id]; ok {
		delete(s.since, id)
		s.up[id.Job] += s.due(id.Job, from, at)
	}
}

// due is how much of a time a service's replicas were due.
func (s *service) due(ref api.JobRef, from, to time.Duration) time.Duration {
	j := s.jobs[ref]
	if j == nil {
		return 0
	}
	from = max(from, j.at+startGrace)
	if j.ended != 0 {
		to = min(to, j.ended)
	}
	return max(0, to-from)
}

// Served tells, as of now, how each class and each team was served.
func (c *Checker) Served(now time.Duration) (classes map[api.Class]Served, teams map[api.Team]Served) {
	classes, teams = map[api.Class]Served{}, map[api.Team]Served{}
	for j, got := range c.served.shares(now) {
		k, t := classes[j.spec.Class], teams[j.spec.Team]
		classes[j.spec.Class] = Served{k.Jobs + 1, k.Sum + got}
		teams[j.spec.Team] = Served{t.Jobs + 1, t.Sum + got}
	}
	return classes, teams
}

// Largest tells how the largest tenth of each class's jobs was served, one at least, and
// which of them waited longer than they may. Largest is what all tasks take together: first of
// accelerators, then of CPUs, then of memory.
func (c *Checker) Largest(now, within time.Duration) (classes map[api.Class]Served, late []string) {
	byClass := map[api.Class][]*dueJob{}
	for _, j := range c.served.jobs {
		byClass[j.spec.Class] = append(byClass[j.spec.Class], j)
	}
	size := func(j *dueJob) api.Resources { return j.spec.Demand().Times(j.spec.Tasks) }
	shares := c.served.shares(now)
	classes = map[api.Class]Served{}
	for class, jobs := range byClass {
		slices.SortFunc(jobs, func(a, b *dueJob) int {
			x, y := size(a), size(b)
			return cmp.Or(cmp.Compare(y.GPU, x.GPU), cmp.Compare(y.CPU, x.CPU), cmp.Compare(y.Mem, x.Mem), cmp.Compare(a.spec.Ref, b.spec.Ref))
		})
		last := (len(jobs) + 9) / 10
		for last < len(jobs) && size(jobs[last]) == size(jobs[last-1]) {
			last++ // as large
		}
		for _, j := range jobs[:last] {
			if got, due := shares[j]; due {
				classes[class] = Served{classes[class].Jobs + 1, classes[class].Sum + got}
			}
			until := now
			if j.ended != 0 {
				until = min(until, j.ended)
			}
			if j.first != 0 {
				until = min(until, j.first)
			}
			if within > 0 && until-j.at > within {
				late = append(late, fmt.Sprintf("%s, of the largest of class %s, waited %.0f s to begin", j.spec.Ref, class, (until-j.at).Seconds()))
			}
		}
	}
	slices.Sort(late)
	return classes, late
}

// shares is how much of each job that counts was served.
func (s *service) shares(now time.Duration) map[*dueJob]float64 {
	up := map[api.JobRef]time.Duration{}
	for ref, d := range s.up {
		up[ref] = d
	}
	for id, from := range s.since {
		up[id.Job] += s.due(id.Job, from, now)
	}
	out := map[*dueJob]float64{}
	for ref, j := range s.jobs {
		if j.spec.Kind == api.Service {
			if due := s.due(ref, 0, now) * time.Duration(j.spec.Tasks); due != 0 {
				out[j] = float64(up[ref]) / float64(due)
			}
		} else if j.ended == 0 && j.at+2*j.run+workGrace <= now {
			if out[j] = 0; s.done[ref] >= j.spec.Tasks {
				out[j] = 1
			}
		}
	}
	return out
}

// Replicas counts the replicas of services that are up and those that are due, now.
func (c *Checker) Replicas(now time.Duration) (up, due int) {
	for _, j := range c.served.jobs {
		if j.spec.Kind == api.Service && now > j.at+startGrace && (j.ended == 0 || now < j.ended) {
			due += j.spec.Tasks
		}
	}
	for id := range c.served.since {
		if j := c.served.jobs[id.Job]; j != nil && now > j.at+startGrace && (j.ended == 0 || now < j.ended) {
			up++
		}
	}
	return up, due
}
