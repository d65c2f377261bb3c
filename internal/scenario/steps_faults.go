package scenario

import (
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// This file has the steps that inject faults into controllers, the network, the key-value store, the
// cloud and machines.

// rollDowntime is the default downtime of a controller in a rolling restart, in seconds.
const rollDowntime = "3"

// holdMessages makes a cut hold messages; any other word makes it drop them.
const holdMessages = "hold"

// all stands for all controllers, machines, endpoints or jobs.
const all = "all"

var controllerFaultSteps = map[string]step{
	"crash": {form: "dsd", schedule: func(r *runner, a arguments) {
		r.crashControllersAt(a.durations[0], a.names[0], a.durations[1])
	}},
	"crash-loop": {form: "dsddn", schedule: func(r *runner, a arguments) {
		for i := range int(a.numbers[0]) {
			r.crashControllersAt(a.durations[0]+time.Duration(i)*a.durations[2], a.names[0], a.durations[1])
		}
	}},
	"rolling-restart": {parse: (*runner).rollControllers},
	"freeze": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() {
			r.eachController(a.names[0], func(name string) { r.sim.FreezeController(name, a.durations[1]) })
		})
	}},
}

var networkFaultSteps = map[string]step{
	"cut": {form: "ddsss", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.cutLinks(a.names[0], a.names[1], a.durations[1], a.names[2] == holdMessages) })
	}},
	"cut-zone": {form: "ddss", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.CutZone(api.Zone(a.names[0]), a.durations[1], a.names[1] == holdMessages) })
	}},
	"store-outage": {form: "dd", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Store.Outage(a.durations[1]) })
	}},
	"refuse-controller": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Store.RefuseController(a.names[0], a.durations[1]) })
	}},
	"lose-replies": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.sim.Checker.RecordFaultUntil(a.durations[0] + a.durations[1])
		r.during(a, func() { r.sim.ReplyLossRate = a.numbers[0] }, func() { r.sim.ReplyLossRate = 0 })
	}},
	"delay-transactions": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.sim.Checker.RecordFaultUntil(a.durations[0] + a.durations[1])
		r.during(a, func() { r.sim.TransactionDelayRate = a.numbers[0] }, func() { r.sim.TransactionDelayRate = 0 })
	}},
	"add-latency": {form: "ddd", schedule: func(r *runner, a arguments) {
		r.sim.Checker.RecordFaultUntil(a.durations[0] + a.durations[1])
		r.during(a, func() { r.sim.ExtraLatency = a.durations[2] }, func() { r.sim.ExtraLatency = 0 })
	}},
	"fail-late-launches": {form: "dd", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.FailLateLaunches = true }, func() { r.sim.FailLateLaunches = false })
	}},
	"repeat-commands": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.RepeatedCommandRate = a.numbers[0] }, func() { r.sim.RepeatedCommandRate = 0 })
	}},
	"copy-requests": {form: "ddns", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.setCopyRate(a.names[0], a.numbers[0]) }, func() { r.setCopyRate(a.names[0], 0) })
	}},
	"stale-heartbeats": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.sim.Checker.RecordFaultUntil(a.durations[0] + a.durations[1] + 2*r.configs[0].WorkerLease())
		r.during(a, func() { r.sim.StaleHeartbeatRate = a.numbers[0] }, func() { r.sim.StaleHeartbeatRate = 0 })
	}},
	"hold-heartbeats": {form: "ddn", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.HeldHeartbeatRate = a.numbers[0] }, func() { r.sim.HeldHeartbeatRate = 0 })
	}},
	"cloud-outage": {form: "dd", schedule: func(r *runner, a arguments) {
		r.during(a, func() { r.sim.Cloud.Down = true }, func() { r.sim.Cloud.Down = false })
	}},
	"random-faults": {form: "ndd", schedule: func(r *runner, a arguments) {
		r.scheduleRandomFaults(uint64(a.numbers[0]), a.durations[0], a.durations[1])
	}},
}

