package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/jobs"
)

// manyJobs is a controller with so many waiting jobs of two teams, each a second
// older than the one before it and with a limit of 100 s.
func manyJobs(t *testing.T, jobs int) *Controller {
	t.Helper()
	spec := testSpec(3)
	n, _, _, first := newTestOwner(t, spec)
	n.core.Teams["blue"] = config.Team{Name: "blue"}
	n.core.WallClock = first.AcceptedAt + api.WallTime(1000*jobs)
	for i := range jobs {
		s := *spec
		limit := 100.0
		s.Ref, s.Deadline, s.Estimate = api.JobID(fmt.Sprintf("run-%06d", 100000+i)), &limit, 10
		if i%2 == 1 {
			s.Team = "blue"
		}
		data, err := json.Marshal(clusterstate.JobValue{Spec: &s, Split: []clusterstate.TaskRange{{From: 0, To: s.Tasks}}, AcceptedAt: n.core.WallClock - api.WallTime(1000*i)})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.core.State.Put(clusterstate.KeyJob+string(s.Ref), data, 7); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

// The crew asks whose job is late while something is wrong: the latest come first,
// with their team, by how much, and why.
func TestLateJobsFirst(t *testing.T) {
	n := manyJobs(t, 200)
	v := n.jobs.ViewJobs("", 5)
	if v.OpenCount != 201 || v.LateCount != 109 || len(v.Jobs) != 5 {
		t.Fatalf("%d open, %d late, %d shown", v.OpenCount, v.LateCount, len(v.Jobs))
	}
	if j := v.Jobs[0]; j.JobID != "run-100199" || j.Team != "blue" || j.Tardiness != 109 || len(j.Reasons) == 0 {
		t.Errorf("first comes %+v", j)
	}
	if !slices.IsSortedFunc(v.Jobs, func(a, b jobs.View) int { return int(b.Tardiness - a.Tardiness) }) {
		t.Errorf("not by lateness: %+v", v.Jobs)
	}
	for _, j := range n.jobs.ViewJobs("blue", 1000).Jobs {
		if j.Team != "blue" {
			t.Errorf("blue is shown %s of %s", j.JobID, j.Team)
		}
	}
}

// Asking must not hold up decisions: what is done for each job that is not shown is
// next to nothing, however many there are.
func TestListingJobsAllocatesLittle(t *testing.T) {
	count := func(jobs int) float64 {
		n := manyJobs(t, jobs)
		return testing.AllocsPerRun(3, func() { n.jobs.ViewJobs("", 50) })
	}
	few, many := count(500), count(10_000)
	if perJob := (many - few) / 9500; perJob > 3 {
		t.Errorf("%.1f allocations for each job more", perJob)
	}
}
