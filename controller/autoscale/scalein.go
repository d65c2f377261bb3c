// Scale-in: which machines are not needed any more.

package autoscale

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

const (
	defaultIdleTimeout = time.Minute // of machines of an unknown type
	minIdleTimeout     = 15 * time.Second

	// surplusIdleDivisor is how many times sooner a surplus machine is idle for too long.
	surplusIdleDivisor = 3

	// forgetAfter is how long a machine is remembered that is not ours, or that is
	// neither listed nor has sent a heartbeat.
	forgetAfter = time.Minute
)

// EvaluateScaleIn decides whether a machine is still needed. It is called for each machine
// in turn; owned is nil for machines of other controllers' partitions.
func (as *Manager) EvaluateScaleIn(m *core.Machine, owned *core.OwnedPartition) {
	if len(as.core.MachineTypes) == 0 {
		return
	}
	if as.isRetained(m) {
		m.IdleSince, m.ScaleInCandidate = as.core.Now, false
	}
	if owned == nil {
		if as.core.Now.Sub(max(m.LastHeartbeat, m.DiscoveredAt)) > forgetAfter {
			as.siblings.Agents.ForgetMachine(m.ID)
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

// isRetained reports whether a machine is not idle: it has work that it is kept for, is
// kept together with others for a large job, or is in a zone that is out, whose
// machines are deleted by the evacuation plan alone.
func (as *Manager) isRetained(m *core.Machine) bool {
	return as.hasRetainingWork(m.ID, m.MachineType) ||
		as.siblings.Health.ZoneUnavailable(m.Zone) ||
		m.Consolidated && as.siblings.Preemptor.ReservedFor(m) != ""
}

// isIdle reports whether a machine has stood idle for long enough to be deleted.
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

// deleteIfUnneeded deletes or forgets a machine without placements that is gone,
// quarantined or idle.
func (as *Manager) deleteIfUnneeded(m *core.Machine, owned *core.OwnedPartition, idle bool) {
	_, listed := as.Listed[m.ID]
	switch {
	case !listed && m.LastHeartbeat == 0 && as.core.Now.Sub(m.DiscoveredAt) > forgetAfter:
		as.siblings.Agents.ForgetMachine(m.ID)
	case m.QuarantinedUntil > as.core.Now && m.LastHeartbeat != 0:
		as.ScheduleDeletion(m, owned, core.DeletionReasonQuarantined)
	case idle && owned.InFlight == nil && len(m.ReportedTasks) == 0 && as.deletions.failures == 0:
		// While deletions fail it is not worth it: a machine that is being deleted gets
		// no answers, and many of them would look like a zone that is cut off.
		as.ScheduleDeletion(m, owned, core.DeletionReasonIdle)
	}
}

// hasRetainingWork reports whether a machine has work that it is kept for: any, but on
// one with accelerators only such as needs them.
func (as *Manager) hasRetainingWork(id api.MachineID, typ api.MachineTypeName) bool {
	for _, p := range as.core.State.PlacementsOn(id) {
		if !as.core.HasAccelerators(typ) || !as.core.IsCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// idleTimeout is how long a machine may stand idle: as long as booting another would
// take. By then it has cost what deleting it too early would cost.
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
