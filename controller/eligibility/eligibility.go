// Package eligibility decides whether a machine gets new tasks. It owns no state: it judges by what the core and
// its siblings know.
package eligibility

import (
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// Checker decides whether machines get new tasks.
type Checker struct {
	core     *core.Core
	siblings Siblings
}

// Siblings are the other components that this one asks.
type Siblings struct {
	Agents Agents
	Health Health
}

// Agents is what the checker needs of the agent manager.
type Agents interface {
	// LoanKnownAt is when this controller learnt of the machine's latest loan.
	LoanKnownAt(api.MachineID) api.Time
}

// Health is what the checker needs of the zones' health.
type Health interface {
	ZoneUnavailable(api.Zone) bool
}

// New returns a checker; Connect is to be called before it is asked.
func New(k *core.Core) *Checker { return &Checker{core: k} }

// Connect names the components that the checker asks.
func (e *Checker) Connect(s Siblings) { e.siblings = s }

// callSilenceThreshold is how long a machine that missed a call must have been silent to count as unresponsive.
const callSilenceThreshold = time.Second

// UnschedulableReason says why a machine of an owned partition gets no new tasks, or Schedulable.
func (e *Checker) UnschedulableReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason {
	if reason := e.machineReason(m); reason != core.Schedulable {
		return reason
	}
	return e.contactReason(m, owned)
}

// machineReason is why the machine itself can't be used, whatever contact there is with it.
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
	case m.QuarantinedUntil >= e.core.Now:
		return core.ReasonQuarantined
	case m.FullUntil >= e.core.Now:
		return core.ReasonFull
	}
	return core.Schedulable
}

// contactReason is why the contact with the machine does not allow new tasks there.
func (e *Checker) contactReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason {
	silence := e.core.Now.Sub(m.LastHeartbeat)
	switch {
	case silence >= e.silenceThreshold():
		return core.ReasonSilent
	case m.MissedCalls > 0 && silence > callSilenceThreshold:
		return core.ReasonUnresponsive
	case m.SuspectSince != 0:
		return core.ReasonSuspect
	case e.siblings.Health.ZoneUnavailable(m.Zone) && silence > e.core.Config.HeartbeatInterval()*5/4:
		return core.ReasonZoneUnavailable
	case e.outboundCutOff(m, owned):
		return core.ReasonOutboundCutOff
	case m.ReportedToken < e.core.MinToken(owned, m.ID):
		return core.ReasonTokenNotAnnounced
	}
	return core.Schedulable
}

// silenceThreshold is how long a machine may be without a heartbeat: two are missing, and some time.
func (e *Checker) silenceThreshold() time.Duration {
	return 2*e.core.Config.HeartbeatInterval() + 2*time.Second
}

// outboundCutOff reports whether a machine answers calls while no heartbeat of its own comes, though there was
// time for some: nobody renews its lease, and what is started there dies with it.
func (e *Checker) outboundCutOff(m *core.Machine, owned *core.OwnedPartition) bool {
	since := max(m.LeaseRenewedAt, m.FirstHeartbeat, m.DiscoveredAt, owned.OwnedSince, e.siblings.Agents.LoanKnownAt(m.ID))
	return e.core.Now.Sub(since) >= e.silenceThreshold()
}
