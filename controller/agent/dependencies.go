// Interfaces of the components that the manager calls.

package agent

import (
	"basaltwall/api"
	"basaltwall/controller/core"
)

// Dependencies holds the other components that the manager calls.
type Dependencies struct {
	Autoscaler Autoscaler
	Balancer   Balancer
	Follower   Follower
	Gossiper   Gossiper
	Health     Health
	Jobs       Jobs
	Preemptor  Preemptor
	Scheduler  Scheduler
}

// Autoscaler is the part of the autoscaler that the manager calls.
type Autoscaler interface {
	// IsDeleted reports whether the cloud has deleted the machine.
	IsDeleted(api.MachineID) bool
	// EvaluateScaleIn decides whether to delete a machine that is no longer needed. The partition is
	// nil if another controller owns it.
	EvaluateScaleIn(*core.Machine, *core.OwnedPartition)
}

// Balancer is the component that lends machines to other partitions.
type Balancer interface {
	// AdoptMachine takes over a machine that was lent, with its tasks, to an owned partition.
	AdoptMachine(api.MachineID)
}

// Follower is the component that follows the log of the key-value store.
type Follower interface {
	// LinearizableRead calls onRead once all changes that are durable at the time of the call are
	// applied, or onFailure if they can't be read.
	LinearizableRead(onRead, onFailure func())
}

// Gossiper is the component that exchanges partition status with other controllers.
type Gossiper interface {
	// IsPeer reports whether a controller is a configured peer.
	IsPeer(api.ControllerID) bool
	// ReportsUnreachable reports whether a machine's owner reports the machine as unreachable.
	ReportsUnreachable(owner api.ControllerID, machine api.MachineID) bool
}

// Health is the component that monitors zones and machines.
type Health interface {
	// ZoneUnavailable reports whether no tasks may start in the zone.
	ZoneUnavailable(api.Zone) bool
	// CheckLiveness deletes the machine if it has been unreachable for longer than its timeout.
	CheckLiveness(*core.Machine, *core.OwnedPartition)
}

// Jobs is the component that accepts jobs.
type Jobs interface {
	// ReduceTasks records that a job has fewer tasks than its record says.
	ReduceTasks(owned *core.OwnedPartition, j *core.Job, tasks int)
}

// Preemptor is the component that reserves machines for jobs.
type Preemptor interface {
	// ReserveExclusively reserves a machine for one job.
	ReserveExclusively(*core.Machine, api.JobID)
}

// Scheduler is the component that plans and records scheduling rounds.
type Scheduler interface {
	// IsSchedulable reports whether tasks may be placed on the machine.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	// RecordTaskEnd adds the end of a placement to the next round's record.
	RecordTaskEnd(owned *core.OwnedPartition, p *core.Placement, done bool, reason string)
	// StopTask requests the stop of a task.
	StopTask(*core.Placement)
}
