// Package emulator emulates the environment of the controllers (key-value store,
// cloud, workers, users and the network between them) on one virtual clock, injects
// faults, and checks the rules of package invariant. The controllers are the real ones,
// with the real message adapters.
//
// A Simulation owns all state of the emulators and runs them from one event queue, so
// that runs with the same seed are identical. Live and Fleet run a simulation in real
// time on loopback, for controllers that are real processes.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/message"
	"basaltwall/internal/invariant"
)

// Simulation is a deployment with emulated surroundings on a virtual clock.
type Simulation struct {
	Now     time.Duration
	Checker *invariant.Checker
	rand    *rand.Rand
	queue   eventQueue
	seq     int

	configs         map[string]*config.Config
	controllerNames []string
	controllers     map[string]*controllerHost
	// regions is nil if all zones are in one region.
	regions *Regions

	Store         *Store
	Cloud         *Cloud
	workers       map[api.MachineID]*Worker
	workersByAddr map[string]*Worker
	Users         *Users
	SkipClients   *SkipClients
	Tenants       *Tenants // nil unless the service is hosted

	// ClockSkew is how far each controller's wall clock is ahead.
	ClockSkew map[string]time.Duration

	NetworkFaults

	// DirectCommands counts direct commands to workers that were not lost on the controller's link.
	DirectCommands int

	// Deliver sends a user's request, or a duplicate of a heartbeat, to a controller. SendHeartbeat sends
	// a heartbeat and passes the response to its worker. Address returns a new machine's address. OnWorker
	// is called when a machine's worker has started.
	Deliver       func(name, method, path string, caller message.Caller, body []byte, answer func(int, []byte))
	SendHeartbeat func(wk *Worker, name string, body []byte, answer func(int, []byte))
	Address       func(number int) string
	OnWorker      func(*Worker)

	// OnStep, if set, is called after each Step of a controller with the returned effects, before they
	// are executed.
	OnStep func(name string, effects []message.Effect)

	gangs              map[gangKey]*gang
	checkpointProgress map[api.JobID]time.Duration
}

// WallTime returns the true wall-clock time. A controller's clock is ahead of it by its ClockSkew.
func (sim *Simulation) WallTime() api.WallTime {
	return api.WallTime(1_000_000 + sim.Now.Milliseconds())
}

// NewSimulation returns a deployment whose controllers are not started yet.
func NewSimulation(seed uint64, configs []*config.Config) *Simulation {
	sim := &Simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), configs: map[string]*config.Config{}, controllers: map[string]*controllerHost{},
		NetworkFaults: newNetworkFaults(), workers: map[api.MachineID]*Worker{}, workersByAddr: map[string]*Worker{}, gangs: map[gangKey]*gang{},
		checkpointProgress: map[api.JobID]time.Duration{},
	}
	sim.Checker = invariant.NewChecker(configs[0])
	sim.Store = newStore(sim)
	sim.Cloud = newCloud(sim)
	sim.Users = newUsers(sim)
	sim.SkipClients = newSkipClients(sim)
	for _, c := range configs {
		sim.configs[string(c.Label)] = c
		sim.controllerNames = append(sim.controllerNames, string(c.Label))
	}
	sim.Deliver = sim.deliverRequest
	sim.SendHeartbeat = func(_ *Worker, name string, body []byte, answer func(int, []byte)) {
		sim.Deliver(name, "POST", api.PathHeartbeat, message.Caller{}, body, answer)
	}
	sim.Address = func(number int) string { return fmt.Sprintf("10.1.0.%d:9000", number) }
	sim.OnWorker = func(*Worker) {}
	return sim
}

func (sim *Simulation) must(err error) {
	if err != nil {
		panic(fmt.Sprintf("emulator: %v", err))
	}
}

// deliverHeldHeartbeats delivers the held heartbeats to all controllers while a partition's new owner receives
// the response to its write.
func (sim *Simulation) deliverHeldHeartbeats() {
	for i, body := range sim.heldHeartbeats {
		for _, name := range sim.controllerNames {
			sim.After(sim.latency()+time.Duration(i%3)*time.Millisecond, func() {
				sim.Deliver(name, "POST", api.PathHeartbeat, message.Caller{}, body, discardResponse)
			})
		}
	}
	sim.heldHeartbeats = nil
}

// MachinesAboveToken counts the running machines and those with a fencing token above the given one. highest is
// the highest token of any machine.
func (sim *Simulation) MachinesAboveToken(token api.FencingToken) (above, total int, highest api.FencingToken) {
	for _, wk := range sim.workers {
		total++
		if wk.fencingToken > token {
			above++
		}
		highest = max(highest, wk.fencingToken)
	}
	return above, total, highest
}
