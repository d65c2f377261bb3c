package standin

import (
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
}

func (s *service) off(at time.Duration, id api.TaskID) {
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
	s := &c.served
	up := map[api.JobRef]time.Duration{}
	for ref, d := range s.up {
		up[ref] = d
	}
	for id, from := range s.since {
		up[id.Job] += s.due(id.Job, from, now)
	}
	classes, teams = map[api.Class]Served{}, map[api.Team]Served{}
	for ref, j := range s.jobs {
		got := 0.0
		if j.spec.Kind == api.Service {
			due := s.due(ref, 0, now) * time.Duration(j.spec.Tasks)
			if due == 0 {
				continue
			}
			got = float64(up[ref]) / float64(due)
		} else {
			if j.ended != 0 || j.at+2*j.run+workGrace > now {
				continue
			}
			if s.done[ref] >= j.spec.Tasks {
				got = 1
			}
		}
		k, t := classes[j.spec.Class], teams[j.spec.Team]
		classes[j.spec.Class] = Served{k.Jobs + 1, k.Sum + got}
		teams[j.spec.Team] = Served{t.Jobs + 1, t.Sum + got}
	}
	return classes, teams
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
