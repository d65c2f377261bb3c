// Launches that were sent to a machine and may still be executed.
//
// Once an agent has forgotten an attempt, a launch of the attempt starts it again. So an attempt is reaped
// only when none of its launches can be executed any more:
//   - A launch in the reply to a heartbeat can't once a newer heartbeat has arrived. An agent has one
//     heartbeat in flight at a time, so it has executed or dropped the reply before.
//   - A launch in a direct call can't once the call is answered. If it is not answered, or the HTTP client
//     has sent it twice, the machine's token is raised instead (UncertainToken), and the launch can't be
//     executed once the agent has reported the newer token.
//   - A launch by a former owner carries a token below this owner's, which the agent refuses once it has
//     executed a command of this owner.

package agent

import (
	"context"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// mayStillLaunch reports whether a launch of an attempt may still be executed by a machine's agent.
func mayStillLaunch(m *core.Machine, attempt core.AttemptKey) bool {
	return m.CallInFlight || m.UncertainToken != 0 || m.RepliedLaunches[attempt]
}

// recordReply records the launches in the reply to a heartbeat.
func recordReply(m *core.Machine, batch api.CommandBatch) {
	for _, command := range batch.Commands {
		id, err := api.ParseTaskID(command.Task)
		if command.Op == api.OpStart && err == nil {
			m.RepliedLaunches[core.AttemptKey{Task: id, Attempt: command.Attempt}] = true
		}
	}
}

// recordUncertainCall records that the commands of a direct call may still arrive.
func recordUncertainCall(m *core.Machine, batch api.CommandBatch) {
	if slices.ContainsFunc(batch.Commands, func(command api.Command) bool { return command.Op == api.OpStart }) {
		m.UncertainToken = max(m.UncertainToken, batch.Token)
	}
}

// Ways in which commands are sent to an agent, as logged.
const (
	viaHeartbeatReply = "heartbeat reply"
	viaDirectCall     = "direct call"
)

// logCommands logs the commands that are sent to a machine. Commands that are sent in different ways may
// arrive in either order.
func logCommands(m *core.Machine, via string, batch api.CommandBatch) {
	if len(batch.Commands) == 0 || !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	slog.Debug("commands sent", "machine", m.ID, "via", via, "token", batch.Token, "reported_token", m.ReportedToken,
		"call_in_flight", m.CallInFlight, "uncertain_token", m.UncertainToken, "commands", batch.Commands)
}
