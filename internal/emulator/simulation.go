// Package emulator emulates the environment of the controllers (key-value store,
// cloud, workers, users and the network between them) on one virtual clock, injects
// faults, and has an independent checker of the rules. The controllers in it are the
// real ones behind the real message adapters.
//
// A Simulation owns all state of the emulators and runs them by an event queue, so
// that a seed always gives the same run. Live and Fleet run a simulation in real time
// on loopback, for controllers that are real processes.
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

// Simulation is a deployment on a virtual clock.
type Simulation struct {
	Now     time.Duration
	Checker *invariant.Checker
	rand    *rand.Rand
	queue   eventQueue
	seq     int

	configs         map[string]*config.Config
	controllerNames []string
	controllers     map[string]*controllerHost
	// regions are those of the zones; nil where all zones are in one.
	regions *Regions

	Store              *Store
	Cloud              *Cloud
	workers            map[api.MachineID]*Worker
	workersByAddr      map[string]*Worker
	Users              *Users
	ReservationClients *ReservationClients
	Tenants            *Tenants // nil unless the service is hosted

	// ClockSkew is by how much a controller's wall clock is ahead.
	ClockSkew map[string]time.Duration

	NetworkFaults

	// DirectCommands counts direct commands that reached a worker.
	DirectCommands int

	// Deliver carries a user's request, or the copy of a heartbeat, to a controller; SendHeartbeat
	// carries a heartbeat whose answer counts. Address returns a new machine's address, and
	// OnWorker is called when its worker is up.
	Deliver       func(name, method, path string, caller message.Caller, body []byte, answer func(int, []byte))
	SendHeartbeat func(wk *Worker, name string, body []byte, answer func(int, []byte))
	Address       func(number int) string
	OnWorker      func(*Worker)

	// Stepped, if set, is called with the effects that each Step of a controller returned, before they
	// are carried out.
	Stepped func(name string, effects []message.Effect)

	gangs         map[gangKey]*gang
	savedProgress map[api.JobID]time.Duration
}

// WallTime is the true wall-clock time; a controller's is off by its ClockSkew.
func (sim *Simulation) WallTime() api.WallTime {
	return api.WallTime(1_000_000 + sim.Now.Milliseconds())
}

// NewSimulation builds a deployment; StartControllers starts its controllers.
func NewSimulation(seed uint64, configs []*config.Config) *Simulation {
	sim := &Simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), configs: map[string]*config.Config{}, controllers: map[string]*controllerHost{},
		NetworkFaults: newNetworkFaults(), workers: map[api.MachineID]*Worker{}, workersByAddr: map[string]*Worker{}, gangs: map[gangKey]*gang{},
		savedProgress: map[api.JobID]time.Duration{},
	}
	sim.Checker = invariant.NewChecker(configs[0])
	sim.Store = newStore(sim)
	sim.Cloud = newCloud(sim)
	sim.Users = newUsers(sim)
	sim.ReservationClients = newReservationClients(sim)
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

// deliverHeldHeartbeats has the held heartbeats reach all controllers, at the moment at which a
// partition's new owner gets its answer.
func (sim *Simulation) deliverHeldHeartbeats() {
	for i, body := range sim.heldHeartbeats {
		for _, name := range sim.controllerNames {
			sim.After(sim.latency()+time.Duration(i%3)*time.Millisecond, func() {
				sim.Deliver(name, "POST", api.PathHeartbeat, message.Caller{}, body, func(int, []byte) {})
			})
		}
	}
	sim.heldHeartbeats = nil
}

// MachinesAboveToken counts the machines that are up, and those that have seen a fencing token above the
// given one; highest is the highest that any has seen.
func (sim *Simulation) MachinesAboveToken(since api.FencingToken) (above, total int, highest api.FencingToken) {
	for _, wk := range sim.workers {
		total++
		if wk.fencingToken > since {
			above++
		}
		highest = max(highest, wk.fencingToken)
	}
	return above, total, highest
}
