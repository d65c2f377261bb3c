// Direct calls to agents, made without waiting for their heartbeats.

package agent

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	callInterval        = 100 * time.Millisecond // minimum time between two calls to a machine
	unansweredCallDelay = 500 * time.Millisecond // delay before an unanswered call is repeated

	// Calls to machines that may not answer use at most this fraction of the direct calls (1/divisor),
	// so that a network partition does not delay launches. An unavailable zone needs fewer calls, since
	// its heartbeats show when it is reachable again.
	probeDivisor                = 2
	unavailableZoneProbeDivisor = 8
)

// ScheduleDirectCall schedules an immediate direct call that sends a machine its commands.
func (am *Manager) ScheduleDirectCall(m *core.Machine) {
	if !m.DirectCallPending {
		m.DirectCallPending = true
		am.pendingDirectCalls = append(am.pendingDirectCalls, m)
	}
}

// PendingDirectCallCount returns the number of machines with a scheduled direct call.
func (am *Manager) PendingDirectCallCount() int { return len(am.pendingDirectCalls) }

// ReconcileMachines makes the scheduled direct calls and reconciles the next machines in order. Each
// step reconciles only a fraction of the machines; all of them are covered within MachineInspectionInterval.
func (am *Manager) ReconcileMachines() {
	am.sortMachines()
	am.makePendingDirectCalls()
	am.sweep()
}

// makePendingDirectCalls makes the scheduled direct calls, within the limit on calls in flight.
func (am *Manager) makePendingDirectCalls() {
	pending := am.pendingDirectCalls
	am.pendingDirectCalls = nil
	for _, m := range pending {
		if !m.DirectCallPending || am.core.Machines[m.ID] != m {
			continue
		}
		m.DirectCallPending = false
		owned := am.core.Partitions[am.core.PartitionOf(m.ID)]
		if owned == nil || m.Deleting {
			continue
		}
		if m.CallInFlight || am.core.Now < m.NextCallAt || am.directCallsInFlight >= am.maxDirectCalls {
			am.ScheduleDirectCall(m) // retried in the next step
			continue
		}
		am.reconcileMachine(m, owned, true)
	}
}

// sweep reconciles the next machines in order, so many that MachineInspectionInterval covers all of them.
func (am *Manager) sweep() {
	elapsed := am.core.Now.Sub(am.lastSweepAt)
	count := int(int64(len(am.sortedMachines)) * int64(min(elapsed, core.MachineInspectionInterval)) / int64(core.MachineInspectionInterval))
	if count == 0 && elapsed < core.MachineInspectionInterval {
		return
	}
	am.lastSweepAt = am.core.Now
	for range min(max(count, 1), len(am.sortedMachines)) {
		am.sortMachines()
		if len(am.sortedMachines) == 0 {
			return
		}
		if am.sweepIndex >= len(am.sortedMachines) {
			am.sweepIndex = 0
		}
		m := am.sortedMachines[am.sweepIndex]
		am.sweepIndex++
		owned := am.core.Partitions[am.core.PartitionOf(m.ID)]
		if owned != nil && !m.Deleting {
			am.reconcileMachine(m, owned, false)
		}
		am.deps.Autoscaler.EvaluateScaleIn(m, owned)
	}
}

// reconcileMachine updates a machine's command token, calls the machine if a call is due and checks
// its liveness.
func (am *Manager) reconcileMachine(m *core.Machine, owned *core.OwnedPartition, urgent bool) {
	m.CommandToken = max(m.CommandToken, am.core.MinToken(owned, m.ID))
	if m.SupersededToken != 0 && m.CommandToken <= m.SupersededToken {
		if api.FencingToken(owned.LastRevision) > m.SupersededToken {
			m.CommandToken, urgent = api.FencingToken(owned.LastRevision), true
		} else {
			owned.NeedsNewToken = true
		}
	}
	if am.callDue(m, owned, urgent) {
		am.sendCommands(m, owned)
	}
	am.deps.Health.CheckLiveness(m, owned)
}

// callDue reports whether a machine should be called now: a call is urgent, the machine has not
// reported this owner's token yet, or its heartbeat is overdue.
func (am *Manager) callDue(m *core.Machine, owned *core.OwnedPartition, urgent bool) bool {
	divisor := probeDivisor
	if am.deps.Health.ZoneUnavailable(m.Zone) {
		divisor = unavailableZoneProbeDivisor
	}
	if m.CallInFlight || m.Address == "" || am.core.Now < m.NextCallAt {
		return false
	}
	if urgent && am.directCallsInFlight < am.maxDirectCalls {
		return true
	}
	needsAnnouncement := m.ReportedToken < am.core.MinToken(owned, m.ID)
	heartbeatOverdue := am.core.Now.Sub(m.LastHeartbeat) > am.core.HeartbeatTimeout
	return (needsAnnouncement || heartbeatOverdue) && am.directCallsInFlight < am.maxDirectCalls/divisor
}

// sendCommands sends a machine its commands in a direct call.
func (am *Manager) sendCommands(m *core.Machine, owned *core.OwnedPartition) {
	commands := am.composeCommands(m, owned, viaDirectCall)
	commands.Epoch = max(m.Epoch, 1)
	m.CallInFlight = true
	am.directCallsInFlight++
	m.NextCallAt = am.core.Now.Add(callInterval)
	am.core.CallWorker(m.Address, commands, func(a message.WorkerResponse) {
		m.CallInFlight = false
		am.directCallsInFlight--
		if a.Repeated {
			am.core.Metrics.WorkerCallsRepeated++
		}
		if a.Heartbeat != nil && a.Heartbeat.Machine != m.ID {
			a.Status, a.Heartbeat = 0, nil // the address now belongs to another machine
		}
		if a.Status == 0 || a.Heartbeat == nil {
			am.handleMissedCall(m)
			return
		}
		if am.core.Partitions[owned.ID] != owned || m.Deleting {
			return
		}
		am.handleDirectReply(m, owned, a.Heartbeat)
	})
}

// handleMissedCall handles an unanswered direct call, whose commands may still arrive.
func (am *Manager) handleMissedCall(m *core.Machine) {
	m.UnansweredCalls++
	m.NextCallAt = am.core.Now.Add(unansweredCallDelay)
}

// handleDirectReply processes the heartbeat in a machine's answer to a direct call.
func (am *Manager) handleDirectReply(m *core.Machine, owned *core.OwnedPartition, heartbeat *api.Heartbeat) {
	m.LastDirectReply, m.UnansweredCalls, m.SuspectSince = am.core.Now, 0, 0
	if heartbeat.Token > m.CommandToken {
		am.deps.Follower.LinearizableRead(func() {}, func() {}) // the log will show that the partition was lost
		return
	}
	am.applyHeartbeat(m, heartbeat, owned)
	if m.SuspectSince != 0 {
		m.SuspectSince, owned.NeedsRound = 0, true // the answer proves that the machine is reachable
	}
	for _, command := range am.CommandsFor(m, owned) {
		if command.Op == api.OpStart || command.Op == api.OpStop && command.GracePeriod == 0 {
			am.ScheduleDirectCall(m) // command issued during the call, or withheld until the agent knew this owner's token
			break
		}
	}
}
