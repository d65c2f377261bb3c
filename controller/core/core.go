// Package core contains the state and helpers shared by the components of a controller. Core holds
// the state that more than one component reads or writes: the clock, the operators' settings, the
// cluster state as read from the state service's log, the controller's machines and partitions, its
// counters, and the outbox with effects and pending calls. State used by a single component belongs
// to that component.
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
	Incarnation int64 // identifies this run of the process

	State         *ClusterState    // as read from the log
	Loaded        bool             // State has been read completely at least once
	Settings      Settings         // set by operators
	RecordedTypes api.MachineTypes // recorded machine types, used at startup while the cloud is unavailable

	Controllers    []api.ControllerID                       // all configured controllers, sorted; see PreferredOwner
	Teams          map[api.Team]config.Team                 // configured teams and, in a hosted service, teams created by operators
	MachineTypes   map[api.MachineTypeName]*api.MachineType // machine types offered by the cloud
	LargestMachine api.Resources                            // maximum of each resource over all machine types

	Machines   map[api.MachineID]*Machine          // machines known to this controller
	Partitions map[api.PartitionID]*OwnedPartition // partitions owned by this controller
	Metrics    Metrics
}

// New returns the core of a controller; incarnation identifies this run of the process. The caller
// sets State, because the components register the kinds of its records.
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

// IsLive reports whether a controller holds a membership lease according to the log read so far.
func (k *Core) IsLive(id api.ControllerID) bool {
	_, ok := k.State.Members[id]
	return ok
}

// PreferredOwner returns the controller that owns a partition when all controllers are live.
func (k *Core) PreferredOwner(p api.PartitionID) api.ControllerID {
	return k.Controllers[int(p)%len(k.Controllers)]
}

// StoreUnreachable reports whether the state service seems to be unreachable or its records have
// not been loaded yet.
func (k *Core) StoreUnreachable() bool {
	return !k.Loaded || !k.StoreHealthy || k.storeCallOverdue()
}

// OverloadQueueLength is the number of queued commands from which the controller counts as
// overloaded: more than arrive in a few steps.
const OverloadQueueLength = 256

// Overloaded reports whether the command queue is so long that optional work is postponed: better
// placements, moves, loans, scaling out ahead of demand, and gossip. Lease renewals, replies,
// recording the ends of tasks, and starts are never postponed. Each call that returns true
// increments the metric OptionalWorkShed.
func (k *Core) Overloaded() bool {
	if k.Metrics.Usage.QueueLength < OverloadQueueLength {
		return false
	}
	k.Metrics.OptionalWorkShed++
	return true
}