var machineFaultSteps = map[string]step{
	"kill": {form: "ds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Kill(api.MachineID(a.names[0])) })
	}},
	"preempt-spot": {form: "dn", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.reclaimSpot(a.numbers[0]) })
	}},
	"hang": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.Hang(api.MachineID(a.names[0]), a.durations[1]) })
	}},
	"fail-tasks": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.FailTasks(api.MachineID(a.names[0]), a.durations[1]) })
	}},
	"delay-commands": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() { r.sim.DelayCommands(api.MachineID(a.names[0]), a.durations[1]) })
	}},
	"delay-replies": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() {
			r.eachMachine(a.names[0], func(id api.MachineID) { r.sim.DelayReplies(id, a.durations[1]) })
		})
	}},
	"cut-inbound": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() {
			r.eachMachine(a.names[0], func(id api.MachineID) { r.sim.CutInbound(id, a.durations[1]) })
		})
	}},
	"cut-outbound": {form: "dds", schedule: func(r *runner, a arguments) {
		r.sim.After(a.durations[0], func() {
			r.eachMachine(a.names[0], func(id api.MachineID) { r.sim.CutOutbound(id, a.durations[1]) })
		})
	}},
}

func (r *runner) crashControllersAt(at time.Duration, controllerName string, downtime time.Duration) {
	r.sim.After(at, func() {
		r.eachController(controllerName, func(name string) { r.sim.CrashController(name, downtime) })
	})
}

// rollControllers parses AT EVERY [BACK] and schedules a restart of each controller in turn.
func (r *runner) rollControllers(words []string) error {
	if len(words) == 2 {
		words = append(words, rollDowntime)
	}
	a, err := parseArguments(words, "ddd")
	if err != nil {
		return err
	}
	start, interval, downtime := a.durations[0], a.durations[1], a.durations[2]
	for i, c := range r.configs {
		r.sim.After(start+time.Duration(i)*interval, func() { r.sim.CrashController(string(c.Label), downtime) })
	}
	return nil
}

func (r *runner) eachController(name string, callback func(string)) {
	for _, c := range r.configs {
		if name == all || name == string(c.Label) {
			callback(string(c.Label))
		}
	}
}

func (r *runner) eachMachine(name string, callback func(api.MachineID)) {
	if name != all {
		callback(api.MachineID(name))
		return
	}
	for _, id := range r.sim.Machines() {
		callback(id)
	}
}

// cutLinks cuts controllers off from one or all endpoints.
func (r *runner) cutLinks(controllerName, endpoint string, length time.Duration, hold bool) {
	r.eachController(controllerName, func(name string) {
		eachEndpoint(endpoint, func(e emulator.Endpoint) { r.sim.CutLink(name, e, length, hold) })
	})
}

// setCopyRate sets the share of the requests to one or all endpoints of which copies arrive again.
func (r *runner) setCopyRate(endpoint string, rate float64) {
	eachEndpoint(endpoint, func(e emulator.Endpoint) { r.sim.RequestCopyRates[e] = rate })
}

// eachEndpoint calls callback for one or all endpoints.
func eachEndpoint(name string, callback func(emulator.Endpoint)) {
	endpoints := []emulator.Endpoint{
		emulator.EndpointStore, emulator.EndpointWorkers, emulator.EndpointPeers, emulator.EndpointCloud, emulator.EndpointUsers,
	}
	for _, e := range endpoints {
		if name == all || name == string(e) {
			callback(e)
		}
	}
}

// reclaimSpot kills a share of the spot machines, evenly distributed over their list.
func (r *runner) reclaimSpot(share float64) {
	seen := 0.0
	for _, id := range r.sim.Cloud.SpotMachines() {
		if seen += share; seen >= 1 {
			seen--
			r.sim.Kill(id)
		}
	}
}
