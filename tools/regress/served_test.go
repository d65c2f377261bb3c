package main

import (
	"encoding/json"
	"testing"
)

// TestLeastServed checks that missing replica time, jobs that did not complete, and jobs of a team that did
// not start reduce a share, and that cancelled jobs don't.
func TestLeastServed(t *testing.T) {
	var r dayReport
	if err := json.Unmarshal([]byte(`{"classes":{"web":{"jobs":10,"started":10,"done":0,"cancelled":7,"up":0.97},
		"batch":{"jobs":20,"started":20,"done":9,"cancelled":2}},
		"teams":{"a":{"jobs":5,"started":5},"b":{"jobs":8,"started":2},"c":{"jobs":0,"started":0}}}`), &r); err != nil {
		t.Fatal(err)
	}
	class, team := r.leastServed()
	if class.name != "batch" || class.share != 0.5 || team.name != "b" || team.share != 0.25 {
		t.Errorf("least served: class %s %.3f, team %s %.3f", class.name, class.share, team.name, team.share)
	}
}
