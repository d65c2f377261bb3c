// Reconciliation of heartbeats with the durable record.

package agent

import (
	"basaltwall/api"
	"basaltwall/controller/core"
)

// LatestLaunchToken is the highest token under which a launch of the placement may still be on its
// way. Launches by former owners carry less than this owner's term or, if the machine was lent to the
// partition since, than the loan's revision.
func (am *Manager) LatestLaunchToken(p *core.Placement, owned *core.OwnedPartition) api.FencingToken {
	return max(p.OwnerState.LaunchToken, am.core.MinToken(owned, p.Machine)-1)
}

// applyHeartbeat takes in a heartbeat if it is newer than what is known, and reports whether it was.
// A new owner that has had none yet may get an old one first. What follows from that holds all the
// same: epochs and ends that were reported are past for good, and that a task is missing counts only
// under a token that was first sent under the owner's own term.
func (am *Manager) applyHeartbeat(m *core.Machine, heartbeat *api.Heartbeat, owned *core.OwnedPartition) bool {
	if heartbeat.Epoch < m.Epoch || (heartbeat.Epoch == m.Epoch && heartbeat.Seq <= m.Sequence) {
		return false
	}
	if !am.siblings.Scheduler.IsSchedulable(m, owned) {
		owned.Dirty = true // it may be from now on
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

// updateSuspicion decides whether a heartbeat may have been delayed on its way. Packets may be held for
// minutes, so that after a silence the machine may be gone, deleted by another controller: it is called
// before anything is started there.
func (am *Manager) updateSuspicion(m *core.Machine, heartbeat *api.Heartbeat) {
	if m.LastHeartbeat == 0 {
		m.FirstHeartbeat = am.core.Now
	}
	afterSilence := m.LastHeartbeat == 0 || am.core.Now.Sub(m.LastHeartbeat) > am.core.HeartbeatTimeout
	switch {
	case heartbeat.Token > 0 && afterSilence:
		m.SuspectSince = am.core.Now
	case m.SuspectSince != 0 && am.core.Now.Sub(m.SuspectSince) > am.core.Config.HeartbeatInterval()/2:
		m.SuspectSince = 0 // what was held comes all at once
	}
}

// updateMachine notes what a heartbeat says of its machine and lists the tasks that it reports.
func (am *Manager) updateMachine(m *core.Machine, heartbeat *api.Heartbeat) {
	m.Epoch, m.Sequence = heartbeat.Epoch, heartbeat.Seq
	m.ReportedToken = heartbeat.Token
	m.LastHeartbeat = am.core.Now
	m.Address, m.MachineType, m.Zone, m.Spot = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.ReclaimNotice = heartbeat.PreemptionNotice != nil
	if heartbeat.Token > m.UncertainToken {
		m.UncertainToken = 0
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

// reconcilePlacement compares a placement with what its machine has just reported.
func (am *Manager) reconcilePlacement(owned *core.OwnedPartition, m *core.Machine, p *core.Placement) {
	if p.Epoch < m.Epoch {
		am.siblings.Scheduler.RecordTaskEnd(owned, p, false, core.EndReasonEpochOver)
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

// handleMissingTask handles a placement that its machine does not report. Once no launch of it can
// arrive any more, one that is no longer wanted has never started.
func (am *Manager) handleMissingTask(owned *core.OwnedPartition, m *core.Machine, p *core.Placement) {
	p.OwnerState.Reported = false
	if !p.Job.Terminal() && !p.OwnerState.StopRequested {
		return
	}
	launchToken := am.LatestLaunchToken(p, owned)
	if m.ReportedToken > launchToken {
		am.siblings.Scheduler.RecordTaskEnd(owned, p, false, "never started")
	} else {
		m.UncertainToken = max(m.UncertainToken, launchToken)
	}
}

// updateTaskState notes the state of a task that has not ended.
func (am *Manager) updateTaskState(owned *core.OwnedPartition, m *core.Machine, p *core.Placement, state api.TaskState) {
	if state == api.TaskRunning && p.OwnerState.State != api.TaskRunning {
		p.OwnerState.RunningSince = am.core.Now
	}
	if state != api.TaskFetching {
		am.cacheImage(m, p.Job.Spec)
	}
	startWasKnown := p.OwnerState.Reported && core.TaskStarted(p.OwnerState.State)
	if p.Job.Cancelled && !startWasKnown {
		owned.Dirty = true // the job's cancellation may be acknowledged now
	}
	p.OwnerState.Reported, p.OwnerState.State = true, state
}

// stopBeforeReclaim stops what can't end before the cloud reclaims its machine, within so many seconds:
// it is lost there, and the sooner it runs again elsewhere the better. What is likely to end by then is
// left alone.
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
			am.siblings.Scheduler.StopTask(p)
		}
	}
}

// countUntrackedUsage notes what a machine's tasks use that have no placement in the cluster state:
// they must be stopped, and until they are gone they hold their capacity.
func (am *Manager) countUntrackedUsage(m *core.Machine) {
	m.UntrackedUsage, m.HasUnknownTasks = api.Resources{}, false
	for k, taskReport := range m.ReportedTasks {
		if taskReport.State == api.TaskExited || am.placementOf(m.ID, k) != nil {
			continue
		}
		if j := am.core.State.Jobs[k.Task.Job]; j != nil {
			m.UntrackedUsage = m.UntrackedUsage.Plus(j.Demand)
		} else {
			m.HasUnknownTasks = true
		}
	}
}

// placementOf finds the placement of an attempt on a machine; nil if there is none.
func (am *Manager) placementOf(id api.MachineID, k core.AttemptKey) *core.Placement {
	for _, p := range am.core.State.PlacementsOn(id) {
		if p.Task == k.Task && p.Attempt == k.Attempt {
			return p
		}
	}
	return nil
}
