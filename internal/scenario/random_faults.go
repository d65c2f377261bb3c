package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// This file injects random faults. A seed gives the same faults as long as the order of the random
// draws and of the table stays the same.

// randomFault has the random parameters of a fault.
type randomFault struct {
	*runner
	rng        *rand.Rand
	controller string
	length     time.Duration
	machine    api.MachineID
	hold       bool // cuts hold messages and don't drop them
	share      float64
	zone       api.Zone
}

// randomFaults are the faults to choose from. Their order determines the faults of a seed.
var randomFaults = []func(*randomFault){
	func(f *randomFault) { f.sim.CrashController(f.controller, time.Duration(1+f.rng.IntN(8))*time.Second) },
	func(f *randomFault) {
		f.eachController(all, func(name string) { f.sim.CrashController(name, 3*time.Second) })
	},
	func(f *randomFault) { f.sim.FreezeController(f.controller, f.length) },
	func(f *randomFault) { f.cut(string(emulator.EndpointStore), f.length) },
	func(f *randomFault) { f.cut(string(emulator.EndpointWorkers), f.length) },
	func(f *randomFault) { f.cut(all, f.length) },
	func(f *randomFault) { f.cut(string(emulator.EndpointPeers), f.length) },
	func(f *randomFault) { f.sim.Store.Outage(f.length / 2) },
	func(f *randomFault) { f.sim.Store.RefuseController(f.controller, f.length) },
	(*randomFault).loseReplies,
	(*randomFault).delayTransactions,
	func(f *randomFault) { f.sim.Kill(f.machine) },
	func(f *randomFault) { f.sim.Hang(f.machine, f.length) },
	func(f *randomFault) { f.sim.FailTasks(f.machine, f.length) },
	func(f *randomFault) { f.sim.DelayCommands(f.machine, 2*f.length) },
	func(f *randomFault) { f.sim.CutZone(f.zone, 2*f.length, f.hold) },
	func(f *randomFault) { f.sim.CutInbound(f.machine, 2*f.length) },
	func(f *randomFault) {
		f.cut(string(emulator.EndpointStore), 2*f.length)
		f.cut(string(emulator.EndpointPeers), 2*f.length)
	},
	(*randomFault).repeatHeartbeats,
	func(f *randomFault) {
		f.sim.Store.RefuseController(f.controller, f.length)
		f.sim.After(f.length/2, func() { f.sim.Store.Outage(3 * f.length) })
	},
	func(f *randomFault) { f.sim.CutOutbound(f.machine, 2*f.length) },
	(*randomFault).holdHeartbeats,
	(*randomFault).pollOnChange,
	(*randomFault).sendIrregularRequests,
	(*randomFault).addLatency,
}

// scheduleRandomFaults schedules random faults between two times.
func (r *runner) scheduleRandomFaults(seed uint64, from, to time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	at := from
	for at < to {
		f := r.drawFault(rng)
		inject := randomFaults[rng.IntN(len(randomFaults))]
		r.sim.After(at, func() { inject(f) })
		at += time.Duration(1+rng.IntN(12)) * time.Second
	}
}

// drawFault draws the parameters of a fault, always with the same number of draws.
func (r *runner) drawFault(rng *rand.Rand) *randomFault {
	f := &randomFault{runner: r, rng: rng}
	f.controller = string(r.configs[rng.IntN(len(r.configs))].Label)
	f.length = time.Duration(1+rng.IntN(25)) * time.Second
	f.machine = api.MachineID(fmt.Sprintf("i-%06d", rng.IntN(8)))
	f.hold = rng.IntN(2) == 0
	f.share = 0.1 + 0.4*rng.Float64()
	zones := r.configs[0].Deployment.Zones
	f.zone = zones[rng.IntN(len(zones))]
	return f
}

func (f *randomFault) cut(endpoint string, length time.Duration) {
	f.cutLinks(f.controller, endpoint, length, f.hold)
}

func (f *randomFault) loseReplies() {
	f.sim.Checker.RecordFaultUntil(f.sim.Now + f.length)
	f.sim.ReplyLossRate = f.share
	f.sim.After(f.length, func() { f.sim.ReplyLossRate = 0 })
}

func (f *randomFault) delayTransactions() {
	f.sim.Checker.RecordFaultUntil(f.sim.Now + f.length)
	f.sim.TransactionDelayRate = f.share
	f.sim.After(f.length, func() { f.sim.TransactionDelayRate = 0 })
}

func (f *randomFault) repeatHeartbeats() {
	f.sim.Checker.RecordFaultUntil(f.sim.Now + f.length + 2*f.configs[0].WorkerLease())
	f.sim.StaleHeartbeatRate = f.share
	f.sim.After(f.length, func() { f.sim.StaleHeartbeatRate = 0 })
}

func (f *randomFault) holdHeartbeats() {
	f.sim.HeldHeartbeatRate = f.share
	f.sim.After(f.length, func() { f.sim.HeldHeartbeatRate = 0 })
}

func (f *randomFault) pollOnChange() {
	f.sim.Users.PollOnChange = true
	f.sim.After(f.length, func() { f.sim.Users.PollOnChange = false })
}

func (f *randomFault) sendIrregularRequests() {
	if f.sim.Tenants == nil {
		f.sim.Users.SendIrregularRequests(f.length)
	}
}

func (f *randomFault) addLatency() {
	f.sim.Checker.RecordFaultUntil(f.sim.Now + f.length)
	f.sim.ExtraLatency = 100 * time.Millisecond
	f.sim.After(f.length, func() { f.sim.ExtraLatency = 0 })
}
