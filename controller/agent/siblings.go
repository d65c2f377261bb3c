// What the manager needs of other components.

package agent

import (
	"basaltwall/api"
	"basaltwall/controller/core"
)

// Siblings are the other components that the manager asks.
type Siblings struct {
	Autoscaler Autoscaler
	Balancer   Balancer
	Follower   Follower
	Gossiper   Gossiper
	Health     Health
	Preemptor  Preemptor
	Scheduler  Scheduler
}

// Autoscaler is what the manager needs of the autoscaler.
type Autoscaler interface {
	// IsDeleted reports whether the cloud has deleted the machine.
	IsDeleted(api.MachineID) bool
	// EvaluateScaleIn decides whether a machine is no longer needed. The partition is nil if another
	// controller owns it.
	EvaluateScaleIn(*core.Machine, *core.OwnedPartition)
}

// Balancer is what the manager needs of the component that lends machines to other partitions.
type Balancer interface {
	// AdoptMachine takes over a machine that was lent to an owned partition with its tasks.
	AdoptMachine(api.MachineID)
}

// Follower is what the manager needs of the component that follows the state service's log.
type Follower interface {
	// LinearizableRead calls back once everything durable at this moment is applied, or cannot be read.
	LinearizableRead(onRead, onFailure func())
}

// Gossiper is what the manager needs of the exchange with other controllers.
type Gossiper interface {
	// IsPeer reports whether such a controller is configured.
	IsPeer(api.ControllerID) bool
	// ReportsSilent reports whether an owner has told that it hears nothing of the machine.
	ReportsSilent(owner api.ControllerID, machine api.MachineID) bool
}

// Health is what the manager needs of the monitor of zones and machines.
type Health interface {
	// ZoneUnavailable reports whether nothing is to be started in the zone.
	ZoneUnavailable(api.Zone) bool
	// CheckLiveness deletes the machine if it has been unreachable for too long.
	CheckLiveness(*core.Machine, *core.OwnedPartition)
}

// Preemptor is what the manager needs of the component that reserves machines for jobs.
type Preemptor interface {
	// ReserveExclusively keeps a machine for one job.
	ReserveExclusively(*core.Machine, api.JobID)
}

// Scheduler is what the manager needs of the component that plans and records rounds.
type Scheduler interface {
	// IsSchedulable reports whether tasks may be placed on the machine.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	// RecordTaskEnd has the next round record that a placement is over.
	RecordTaskEnd(owned *core.OwnedPartition, p *core.Placement, done bool, reason string)
	// StopTask has a task stopped.
	StopTask(*core.Placement)
}
