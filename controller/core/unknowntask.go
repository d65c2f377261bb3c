package core

// This file defines the evidence that a job has fewer tasks than its record says.

import "basaltwall/api"

const (
	// confirmingRefusals is the number of refusals that confirm that a task does not exist, if several
	// machines have refused it or a higher task.
	confirmingRefusals = 10
	// confirmingRefusalsByOne is the number of refusals that confirm it if only one machine has refused tasks.
	confirmingRefusalsByOne = 20
)

// UnknownTaskRefusals is the evidence that a job has fewer tasks than its record says. Workers read the
// job's description themselves and refuse a task that it does not contain, or any task if there is no
// description. Only refusals after a worker has accepted a task of the job are evidence. The zero value is
// the state without refusals.
type UnknownTaskRefusals struct {
	AcceptedTask bool                   // a worker has accepted a task of the job
	Task         int                    // the lowest refused task
	Count        int                    // refusals of it
	machines     map[api.MachineID]bool // that refused it or a higher task
}

// Accepted records that a worker has accepted a task. Tasks are numbered consecutively, so it refutes the
// refusal of a lower one.
func (r *UnknownTaskRefusals) Accepted(task int) {
	r.AcceptedTask = true
	if task >= r.Task {
		r.reset()
	}
}

// Refused records the refusal of a task by a machine's worker, and reports whether the lowest refused task
// is confirmed not to exist. The evidence starts anew then.
func (r *UnknownTaskRefusals) Refused(task int, machine api.MachineID) bool {
	if r.Count == 0 || task < r.Task {
		r.reset()
		r.Task = task
	}
	if r.machines == nil {
		r.machines = map[api.MachineID]bool{}
	}
	r.machines[machine] = true
	if task != r.Task {
		return false
	}
	r.Count++
	confirmed := r.Count >= confirmingRefusalsByOne || r.Count >= confirmingRefusals && len(r.machines) > 1
	if confirmed {
		r.reset()
	}
	return confirmed
}

// reset discards the refusals.
func (r *UnknownTaskRefusals) reset() {
	r.Count, r.machines = 0, nil
}
