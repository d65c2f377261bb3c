// Commands for agents, derived from the cluster state and the latest heartbeat.

package agent

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// CommandsFor returns the commands that bring a machine, as of its last heartbeat, to the state that
// the cluster state requires. The result is never nil, since an agent receives it as a JSON list.
// Commands are idempotent. Launches come last, after the commands that free their capacity.
func (am *Manager) CommandsFor(m *core.Machine, owned *core.OwnedPartition) []api.Command {
	if m.ReportedToken < am.core.MinToken(owned, m.ID) {
		return []api.Command{} // the agent must learn the fencing token first
	}
	commands, launches := am.placementCommands(m, owned)
	commands = append(commands, am.untrackedCommands(m, owned)...)
	return append(commands, launches...)
}

// placementCommands returns commands that stop unwanted tasks and launch tasks that are missing from
// the machine's last heartbeat.
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
		}
	}
	return stops, launches
}

// untrackedCommands returns commands that stop the reported tasks without a placement in the partition
// and that make the agent forget those that have exited and that no launch can start again.
func (am *Manager) untrackedCommands(m *core.Machine, owned *core.OwnedPartition) []api.Command {
	var out []api.Command
	for _, k := range sortedAttempts(m.ReportedTasks) {
		taskReport := m.ReportedTasks[k]
		exited := taskReport.State == api.TaskExited
		if exited && mayStillLaunch(m, k) {
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

// sortedAttempts returns the attempts ordered by job, task index and attempt number.
func sortedAttempts(tasks map[core.AttemptKey]api.TaskStatus) []core.AttemptKey {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b core.AttemptKey) int {
		return cmp.Or(
			cmp.Compare(a.Task.Job, b.Task.Job),
			cmp.Compare(a.Task.Index, b.Task.Index),
			cmp.Compare(a.Attempt, b.Attempt))
	})
}
