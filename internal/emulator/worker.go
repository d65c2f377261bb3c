package emulator

import (
	"maps"
	"slices"
	"sort"
	"time"

	"basaltwall/api"
)

// Worker emulates the worker agent of a machine.
type Worker struct {
	sim                  *Simulation
	id                   api.MachineID
	addr                 string
	machineType          api.MachineTypeName
	zone                 api.Zone
	spot                 bool
	capacity             api.Resources
	incarnation          api.Epoch
	sequence             api.Seq
	fencingToken         api.FencingToken
	tasks                map[string]map[api.Attempt]*workerTask
	images               map[api.Image]bool
	controllerIndex      int
	leaseStart           time.Duration // when the last acknowledged heartbeat was sent
	heartbeatPending     bool
	nextHeartbeat        time.Duration
	statusChanged        bool
	nextTokenChange      time.Duration // a higher token is no reason for a heartbeat before
	dead                 bool
	hungUntil            time.Duration
	heldCalls            []func() // direct commands that are held while the machine hangs
	delayedCommands      []func() // direct commands that are delayed, see DelayCommands
	commandsDelayedUntil time.Duration
	repliesDelayedUntil  time.Duration // replies to heartbeats arrive late until then, see DelayReplies
	lateLaunchFailed     bool          // a task has failed whose launch was in a late reply
	inboundCutUntil      time.Duration // responses and direct commands to the machine are lost until then
	outboundCutUntil     time.Duration // heartbeats are lost until then
	tasksFailUntil       time.Duration
}

func (sim *Simulation) startWorker(h *instance) {
	wk := &Worker{sim: sim, id: h.ID, addr: h.Address, machineType: h.Type, zone: h.Zone, spot: h.Spot, incarnation: 1,
		tasks: map[string]map[api.Attempt]*workerTask{}, images: map[api.Image]bool{}, leaseStart: sim.Now,
		controllerIndex: sim.rand.IntN(len(sim.controllerNames))}
	for _, t := range sim.Cloud.Types {
		if t.Name == h.Type {
			wk.capacity = t.Capacity()
		}
	}
	sim.workers[h.ID] = wk
	sim.workersByAddr[wk.addr] = wk
	sim.OnWorker(wk)
	wk.tick()
}

// killWorker removes a machine and ends all tasks on it.
func (sim *Simulation) killWorker(id api.MachineID) {
	wk := sim.workers[id]
	if wk == nil {
		return
	}
	wk.dead = true
	for _, t := range wk.allTasks() {
		wk.forgetTask(t)
	}
	delete(sim.workers, id)
	delete(sim.workersByAddr, wk.addr)
}

// Machines returns the running machines, sorted.
func (sim *Simulation) Machines() []api.MachineID { return slices.Sorted(maps.Keys(sim.workers)) }

func (wk *Worker) allTasks() []*workerTask {
	var out []*workerTask
	for _, byAttempt := range wk.tasks {
		for _, t := range byAttempt {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.id != b.id {
			return a.name < b.name
		}
		return a.attempt < b.attempt
	})
	return out
}

func (wk *Worker) tick() {
	if wk.dead {
		return
	}
	wk.sim.After(100*time.Millisecond, wk.tick)
	if wk.hungUntil > wk.sim.Now {
		return
	}
	cfg := wk.sim.configs[wk.sim.controllerNames[0]]
	if wk.sim.Now-wk.leaseStart > cfg.WorkerLease() {
		for _, t := range wk.allTasks() {
			wk.forgetTask(t)
		}
		wk.incarnation++
		wk.sequence = 0
		wk.leaseStart = wk.sim.Now
		wk.statusChanged = true
	}
	if !wk.heartbeatPending && (wk.sim.Now >= wk.nextHeartbeat || wk.statusChanged && wk.sim.Now >= wk.nextHeartbeat-cfg.HeartbeatInterval()+500*time.Millisecond) {
		wk.sendHeartbeat()
	}
}
