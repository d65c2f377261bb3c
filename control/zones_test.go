package control

import (
	"testing"

	"basaltwall/api"
	"basaltwall/zone"
)

// While a zone is lost urgent work has others make way only down to their floors.
func TestNothingMakesWayBelowItsFloor(t *testing.T) {
	n, turf, m, j := owner(t, testSpec(2))
	j.Spec.Class = "batch"
	for i := range 2 {
		n.book.AddPlace(&Place{Task: api.TaskID{Job: j.Ref, Index: i}, Machine: m.ID, Session: 1, Job: j})
	}
	urgent := &api.JobSpec{Ref: "run-2", Kind: api.Service, Class: "web", Team: "red", Priority: api.Production, Tasks: 1, CPUs: 8, MemGB: 1}
	way := func(spare float64) int {
		n.zones.dueOfClass = map[api.Class]zone.Due{"batch": {Spare: spare}}
		n.zones.dueOfTeam = map[api.Team]zone.Due{"red": {Spare: 100}}
		return n.wayOn(m, turf, urgent, 1, false).tasks
	}
	if way(2) != 1 {
		t.Error("what is above its floor does not make way")
	}
	if way(0.5) != 0 {
		t.Error("what is at its floor makes way")
	}
	n.zones.dueOfClass, n.zones.dueOfTeam = nil, nil
	if n.wayOn(m, turf, urgent, 1, false).tasks != 1 {
		t.Error("without a lost zone there is a floor")
	}
}
