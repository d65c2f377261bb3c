// Reconciliation of heartbeats with the cluster state.

package agent

import (
	"log/slog"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// LatestLaunchToken returns the highest fencing token under which a launch of the placement may still
// arrive. Launches by former owners carry a token below this owner's term or, if the machine was lent
// to the partition later, below the loan's revision.
func (am *Manager) LatestLaunchToken(m *core.Machine, p *core.Placement, owned *core.OwnedPartition) api.FencingToken {
	return max(m.LaunchTokens[core.AttemptKey{Task: p.Task, Attempt: p.Attempt}], am.core.MinToken(owned, m.ID)-1)
}

// applyHeartbeat applies a heartbeat if it is newer than the last one, and reports whether it was. A
// new owner may receive an old heartbeat first. That is safe: past epochs and exits are final, and a
// missing task counts only under a token that was first sent under this owner's term.
func (am *Manager) applyHeartbeat(m *core.Machine, heartbeat *api.Heartbeat, owned *core.OwnedPartition) bool {
	if heartbeat.Epoch < m.Epoch || (heartbeat.Epoch == m.Epoch && heartbeat.Seq <= m.Sequence) {
		return false
	}
	if !am.deps.Scheduler.IsSchedulable(m, owned) {
		owned.NeedsRound = true // the heartbeat may make the machine schedulable
	}
	am.updateSuspicion(m, heartbeat)
	am.updateMachine(m, heartbeat)
	for _, p := range am.core.State.PlacementsOn(m.ID) {
		if p.Partition == owned.ID && !p.Finishing {
			am.reconcilePlacement(owned, m, p)
		}
	}
	if heartbeat.PreemptionNotice != nil {
		am.stopBeforeReclaim(m, owned, *heartbeat.PreemptionNotice)
	}
	am.countUntrackedUsage(m)
	return true
}

// updateSuspicion marks a machine as suspect if its heartbeat may have been delayed in the network.
// Packets may be delayed for minutes, and another controller may have deleted the machine meanwhile. A
// suspect machine must answer a direct call before a task starts there.
func (am *Manager) updateSuspicion(m *core.Machine, heartbeat *api.Heartbeat) {
	if m.LastHeartbeat == 0 {
		m.FirstHeartbeat = am.core.Now
	}
	previousOverdue := m.LastHeartbeat == 0 || am.core.Now.Sub(m.LastHeartbeat) > am.core.HeartbeatTimeout
	switch {
	case heartbeat.Token > 0 && previousOverdue:
		m.SuspectSince = am.core.Now
	case m.SuspectSince != 0 && am.core.Now.Sub(m.SuspectSince) > am.core.Config.HeartbeatInterval()/2:
		m.SuspectSince = 0 // delayed heartbeats arrive all at once, so this one is recent
	}
}

// updateMachine updates a machine and its reported tasks from a heartbeat.
func (am *Manager) updateMachine(m *core.Machine, heartbeat *api.Heartbeat) {
	discardRefusedLaunches(m, heartbeat)
	m.Epoch, m.Sequence = heartbeat.Epoch, heartbeat.Seq
	m.ReportedToken = heartbeat.Token
	m.LastHeartbeat = am.core.Now
	m.Address, m.MachineType, m.Zone, m.Spot = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.ReclaimNotice = heartbeat.PreemptionNotice != nil
	if heartbeat.Token > m.SupersededToken {
		m.SupersededToken = 0
	}
	clear(m.ReportedTasks)
	for _, taskReport := range heartbeat.Tasks {
		id, err := api.ParseTaskID(taskReport.Task)
		if err != nil {
			continue
		}
		m.ReportedTasks[core.AttemptKey{Task: id, Attempt: taskReport.Attempt}] = taskReport
	}
}

// reconcilePlacement compares a placement with the tasks in its machine's latest heartbeat.
func (am *Manager) reconcilePlacement(owned *core.OwnedPartition, m *core.Machine, p *core.Placement) {
	if p.Epoch < m.Epoch {
		am.deps.Scheduler.RecordTaskEnd(owned, p, false, core.EndReasonEpochEnded)
		return
	}
	taskReport, reported := m.ReportedTasks[core.AttemptKey{Task: p.Task, Attempt: p.Attempt}]
	switch {
	case !reported:
		am.handleMissingTask(owned, m, p)
	case taskReport.State == api.TaskExited:
		am.handleExit(owned, m, p, taskReport)
	default:
		am.updateTaskState(owned, m, p, taskReport.State)
	}
}

// handleMissingTask handles a placement that is missing from its machine's heartbeat. An unwanted task
// is recorded as never started once no launch of it can arrive any more.
func (am *Manager) handleMissingTask(owned *core.OwnedPartition, m *core.Machine, p *core.Placement) {
	p.OwnerState.Reported = false
	if !p.Job.Terminal() && !p.OwnerState.StopRequested {
		return
	}
	launchToken := am.LatestLaunchToken(m, p, owned)
	if m.ReportedToken > launchToken {
		am.deps.Scheduler.RecordTaskEnd(owned, p, false, "never started")
	} else {
		m.SupersededToken = max(m.SupersededToken, launchToken)
	}
}

// updateTaskState updates the state of a placement whose task has not exited.
func (am *Manager) updateTaskState(owned *core.OwnedPartition, m *core.Machine, p *core.Placement, state api.TaskState) {
	if state == api.TaskRunning && p.OwnerState.State != api.TaskRunning {
		p.OwnerState.RunningSince = am.core.Now
	}
	if state == api.TaskRunning && am.core.Now.Sub(p.OwnerState.RunningSince) >= core.FailureTrustTime {
		owned.NeedsRound = am.core.EndProbes(m, p) || owned.NeedsRound
	}
	if state != api.TaskFetching {
		am.cacheImage(m, p.Job.Spec)
	}
	p.Job.OwnerState.UnknownTasks.Accepted(p.Task.Index)
	startWasKnown := p.OwnerState.Reported && core.TaskStarted(p.OwnerState.State)
	if p.Job.Cancelled && !startWasKnown {
		owned.NeedsRound = true // the owner may now be able to acknowledge the job's cancellation
	}
	p.OwnerState.Reported, p.OwnerState.State = true, state
}

// stopBeforeReclaim stops the tasks that are not expected to complete before the cloud reclaims their
// spot machine in noticeSeconds, so that they restart elsewhere early. Gangs are left running.
func (am *Manager) stopBeforeReclaim(m *core.Machine, owned *core.OwnedPartition, noticeSeconds float64) {
	for _, p := range am.core.State.PlacementsOn(m.ID) {
		if p.Partition != owned.ID || p.Finishing || p.Job.Spec.Kind == api.Gang {
			continue
		}
		remaining := p.Job.Spec.Estimate
		if p.OwnerState.RunningSince != 0 {
			remaining -= am.core.Now.Sub(p.OwnerState.RunningSince).Seconds()
		}
		if p.Job.Spec.Kind == api.Service || remaining > noticeSeconds {
			am.deps.Scheduler.StopTask(p)
		}
	}
}

// countUntrackedUsage sums the resources of a machine's reported tasks that have no placement in the
// cluster state. These tasks are being stopped but occupy capacity until they exit.
func (am *Manager) countUntrackedUsage(m *core.Machine) {
	m.UntrackedUsage, m.HasUnknownTasks = api.Resources{}, false
	known := m.UnplacedTasks
	m.UnplacedTasks = nil
	for k, taskReport := range m.ReportedTasks {
		if taskReport.State == api.TaskExited || am.placementOf(m.ID, k) != nil {
			continue
		}
		am.recordUnplacedTask(m, k, taskReport, known[k])
		if j := am.core.State.Jobs[k.Task.Job]; j != nil {
			m.UntrackedUsage = m.UntrackedUsage.Plus(j.Demand)
		} else {
			m.HasUnknownTasks = true
		}
	}
}

// recordUnplacedTask records a task that has not exited and has no placement, and reports it unless it was
// known before. It shows that a command was executed late or more than once.
func (am *Manager) recordUnplacedTask(m *core.Machine, k core.AttemptKey, taskReport api.TaskStatus, known bool) {
	if m.UnplacedTasks == nil {
		m.UnplacedTasks = map[core.AttemptKey]bool{}
	}
	m.UnplacedTasks[k] = true
	if known {
		return
	}
	am.core.Metrics.UnplacedTasks++
	slog.Warn("task without a placement reported", "machine", m.ID, "task", taskReport.Task, "attempt", taskReport.Attempt,
		"state", taskReport.State, "epoch", m.Epoch, "reported_token", m.ReportedToken)
}

// placementOf returns the placement of an attempt on a machine; nil if there is none.
func (am *Manager) placementOf(id api.MachineID, k core.AttemptKey) *core.Placement {
	for _, p := range am.core.State.PlacementsOn(id) {
		if p.Task == k.Task && p.Attempt == k.Attempt {
			return p
		}
	}
	return nil
}
