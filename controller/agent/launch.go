// Launches that were sent to a machine and may still be executed.
//
// Once an agent has forgotten an attempt, a launch of the attempt starts it again. A launch in a direct call
// may arrive at any time and any number of times, even after the call has been answered; a launch in the reply
// to a heartbeat may be executed late. Only the agent's fencing token ends this: once the agent has reported a
// token above that of a launch, it refuses the launch. So an attempt is reaped, or recorded as never started,
// only when the agent has reported a token above that of every launch of the attempt:
//   - The owner records the highest token of its own launches (Machine.LaunchTokens).
//   - A launch by a former owner carries a token below MinToken. An owner gives no commands before the agent
//     has reported MinToken.
//   - A launch of a former epoch is refused in the new one.

package agent

import (
	"log/slog"
	"maps"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// mayStillLaunch reports whether a launch of an attempt by this owner may still be executed by a machine's
// agent.
func mayStillLaunch(m *core.Machine, attempt core.AttemptKey) bool {
	_, pending := m.LaunchTokens[attempt]
	return pending
}

// recordLaunches records the launches in commands that are about to be sent.
func recordLaunches(m *core.Machine, batch api.CommandBatch) {
	for _, command := range batch.Commands {
		id, err := api.ParseTaskID(command.Task)
		if command.Op == api.OpStart && err == nil {
			attempt := core.AttemptKey{Task: id, Attempt: command.Attempt}
			m.LaunchTokens[attempt] = max(m.LaunchTokens[attempt], batch.Token)
		}
	}
}

// discardRefusedLaunches removes the launches that the agent refuses from a heartbeat on, because of its epoch
// or its token.
func discardRefusedLaunches(m *core.Machine, heartbeat *api.Heartbeat) {
	maps.DeleteFunc(m.LaunchTokens, func(_ core.AttemptKey, token api.FencingToken) bool {
		return heartbeat.Epoch > m.Epoch || heartbeat.Token > token
	})
}

// raiseTokenForReaps raises a machine's command token if an exited attempt could be reaped under a higher one.
// The revision of the round that recorded the attempt's end is higher than the token of every launch of it. It
// may be called only for the reply to a new heartbeat: the agent has one heartbeat in flight, so no reply under
// the former token is lost, and with it a renewal of the agent's lease.
func (am *Manager) raiseTokenForReaps(m *core.Machine, owned *core.OwnedPartition) {
	latest := api.FencingToken(owned.LastRevision)
	if latest <= m.CommandToken {
		return
	}
	for attempt, taskReport := range m.ReportedTasks {
		launchToken, pending := m.LaunchTokens[attempt]
		if taskReport.State == api.TaskExited && pending && launchToken < latest && am.placementOf(m.ID, attempt) == nil {
			m.CommandToken = latest
			return
		}
	}
}

// Ways in which commands are sent to an agent, as logged.
const (
	viaHeartbeatReply = "heartbeat reply"
	viaDirectCall     = "direct call"
)

// composeCommands returns the commands to send to a machine, and records their launches.
func (am *Manager) composeCommands(m *core.Machine, owned *core.OwnedPartition, via string) api.CommandBatch {
	batch := api.CommandBatch{Token: m.CommandToken, Commands: am.CommandsFor(m, owned)}
	recordLaunches(m, batch)
	if len(batch.Commands) > 0 {
		slog.Info("commands sent", "machine", m.ID, "via", via, "epoch", m.Epoch, "token", batch.Token,
			"reported_token", m.ReportedToken, "commands", batch.Commands)
	}
	return batch
}
