// Package eligibility decides whether a machine gets new tasks. It owns no state.
package eligibility

import (
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// Checker decides whether machines get new tasks.
type Checker struct {
	core *core.Core
	deps Dependencies
}

// Dependencies are the other components that the checker depends on.
type Dependencies struct {
	Agents Agents
	Health Health
}

// Agents is the interface to the agent manager.
type Agents interface {
	// LoanKnownAt returns when this controller read the machine's latest loan, or 0.
	LoanKnownAt(api.MachineID) api.Time
}

// Health is the interface to the zone health monitor.
type Health interface {
	ZoneUnavailable(api.Zone) bool
}

// New returns a checker. Connect must be called before any other method.
func New(k *core.Core) *Checker { return &Checker{core: k} }

// Connect sets the components that the checker depends on.
func (e *Checker) Connect(s Dependencies) { e.deps = s }

// missedCallTimeout is the time since the last heartbeat after which a machine that missed a call counts as
// unresponsive.
const missedCallTimeout = time.Second

// UnschedulableReason returns the reason why a machine of an owned partition gets no new tasks, or
// core.Schedulable.
func (e *Checker) UnschedulableReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason {
	if reason := e.machineReason(m); reason != core.Schedulable {
		return reason
	}
	return e.contactReason(m, owned)
}

// machineReason returns a reason in the state of the machine itself, or core.Schedulable.
func (e *Checker) machineReason(m *core.Machine) core.UnschedulableReason {
	switch {
	case m.Deleting:
		return core.ReasonDeleting
	case slices.Contains(e.core.Settings.Drained, m.ID):
		return core.ReasonDrained
	case m.LastHeartbeat == 0:
		return core.ReasonNoHeartbeatYet
	case m.ReclaimNotice:
		return core.ReasonReclaimed
	case e.core.MachineTypes[m.MachineType] == nil:
		return core.ReasonUnknownType
	case e.core.IsQuarantined(m):
		return core.ReasonQuarantined
	case m.FullUntil >= e.core.Now:
		return core.ReasonFull
	}
	return core.Schedulable
}

// contactReason returns a reason in the communication with the machine, or core.Schedulable.
func (e *Checker) contactReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason {
	sinceHeartbeat := e.core.Now.Sub(m.LastHeartbeat)
	switch {
	case sinceHeartbeat >= e.heartbeatTimeout():
		return core.ReasonHeartbeatTimeout
	case m.UnansweredCalls > 0 && sinceHeartbeat > missedCallTimeout:
		return core.ReasonUnresponsive
	case m.SuspectSince != 0:
		return core.ReasonSuspect
	case e.deps.Health.ZoneUnavailable(m.Zone) && sinceHeartbeat > e.core.Config.HeartbeatInterval()*5/4:
		return core.ReasonZoneUnavailable
	case e.outboundCutOff(m, owned):
		return core.ReasonHeartbeatsNotArriving
	case m.ReportedToken < e.core.MinToken(owned, m.ID):
		return core.ReasonTokenNotAnnounced
	}
	return core.Schedulable
}

// heartbeatTimeout returns the time without a heartbeat after which a machine gets no new tasks: two heartbeat
// intervals and a margin.
func (e *Checker) heartbeatTimeout() time.Duration {
	return 2*e.core.Config.HeartbeatInterval() + 2*time.Second
}

// outboundCutOff reports whether a machine has sent no heartbeat of its own for the heartbeat timeout, also if it
// answers calls. Its lease is then not renewed, and its tasks end when the lease expires.
func (e *Checker) outboundCutOff(m *core.Machine, owned *core.OwnedPartition) bool {
	since := max(m.LeaseRenewedAt, m.FirstHeartbeat, m.DiscoveredAt, owned.OwnedSince, e.deps.Agents.LoanKnownAt(m.ID))
	return e.core.Now.Sub(since) >= e.heartbeatTimeout()
}
