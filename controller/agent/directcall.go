// Direct calls to agents, which do not wait for their heartbeats.

package agent

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	callInterval        = 100 * time.Millisecond // between two calls to a machine, at least
	unansweredCallDelay = 500 * time.Millisecond // before a machine that did not answer is called again

	// Parts of the direct calls that may be under way to machines that may not answer: more would
	// hold up every start during a network partition. An unavailable zone's own heartbeats tell when
	// it is back.
	probeDivisor                = 2
	unavailableZoneProbeDivisor = 8
)

// ContactNow has a machine called at once with its commands.
func (am *Manager) ContactNow(m *core.Machine) {
	if !m.ContactPending {
		m.ContactPending = true
		am.pendingContacts = append(am.pendingContacts, m)
	}
}

// PendingContactCount is how many machines are to be called at once.
func (am *Manager) PendingContactCount() int { return len(am.pendingContacts) }

// ReconcileMachines calls the machines that are to be contacted now, and looks at a share of all
// machines each time, so that each gets its turn and no step looks at all of them.
func (am *Manager) ReconcileMachines() {
	am.sortMachines()
	am.contactPending()
	am.sweep()
}

// contactPending calls the machines that are to be contacted now, as far as direct calls allow.
func (am *Manager) contactPending() {
	pending := am.pendingContacts
	am.pendingContacts = nil
	for _, m := range pending {
		if !m.ContactPending || am.core.Machines[m.ID] != m {
			continue
		}
		m.ContactPending = false
		owned := am.core.Partitions[am.core.PartitionOf(m.ID)]
		if owned == nil || m.Deleting {
			continue
		}
		if m.CallInFlight || am.core.Now < m.NextCallAt || am.directCallsInFlight >= am.maxDirectCalls {
			am.ContactNow(m) // a little later
			continue
		}
		am.reconcileMachine(m, owned, true)
	}
}

// sweep reconciles as many machines as their turn has come for: all of them within SweepInterval.
func (am *Manager) sweep() {
	elapsed := am.core.Now.Sub(am.lastSweepAt)
	count := int(int64(len(am.sortedMachines)) * int64(min(elapsed, core.SweepInterval)) / int64(core.SweepInterval))
	if count == 0 && elapsed < core.SweepInterval {
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
		am.siblings.Autoscaler.EvaluateScaleIn(m, owned)
	}
}

// reconcileMachine does what is due for one machine.
func (am *Manager) reconcileMachine(m *core.Machine, owned *core.OwnedPartition, urgent bool) {
	m.CommandToken = max(m.CommandToken, am.core.MinToken(owned, m.ID))
	if m.UncertainToken != 0 && m.CommandToken <= m.UncertainToken {
		if api.FencingToken(owned.LastRevision) > m.UncertainToken {
			m.CommandToken, urgent = api.FencingToken(owned.LastRevision), true
		} else {
			owned.NeedsNewToken = true
		}
	}
	if am.callDue(m, owned, urgent) {
		am.sendCommands(m, owned)
	}
	am.siblings.Health.CheckLiveness(m, owned)
}

// callDue reports whether a machine is to be called now: as it is urgent, as it has not shown this
// owner's token yet, or as it is silent.
func (am *Manager) callDue(m *core.Machine, owned *core.OwnedPartition, urgent bool) bool {
	divisor := probeDivisor
	if am.siblings.Health.ZoneUnavailable(m.Zone) {
		divisor = unavailableZoneProbeDivisor
	}
	if m.CallInFlight || m.Address == "" || am.core.Now < m.NextCallAt {
		return false
	}
	if urgent && am.directCallsInFlight < am.maxDirectCalls {
		return true
	}
	needsAnnouncement := m.ReportedToken < am.core.MinToken(owned, m.ID)
	silent := am.core.Now.Sub(m.LastHeartbeat) > am.core.HeartbeatTimeout
	return (needsAnnouncement || silent) && am.directCallsInFlight < am.maxDirectCalls/divisor
}

// sendCommands sends a machine its commands without waiting for its heartbeat.
func (am *Manager) sendCommands(m *core.Machine, owned *core.OwnedPartition) {
	commands := api.CommandBatch{Token: m.CommandToken, Epoch: max(m.Epoch, 1), Commands: am.CommandsFor(m, owned)}
	m.CallInFlight = true
	am.directCallsInFlight++
	m.NextCallAt = am.core.Now.Add(callInterval)
	am.core.CallWorker(m.Address, commands, func(a message.WorkerResponse) {
		m.CallInFlight = false
		am.directCallsInFlight--
		if a.Heartbeat != nil && a.Heartbeat.Machine != m.ID {
			a.Status, a.Heartbeat = 0, nil // the address belongs to another machine now
		}
		if a.Status == 0 || a.Heartbeat == nil {
			am.handleMissedCall(m, commands)
			return
		}
		if am.core.Partitions[owned.ID] != owned || m.Deleting {
			return
		}
		am.handleDirectReply(m, owned, a.Heartbeat)
	})
}

// handleMissedCall handles a direct call that was not answered: its commands may still arrive.
func (am *Manager) handleMissedCall(m *core.Machine, commands api.CommandBatch) {
	for _, command := range commands.Commands {
		if command.Op == api.OpStart {
			m.UncertainToken = max(m.UncertainToken, commands.Token)
			break
		}
	}
	m.MissedCalls++
	m.NextCallAt = am.core.Now.Add(unansweredCallDelay)
}

// handleDirectReply takes in the heartbeat with which a machine answered a direct call.
func (am *Manager) handleDirectReply(m *core.Machine, owned *core.OwnedPartition, heartbeat *api.Heartbeat) {
	m.LastDirectReply, m.MissedCalls, m.SuspectSince = am.core.Now, 0, 0
	if heartbeat.Token > m.CommandToken {
		am.siblings.Follower.LinearizableRead(func() {}, func() {}) // deposed, as the cluster state will tell
		return
	}
	am.applyHeartbeat(m, heartbeat, owned)
	if m.SuspectSince != 0 {
		m.SuspectSince, owned.Dirty = 0, true // it has just answered
	}
	for _, command := range am.CommandsFor(m, owned) {
		if command.Op == api.OpStart || command.Op == api.OpStop && command.GracePeriod == 0 {
			am.ContactNow(m) // decided meanwhile, or the machine had to learn our token first
			break
		}
	}
}
