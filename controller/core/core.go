// Package core holds what all components of a controller share. Core owns the state that more than
// one of them reads or writes: the clock, the operators' settings, the cluster state as read from
// the log of the state service, the machines and partitions of this controller, its counters, and
// the outbox with the effects to be returned and the calls under way. What only one component
// needs is that component's own state and not found here.
//
// Nothing in this package is safe for concurrent use: a controller is stepped by one goroutine.
package core

import (
	"slices"

	"basaltwall/api"
	"basaltwall/config"
)

// Core is the state that a controller's components share.
type Core struct {
	Intervals
	Clock
	Outbox
	Config      *config.Config
	Incarnation int64 // tells this run of the process from others

	State         *ClusterState    // as read from the log
	Loaded        bool             // State has been read completely once
	Settings      Settings         // what operators have set
	RecordedTypes api.MachineTypes // the machine types as recorded, for a start while the cloud does not answer

	Controllers    []api.ControllerID                       // all that are configured, sorted; see PreferredOwner
	Teams          map[api.Team]config.Team                 // the platform's and, of a hosted service, those that operators made
	MachineTypes   map[api.MachineTypeName]*api.MachineType // that the cloud offers
	LargestMachine api.Resources                            // the most of each resource that any machine type has

	Machines   map[api.MachineID]*Machine          // the machines that this controller knows
	Partitions map[api.PartitionID]*OwnedPartition // the partitions that this controller owns
	Metrics    Metrics
}

// New returns the core of a controller; incarnation tells this run of the process from others. The
// cluster state is set by the caller, as the kinds of its records are registered by components.
func New(cfg *config.Config, incarnation int64) *Core {
	k := &Core{
		Intervals:    NewIntervals(cfg),
		Config:       cfg,
		Incarnation:  incarnation,
		Controllers:  []api.ControllerID{cfg.Label},
		MachineTypes: map[api.MachineTypeName]*api.MachineType{},
		Machines:     map[api.MachineID]*Machine{},
		Partitions:   map[api.PartitionID]*OwnedPartition{},
	}
	k.Outbox = newOutbox(&k.Clock, &k.Metrics)
	for _, p := range cfg.Peers {
		k.Controllers = append(k.Controllers, p.Label)
	}
	slices.Sort(k.Controllers)
	return k
}

// IsLive reports whether a controller holds a membership lease, as far as the log has been read.
func (k *Core) IsLive(id api.ControllerID) bool {
	_, ok := k.State.Members[id]
	return ok
}

// PreferredOwner is the controller that owns a partition when all controllers are live.
func (k *Core) PreferredOwner(p api.PartitionID) api.ControllerID {
	return k.Controllers[int(p)%len(k.Controllers)]
}

// StoreUnreachable reports whether the state service seems not to answer this controller, or its
// records have not been read yet.
func (k *Core) StoreUnreachable() bool {
	return !k.Loaded || !k.StoreHealthy || k.storeCallOverdue()
}

// OverloadQueueLength is how many waiting commands are an overload. They are several batches, more
// than come in a few steps.
const OverloadQueueLength = 256

// Overloaded reports whether so many commands wait that optional work is put off: better fits,
// moves, loans, scaling out ahead of demand and gossip. Never put off are the lease, replies,
// evidence of how tasks ended and starts. Each call that reports an overload is counted as work
// put off.
func (k *Core) Overloaded() bool {
	if k.Metrics.Usage.QueueLength < OverloadQueueLength {
		return false
	}
	k.Metrics.OptionalWorkShed++
	return true
}
