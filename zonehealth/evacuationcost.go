// Costs that an evacuation plan weighs, in seconds of a CPU of normal work.

package zonehealth

// rankWeight is, by priority rank, the cost of a task that does not run, for each second and CPU of
// normal work. A replica of the highest rank outweighs a whole machine of other work.
var rankWeight = [4]float64{0.25, 1, 10, 50}

const (
	// idleWeight is the cost of a machine that is paid for and unreachable, as a share of what its
	// CPUs could do.
	idleWeight = 0.25
	// lateWeight multiplies the cost of a task whose job would miss its deadline if it waited for
	// as long as the zone is likely to be out.
	lateWeight = 4
	// insideAliveProbability is how likely a controller that was lost with its zone goes on inside.
	insideAliveProbability = 0.9
	// restartSeconds is how long a task is missing that ends here and starts elsewhere, in seconds.
	restartSeconds = 3
)

// idleCost is what it costs to keep an unreachable machine for the expected outage.
func idleCost(m *Machine, in *Input) float64 {
	return idleWeight * m.Capacity.CPU.Float() * in.ExpectedOutage(m.Zone)
}

// evacuationCost is what the evacuation of a machine costs: its CPUs until a replacement is up, and
// the tasks that may still run on it.
func evacuationCost(m *Machine) float64 {
	cost := m.Capacity.CPU.Float() * m.BootSeconds
	if m.ControllerInside {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			cost += insideAliveProbability * rankWeight[t.Spec.Priority.Rank()] * t.Demand.CPU.Float() * (restartSeconds + t.LostWorkSeconds)
		}
	}
	return cost
}
