// This file decides which machines are no longer needed.

package autoscale

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

const (
	defaultIdleTimeout = time.Minute // for an unknown machine type
	minIdleTimeout     = 15 * time.Second

	// surplusIdleDivisor divides the idle timeout for surplus machines.
	surplusIdleDivisor = 3

	// forgetAfter is the time after which a machine is forgotten that belongs to another
	// controller, or that is neither listed nor has sent a heartbeat.
	forgetAfter = time.Minute
)

// EvaluateScaleIn deletes or forgets a machine that is no longer needed. It is called for each
// known machine; owned is nil for machines of other controllers' partitions.
func (as *Manager) EvaluateScaleIn(m *core.Machine, owned *core.OwnedPartition) {
	if len(as.core.MachineTypes) == 0 {
		return
	}
	if as.isRetained(m) {
		m.IdleSince, m.ScaleInCandidate = as.core.Now, false
	}
	if owned == nil {
		if as.core.Now.Sub(max(m.LastHeartbeat, m.DiscoveredAt)) > forgetAfter {
			as.deps.Agents.ForgetMachine(m.ID)
		}
		return
	}
	idle := as.isIdle(m, owned)
	m.ScaleInCandidate = idle && as.core.HasAccelerators(m.MachineType)
	if m.Deleting || len(as.core.State.PlacementsOn(m.ID)) > 0 {
		return
	}
	as.deleteIfUnneeded(m, owned, idle)
}

// isRetained reports whether a machine can't count as idle: it runs tasks that retain it, is
// reserved for a job that has been pending for long, or is in an unavailable zone, whose
// machines only the evacuation plan deletes.
func (as *Manager) isRetained(m *core.Machine) bool {
	return as.hasRetainingWork(m.ID, m.MachineType) ||
		as.deps.Health.ZoneUnavailable(m.Zone) ||
		m.ReservedForAged && as.deps.Preemptor.ReservedFor(m) != ""
}

// isIdle reports whether a machine has exceeded its idle timeout.
func (as *Manager) isIdle(m *core.Machine, owned *core.OwnedPartition) bool {
	if target := as.targets[m.MachineType]; target != nil && target.latencySensitiveSpec != nil && !m.Surplus {
		return false
	}
	timeout, idleFor := as.idleTimeout(m.MachineType), as.core.Now.Sub(m.IdleSince)
	if m.LastHeartbeat == 0 || as.core.Now.Sub(owned.OwnedSince) <= timeout {
		return false
	}
	return idleFor > timeout || m.Surplus && idleFor > timeout/surplusIdleDivisor
}

// deleteIfUnneeded forgets a machine without placements that no longer exists, and deletes it
// if it is quarantined or idle.
func (as *Manager) deleteIfUnneeded(m *core.Machine, owned *core.OwnedPartition, idle bool) {
	_, listed := as.Listed[m.ID]
	switch {
	case !listed && m.LastHeartbeat == 0 && as.core.Now.Sub(m.DiscoveredAt) > forgetAfter:
		as.deps.Agents.ForgetMachine(m.ID)
	case m.Quarantine.Active() && m.LastHeartbeat != 0:
		as.ScheduleDeletion(m, owned, core.DeletionReasonQuarantined)
	case idle && owned.InFlight == nil && len(m.ReportedTasks) == 0 && as.deletions.failures == 0:
		// Not while deletions fail: heartbeats of machines that are being deleted get no
		// responses, and many such machines would look like a zone outage.
		as.ScheduleDeletion(m, owned, core.DeletionReasonIdle)
	}
}

// hasRetainingWork reports whether a machine runs tasks that retain it: on a machine with
// accelerators only tasks that need them, else any.
func (as *Manager) hasRetainingWork(id api.MachineID, typ api.MachineTypeName) bool {
	for _, p := range as.core.State.PlacementsOn(id) {
		if !as.core.HasAccelerators(typ) || !as.core.IsCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// idleTimeout returns the configured idle timeout, else the boot time of the type: by then an
// idle machine has cost as much as booting a replacement.
func (as *Manager) idleTimeout(name api.MachineTypeName) time.Duration {
	if configured := as.core.Settings.IdleTimeout; configured > 0 {
		return api.Seconds(configured)
	}
	typ := as.core.MachineTypes[name]
	if typ == nil {
		return defaultIdleTimeout
	}
	return max(minIdleTimeout, api.Seconds(typ.BootSeconds))
}
