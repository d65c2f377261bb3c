// The commands that a machine should have.

package agent

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// CommandsFor are the commands that a machine should have now, by the durable record and its last
// heartbeat; none is an empty list, never nil, as the agent gets it so. Composing them again is
// harmless. Launches come last, after what frees their capacity.
func (am *Manager) CommandsFor(m *core.Machine, owned *core.OwnedPartition) []api.Command {
	if m.ReportedToken < am.core.MinToken(owned, m.ID) {
		return []api.Command{} // the term is announced first
	}
	commands, launches := am.placementCommands(m, owned)
	commands = append(commands, am.untrackedCommands(m, owned)...)
	return append(commands, launches...)
}

// placementCommands stop the tasks that are no longer wanted and launch those that the machine does
// not report.
func (am *Manager) placementCommands(m *core.Machine, owned *core.OwnedPartition) (stops, launches []api.Command) {
	stops = []api.Command{}
	for _, p := range am.core.State.PlacementsOn(m.ID) {
		if p.Partition != owned.ID || p.Finishing || p.Epoch != m.Epoch {
			continue
		}
		_, reported := m.ReportedTasks[core.AttemptKey{Task: p.Task, Attempt: p.Attempt}]
		switch {
		case p.Job.Terminal():
			if reported {
				stops = append(stops, api.Command{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt})
			}
		case p.OwnerState.StopRequested:
			if reported {
				stops = append(stops, api.Command{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt, GracePeriod: p.OwnerState.StopGrace})
			}
		case !reported:
			launches = append(launches, api.Command{Op: api.OpStart, Task: p.Task.String(), Attempt: p.Attempt})
			p.OwnerState.LaunchToken = max(p.OwnerState.LaunchToken, m.CommandToken)
		}
	}
	return stops, launches
}

// untrackedCommands stop the reported tasks that have no placement in the partition, and have the
// agent forget those that have exited. An unanswered direct command may still arrive: forgetting a
// task before a newer token has voided such commands would let it start anew.
func (am *Manager) untrackedCommands(m *core.Machine, owned *core.OwnedPartition) []api.Command {
	var out []api.Command
	settled := !m.CallInFlight && m.UncertainToken == 0
	for _, k := range sortedAttempts(m.ReportedTasks) {
		taskReport := m.ReportedTasks[k]
		exited := taskReport.State == api.TaskExited
		if exited && !settled {
			continue
		}
		if p := am.placementOf(m.ID, k); p != nil && p.Partition == owned.ID {
			continue
		}
		op := api.OpStop
		if exited {
			op = api.OpReap
		}
		out = append(out, api.Command{Op: op, Task: taskReport.Task, Attempt: taskReport.Attempt})
	}
	return out
}

// sortedAttempts lists the attempts by job, index and attempt.
func sortedAttempts(tasks map[core.AttemptKey]api.TaskStatus) []core.AttemptKey {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b core.AttemptKey) int {
		return cmp.Or(
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
			cmp.Compare(a.Attempt, b.Attempt))
	})
}
