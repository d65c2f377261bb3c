package core

import (
	"testing"

	"basaltwall/api"
)

// refusals returns the evidence after a number of refusals of a task, and whether the last one confirmed it.
func refusals(r *UnknownTaskRefusals, task, count int, machines ...api.MachineID) (confirmed bool) {
	for i := range count {
		confirmed = r.Refused(task, machines[i%len(machines)])
	}
	return confirmed
}

func TestUnknownTaskIsConfirmedByRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		refuse func(*UnknownTaskRefusals) bool
		want   bool
	}{
		{"several machines", func(r *UnknownTaskRefusals) bool { return refusals(r, 2, confirmingRefusals, "i-1", "i-2") }, true},
		{"several machines, one too few", func(r *UnknownTaskRefusals) bool { return refusals(r, 2, confirmingRefusals-1, "i-1", "i-2") }, false},
		{"one machine", func(r *UnknownTaskRefusals) bool { return refusals(r, 2, confirmingRefusalsByOne, "i-1") }, true},
		{"one machine, one too few", func(r *UnknownTaskRefusals) bool { return refusals(r, 2, confirmingRefusalsByOne-1, "i-1") }, false},
		{"one machine, another refuses a higher task", func(r *UnknownTaskRefusals) bool {
			refusals(r, 2, 1, "i-1")
			refusals(r, 3, 1, "i-2")
			return refusals(r, 2, confirmingRefusals-1, "i-1")
		}, true},
		{"higher tasks don't count", func(r *UnknownTaskRefusals) bool {
			refusals(r, 2, 1, "i-1")
			return refusals(r, 3, 100, "i-1", "i-2")
		}, false},
		{"a lower task starts anew", func(r *UnknownTaskRefusals) bool {
			refusals(r, 3, confirmingRefusals-1, "i-1", "i-2")
			return r.Refused(2, "i-1")
		}, false},
		{"a task from there on is accepted", func(r *UnknownTaskRefusals) bool {
			refusals(r, 2, confirmingRefusals-1, "i-1", "i-2")
			r.Accepted(4)
			return r.Refused(2, "i-1")
		}, false},
		{"a lower task is accepted", func(r *UnknownTaskRefusals) bool {
			refusals(r, 2, confirmingRefusals-1, "i-1", "i-2")
			r.Accepted(1)
			return r.Refused(2, "i-1")
		}, true},
	} {
		r := &UnknownTaskRefusals{}
		if got := c.refuse(r); got != c.want {
			t.Errorf("%s: confirmed %v, expected %v", c.name, got, c.want)
		}
		if c.want && (r.Count != 0 || r.Task != 2) {
			t.Errorf("%s: %d refusals of task %d remain, expected none of task 2", c.name, r.Count, r.Task)
		}
	}
}
