package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
)

// newServiceWithJobs returns a Service with pending jobs of two teams: count jobs with a deadline
// of 100 s, each accepted 1 s before the previous one, and one job without a deadline.
func newServiceWithJobs(t *testing.T, count int) *Service {
	t.Helper()
	s := newTestService(t)
	s.core.Teams["blue"] = config.Team{Name: "blue"}
	spec := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 3, CPUs: 1}
	putJob(t, s, spec, 0)
	s.core.WallClock = s.core.State.Jobs[spec.Ref].AcceptedAt + api.WallTime(1000*count)
	for i := range count {
		other, deadline := *spec, 100.0
		other.Ref, other.Deadline, other.Estimate = api.JobID(fmt.Sprintf("run-%06d", 100000+i)), &deadline, 10
		if i%2 == 1 {
			other.Team = "blue"
		}
		putJob(t, s, &other, s.core.WallClock-api.WallTime(1000*i))
	}
	return s
}

// putJob puts a job's record into the cluster state.
func putJob(t *testing.T, s *Service, spec *api.JobSpec, acceptedAt api.WallTime) {
	t.Helper()
	data, err := json.Marshal(clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}, AcceptedAt: acceptedAt})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.core.State.Put(clusterstate.KeyJob+string(spec.Ref), data, 7); err != nil {
		t.Fatal(err)
	}
}

// The listing shows the latest jobs first, with team, tardiness and reasons.
func TestLateJobsFirst(t *testing.T) {
	s := newServiceWithJobs(t, 200)
	v := s.ViewJobs("", 5)
	if v.OpenCount != 201 || v.LateCount != 109 || len(v.Jobs) != 5 {
		t.Fatalf("%d open, %d late, %d shown", v.OpenCount, v.LateCount, len(v.Jobs))
	}
	if j := v.Jobs[0]; j.JobID != "run-100199" || j.Team != "blue" || j.Tardiness != 109 || len(j.Reasons) == 0 {
		t.Errorf("first job: %+v", j)
	}
	if !slices.IsSortedFunc(v.Jobs, func(a, b View) int { return int(b.Tardiness - a.Tardiness) }) {
		t.Errorf("not sorted by tardiness: %+v", v.Jobs)
	}
	for _, j := range s.ViewJobs("blue", 1000).Jobs {
		if j.Team != "blue" {
			t.Errorf("the listing of team blue has %s of team %s", j.JobID, j.Team)
		}
	}
}

// A listing of very many jobs must not delay scheduling: the cost of a job that is not listed is
// negligible.
func TestListingJobsAllocatesLittle(t *testing.T) {
	allocations := func(jobs int) float64 {
		s := newServiceWithJobs(t, jobs)
		return testing.AllocsPerRun(3, func() { s.ViewJobs("", 50) })
	}
	few, many := allocations(500), allocations(10_000)
	if perJob := (many - few) / 9500; perJob > 3 {
		t.Errorf("%.1f allocations for each job that is not listed", perJob)
	}
}
