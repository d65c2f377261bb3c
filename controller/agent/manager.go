// Package agent manages the machines of the partitions that this controller owns through the agents
// on them: it takes in heartbeats, reconciles them with the durable record and composes the commands
// that each machine should have, as the answer to a heartbeat or by a direct call.
//
// It owns the list of machines in order, the machines that are to be called at once, the direct calls
// under way, the redirects of heartbeats and the times at which loans became known. The machines
// themselves are in the core, as other components read them.
package agent

import (
	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// Manager manages the machines of owned partitions through their agents.
type Manager struct {
	core     *core.Core
	siblings Siblings

	sortedMachines      []*core.Machine   // all of them in order; nil: to be listed anew
	machinesByPartition [][]*core.Machine // the same by partition
	sortedLoanVersion   int               // the generation of loans that the lists follow
	machineLoans        map[api.MachineID]machineLoan

	pendingContacts     []*core.Machine // to be called at once
	sweepIndex          int             // of the next machine to reconcile in turn
	lastSweepAt         api.Time
	directCallsInFlight int
	maxDirectCalls      int

	redirects map[api.MachineID]redirect // the latest of each machine's heartbeats
}

// New returns a manager that knows no machine. Connect must be called before it is used.
func New(shared *core.Core) *Manager {
	return &Manager{
		core:           shared,
		machineLoans:   map[api.MachineID]machineLoan{},
		maxDirectCalls: directCallLimit(shared.Config),
		redirects:      map[api.MachineID]redirect{},
	}
}

// Connect gives the manager the components that it asks.
func (am *Manager) Connect(siblings Siblings) { am.siblings = siblings }

// Bounds on the direct calls that may be under way at once.
const (
	defaultMaxDirectCalls = 64
	minMaxDirectCalls     = 4
	fdsPerDirectCall      = 16 // of the process's limit on file descriptors
)

// directCallLimit is how many direct calls may be under way at once: file descriptors are for the
// connections of agents and users in the first place.
func directCallLimit(cfg *config.Config) int {
	limit := defaultMaxDirectCalls
	if fds := cfg.Deployment.Limits.FDLimit; fds > 0 {
		limit = max(minMaxDirectCalls, min(limit, fds/fdsPerDirectCall))
	}
	return limit
}

// MaxDirectCalls is how many direct calls to agents may be under way at once.
func (am *Manager) MaxDirectCalls() int { return am.maxDirectCalls }

// EnsureMachine returns what is known of a machine; one that was not known is added.
func (am *Manager) EnsureMachine(id api.MachineID) *core.Machine {
	m := am.core.Machines[id]
	if m == nil {
		m = &core.Machine{
			ID:             id,
			DiscoveredAt:   am.core.Now,
			HeartbeatState: core.HeartbeatState{ReportedTasks: map[core.AttemptKey]api.TaskStatus{}},
			ScaleInState:   core.ScaleInState{IdleSince: am.core.Now},
			TaskHistory: core.TaskHistory{
				CachedImages:   map[api.Image]sched.CachedImage{},
				RecentFailures: map[api.JobID]api.Time{},
			},
		}
		am.core.Machines[id] = m
		am.sortedMachines = nil
	}
	return m
}

// ForgetMachine drops a machine of which nothing is left to know.
func (am *Manager) ForgetMachine(id api.MachineID) {
	delete(am.core.Machines, id)
	am.sortedMachines = nil
}
