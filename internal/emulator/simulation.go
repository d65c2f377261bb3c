// Package emulator emulates everything a controller meets (state
// service, cloud, workers, users and the network between them) on one virtual
// clock, and an independent checker of the rules. The controllers in it are the
// real owners behind the real message adapters.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/message"
)

// Simulation is a deployment on a virtual clock.
type Simulation struct {
	Now     time.Duration
	Checker *Checker
	rand    *rand.Rand
	queue   eventQueue
	seq     int

	configs         map[string]*config.Config
	controllerNames []string
	controllers     map[string]*controllerHost
	linkCuts        map[linkKey]*networkCut
	zoneCuts        map[api.Zone]*networkCut // whose machines are cut off
	// regions are what the zones lie in; nil where all lie in one.
	regions *Regions

	Store              *Store
	Cloud              *Cloud
	workers            map[api.MachineID]*Worker
	workersByAddr      map[string]*Worker
	Users              *Users
	ReservationClients *ReservationClients
	Tenants            *Tenants // nil unless the service is hosted

	// ReplyLossRate makes that share of the key-value store's answers get lost
	// after the request was carried out; TransactionDelayRate that share of requests
	// arrive seconds late, after their sender has given up.
	ReplyLossRate, TransactionDelayRate float64

	// StaleHeartbeatRate is the share of workers' reports of which a copy arrives again.
	StaleHeartbeatRate float64

	// HeldHeartbeatRate is the share of workers' reports of which a copy is kept for the next owner of
	// any partition: it reaches all controllers once a partition has changed hands.
	HeldHeartbeatRate float64
	heldHeartbeats    [][]byte

	// ExtraLatency is what each passage over the network takes longer, by up to twice as much.
	ExtraLatency time.Duration

	// ClockSkew is by how much a controller's wall clock is ahead.
	ClockSkew map[string]time.Duration

	// DirectCommands counts direct calls that reached a worker.
	DirectCommands int

	// Deliver carries a user's request, or a copy of a worker's, to a controller; Report
	// carries a worker's report, whose answer counts. Address
	// names a new machine's address and OnWorker is told when it is up.
	Deliver       func(name, method, path string, caller message.Caller, body []byte, answer func(int, []byte))
	SendHeartbeat func(wk *Worker, name string, body []byte, answer func(int, []byte))
	Address       func(number int) string
	OnWorker      func(*Worker)

	// Stepped, if set, is told what each controller's Step returned, before it is carried out.
	Stepped func(name string, effects []message.Effect)

	gangs         map[gangKey]*gang
	savedProgress map[api.JobID]time.Duration
}

// WallTime is the wall clock by true time; a controller's is off by what Skew says.
func (sim *Simulation) WallTime() api.WallTime {
	return api.WallTime(1_000_000 + sim.Now.Milliseconds())
}

// NewSimulation builds a deployment; StartControllers starts its controllers.
func NewSimulation(seed uint64, configs []*config.Config) *Simulation {
	sim := &Simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), configs: map[string]*config.Config{}, controllers: map[string]*controllerHost{},
		linkCuts: map[linkKey]*networkCut{}, zoneCuts: map[api.Zone]*networkCut{}, workers: map[api.MachineID]*Worker{}, workersByAddr: map[string]*Worker{}, gangs: map[gangKey]*gang{},
		savedProgress: map[api.JobID]time.Duration{},
	}
	sim.Checker = NewChecker(configs[0])
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

// deliverHeldHeartbeats has the reports that were kept reach all controllers, in the moment in which a
// part's new owner has its answer.
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

// MachinesAboveToken counts the machines that are up, and those that have seen a token above the given
// one; highest is the highest that any has seen.
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
