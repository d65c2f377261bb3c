// Package agent manages the machines of the partitions that this controller owns, through the agents
// on them. It processes heartbeats, reconciles them with the cluster state, and sends each machine its
// commands in the response to a heartbeat or in a direct call.
//
// It owns the sorted lists of machines, the scheduled and in-flight direct calls, the redirects of
// heartbeats and the times at which loans became known. The machines themselves are in package core,
// since other components read them.
package agent

import (
	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// Manager manages the machines of owned partitions through their agents.
type Manager struct {
	core *core.Core
	deps Dependencies

	sortedMachines      []*core.Machine   // all machines by ID; nil if the lists must be rebuilt
	machinesByPartition [][]*core.Machine // the machines of each partition by ID
	sortedLoanVersion   int               // State.LoanGeneration for which the lists were built
	machineLoans        map[api.MachineID]machineLoan

	pendingDirectCalls  []*core.Machine // machines with a scheduled direct call
	sweepIndex          int             // index in sortedMachines of the next machine to reconcile
	lastSweepAt         api.Time
	directCallsInFlight int
	maxDirectCalls      int

	redirects map[api.MachineID]redirect // latest redirect of each machine's heartbeats
}

// New returns a manager without machines. Connect must be called before it is used.
func New(shared *core.Core) *Manager {
	return &Manager{
		core:           shared,
		machineLoans:   map[api.MachineID]machineLoan{},
		maxDirectCalls: directCallLimit(shared.Config),
		redirects:      map[api.MachineID]redirect{},
	}
}

// Connect sets the components that the manager calls.
func (am *Manager) Connect(deps Dependencies) { am.deps = deps }

// Limits on concurrent direct calls.
const (
	defaultMaxDirectCalls = 64
	minMaxDirectCalls     = 4
	fdsPerDirectCall      = 16 // file descriptors of the process's limit for each direct call
)

// directCallLimit returns the maximum number of concurrent direct calls. Most file descriptors are
// reserved for the connections of agents and users.
func directCallLimit(cfg *config.Config) int {
	limit := defaultMaxDirectCalls
	if fds := cfg.Deployment.Limits.FDLimit; fds > 0 {
		limit = max(minMaxDirectCalls, min(limit, fds/fdsPerDirectCall))
	}
	return limit
}

// MaxDirectCalls returns the maximum number of concurrent direct calls to agents.
func (am *Manager) MaxDirectCalls() int { return am.maxDirectCalls }

// EnsureMachine returns a machine and adds it if it is unknown.
func (am *Manager) EnsureMachine(id api.MachineID) *core.Machine {
	m := am.core.Machines[id]
	if m == nil {
		m = &core.Machine{
			ID:           id,
			DiscoveredAt: am.core.Now,
			HeartbeatState: core.HeartbeatState{
				ReportedTasks: map[core.AttemptKey]api.TaskStatus{},
			},
			TokenState:   core.TokenState{LaunchTokens: map[core.AttemptKey]api.FencingToken{}},
			ScaleInState: core.ScaleInState{IdleSince: am.core.Now},
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

// ForgetMachine removes a machine from the known machines.
func (am *Manager) ForgetMachine(id api.MachineID) {
	delete(am.core.Machines, id)
	am.sortedMachines = nil
}
