package controller

import (
	"slices"

	"basaltwall/api"
	"basaltwall/config"
)

// Core is what every part of the controller works with: the clock, the settings, the cluster's state and the calls under way.
type Core struct {
	intervals
	config            *config.Config
	incarnation       int64
	now               api.Time
	wallClock         api.WallTime
	effects           []Effect
	pendingCalls      map[CallID]func(any)
	lastCallID        CallID
	state             *clusterState
	settings          Settings         // what operators set
	recordedTypes     api.MachineTypes // the types as they were written, for a start while the cloud is down
	loaded            bool
	storeHealthy      bool                     // its last answer was one
	pendingStoreCalls map[CallID]api.Time      // calls to it that should be answered at once
	controllers       []api.ControllerID       // controllers, in order: a part's home is the one at its number
	teams             map[api.Team]config.Team // the platform's, and of a hosted service those that its operators made
	largestMachine    api.Resources
	machineTypes      map[api.MachineTypeName]*api.MachineType
	deferredCalls     []deferredCall
	startedAt         api.Time
	metrics           metrics
	pendingRequests   map[ReqID]pendingRequest // requests that wait for their answer
}

func newCore(cfg *config.Config, incarnation int64) *Core {
	k := &Core{intervals: intervalsFor(cfg), config: cfg, incarnation: incarnation,
		pendingCalls: map[CallID]func(any){}, pendingStoreCalls: map[CallID]api.Time{}, pendingRequests: map[ReqID]pendingRequest{},
		machineTypes: map[api.MachineTypeName]*api.MachineType{},
		controllers:  []api.ControllerID{cfg.Label},
	}
	for _, p := range cfg.Peers {
		k.controllers = append(k.controllers, p.Label)
	}
	slices.Sort(k.controllers)
	return k
}
