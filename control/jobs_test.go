package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/book"
	"basaltwall/config"
)

// manyJobs is a controller with so many waiting jobs of two teams, each a second
// older than the one before it and with a limit of 100 s.
func manyJobs(t *testing.T, jobs int) *Node {
	t.Helper()
	spec := testSpec(3)
	n, _, _, first := owner(t, spec)
	n.teams["blue"] = config.Team{Name: "blue"}
	n.wall = first.Accepted + api.Wall(1000*jobs)
	for i := range jobs {
		s := *spec
		limit := 100.0
		s.Ref, s.Deadline, s.Estimate = api.JobRef(fmt.Sprintf("run-%06d", 100000+i)), &limit, 10
		if i%2 == 1 {
			s.Team = "blue"
		}
		data, err := json.Marshal(book.JobValue{Spec: &s, Split: []book.Range{{From: 0, To: s.Tasks}}, Accepted: n.wall - api.Wall(1000*i)})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.book.Put(book.KeyJob+string(s.Ref), data, 7); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

// The crew asks whose job is late while something is wrong: the latest come first,
// with their team, by how much, and why.
func TestLateJobsFirst(t *testing.T) {
	n := manyJobs(t, 200)
	v := n.viewJobs("", 5)
	if v.Open != 201 || v.Late != 109 || len(v.Jobs) != 5 {
		t.Fatalf("%d open, %d late, %d shown", v.Open, v.Late, len(v.Jobs))
	}
	if j := v.Jobs[0]; j.Ref != "run-100199" || j.Team != "blue" || j.LateBy != 109 || len(j.Why) == 0 {
		t.Errorf("first comes %+v", j)
	}
	if !slices.IsSortedFunc(v.Jobs, func(a, b JobView) int { return int(b.LateBy - a.LateBy) }) {
		t.Errorf("not by lateness: %+v", v.Jobs)
	}
	for _, j := range n.viewJobs("blue", 1000).Jobs {
		if j.Team != "blue" {
			t.Errorf("blue is shown %s of %s", j.Ref, j.Team)
		}
	}
}

// Asking must not hold up decisions: what is done for each job that is not shown is
// next to nothing, however many there are.
func TestAskingForJobsIsCheap(t *testing.T) {
	count := func(jobs int) float64 {
		n := manyJobs(t, jobs)
		return testing.AllocsPerRun(3, func() { n.viewJobs("", 50) })
	}
	few, many := count(500), count(10_000)
	if perJob := (many - few) / 9500; perJob > 3 {
		t.Errorf("%.1f allocations for each job more", perJob)
	}
}
