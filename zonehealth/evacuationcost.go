// Costs compared by evacuation plans, in CPU seconds of tasks with normal priority.

package zonehealth

// rankWeight is, by priority rank, the cost of a CPU second that a task does not run.
var rankWeight = [4]float64{0.25, 1, 10, 50}

const (
	// idleWeight is the cost of a CPU second of an unreachable machine, which is still paid for.
	idleWeight = 0.25
	// lateWeight multiplies the cost of a task whose job would miss its deadline by waiting for the
	// expected outage.
	lateWeight = 4
	// insideAliveProbability is the probability that a controller lost with its zone is still running
	// inside it.
	insideAliveProbability = 0.9
	// restartSeconds is the interruption of a task that is moved to another machine.
	restartSeconds = 3
)

// idleCost returns the cost of an unreachable machine for the duration of the expected outage.
func idleCost(m *Machine, in *Input) float64 {
	return idleWeight * m.Capacity.CPU.Float() * in.ExpectedOutage(m.Zone)
}

// evacuationCost returns the cost of evacuating a machine: its CPUs until a replacement has booted, and
// the interruption of tasks that may still run on it.
func evacuationCost(m *Machine) float64 {
	cost := m.Capacity.CPU.Float() * m.BootSeconds
	if m.ControllerIsolated {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			cost += insideAliveProbability * rankWeight[t.Spec.Priority.Rank()] * t.Demand.CPU.Float() * (restartSeconds + t.LostWorkSeconds)
		}
	}
	return cost
}
