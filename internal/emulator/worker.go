package emulator

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
)

type gangKey struct {
	job     api.JobID
	attempt api.Attempt
}

type gang struct {
	tasks   map[*workerTask]bool
	running bool
}

// sortedTasks are the gang's tasks in order.
func (g *gang) sortedTasks() []*workerTask {
	out := slices.Collect(maps.Keys(g.tasks))
	slices.SortFunc(out, func(a, b *workerTask) int { return a.id.Index - b.id.Index })
	return out
}

type workerTask struct {
	worker    *Worker
	id        api.TaskID
	name      string // of the task, as on the wire
	attempt   api.Attempt
	spec      *api.JobSpec
	state     api.TaskState
	reason    api.Reason
	saved     bool
	active    bool // has its image and has not ended
	startedAt time.Duration
}

// Worker stands in for a machine's worker.
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
	leaseStart           time.Duration // when the last answered report was sent
	heartbeatPending     bool
	nextHeartbeat        time.Duration
	statusChanged        bool
	dead                 bool
	hungUntil            time.Duration
	heldCalls            []func()
	delayedCommands      []func() // direct commands on their way, see DelayCommands
	commandsDelayedUntil time.Duration
	inboundCutUntil      time.Duration // answers and direct commands are lost until then
	outboundCutUntil     time.Duration // it reaches no controller until then
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

// killWorker ends a machine and all that is on it.
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

// Kill makes a machine fail silently; the list shows it as running for a while.
func (sim *Simulation) Kill(id api.MachineID) {
	if h := sim.Cloud.instances[id]; h != nil {
		sim.After(30*time.Second, func() { h.State = api.MachineFailed })
	}
	sim.killWorker(id)
}

// Hang stops a machine for a while: nothing runs, packets wait.
func (sim *Simulation) Hang(id api.MachineID, length time.Duration) {
	wk := sim.workers[id]
	if wk == nil {
		return
	}
	wk.hungUntil = sim.Now + length
	sim.Checker.FaultUntil(wk.hungUntil)
	for _, t := range wk.allTasks() {
		if g := sim.gangs[gangKey{t.id.Job, t.attempt}]; g != nil && g.running && g.tasks[t] &&
			length > api.Seconds(sim.configs[sim.controllerNames[0]].Deployment.Workers.GangPeer) {
			sim.failGang(g)
		}
	}
	sim.After(length, func() {
		held := wk.heldCalls
		wk.heldCalls = nil
		for _, callback := range held {
			callback()
		}
	})
}

// DelayCommands keeps direct commands to a machine on their way for a while,
// though its reports and their answers pass.
func (sim *Simulation) DelayCommands(id api.MachineID, length time.Duration) {
	wk := sim.workers[id]
	if wk == nil {
		return
	}
	wk.commandsDelayedUntil = sim.Now + length
	sim.Checker.FaultUntil(wk.commandsDelayedUntil)
	sim.After(length, func() {
		late := wk.delayedCommands
		wk.delayedCommands = nil
		for _, callback := range late {
			callback()
		}
	})
}

// Machines lists the machines that are up, in order.
func (sim *Simulation) Machines() []api.MachineID { return slices.Sorted(maps.Keys(sim.workers)) }

// CutInbound has a machine's reports arrive while answers and direct commands to it are lost.
func (sim *Simulation) CutInbound(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.inboundCutUntil = sim.Now + length
		sim.Checker.FaultUntil(wk.inboundCutUntil)
	}
}

// CutOutbound has a machine reach no controller, while direct commands reach it.
func (sim *Simulation) CutOutbound(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.outboundCutUntil = sim.Now + length
		sim.Checker.FaultUntil(wk.outboundCutUntil)
	}
}

// FailTasks makes every task fail that a machine starts in the given time.
func (sim *Simulation) FailTasks(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.tasksFailUntil = sim.Now + length
		sim.Checker.FaultUntil(wk.tasksFailUntil)
	}
}

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

func (wk *Worker) heartbeat() api.Heartbeat {
	wk.sequence++
	r := api.Heartbeat{Machine: wk.id, Address: wk.addr, Type: wk.machineType, Zone: wk.zone, Spot: wk.spot, Epoch: wk.incarnation,
		Seq: wk.sequence, Token: wk.fencingToken, Tasks: []api.TaskStatus{}}
	for _, t := range wk.allTasks() {
		r.Tasks = append(r.Tasks, api.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.reason, Checkpointed: t.saved})
	}
	return r
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

// sendHeartbeat reports to the node the worker stays with.
func (wk *Worker) sendHeartbeat() {
	sim := wk.sim
	wk.heartbeatPending, wk.statusChanged = true, false
	wk.nextHeartbeat = sim.Now + time.Duration(float64(sim.configs[sim.controllerNames[0]].HeartbeatInterval())*(0.75+0.5*sim.rand.Float64()))
	sent, incarnation := sim.Now, wk.incarnation
	name := sim.controllerNames[wk.controllerIndex]
	body, err := json.Marshal(wk.heartbeat())
	sim.must(err)
	settled := false
	other := func() {
		wk.controllerIndex = (wk.controllerIndex + 1) % len(sim.controllerNames)
		sim.After(time.Second, func() { wk.heartbeatPending = false; wk.nextHeartbeat = 0 })
	}
	if wk.outboundCutUntil > sim.Now {
		other()
		return
	}
	sim.After(4*time.Second, func() {
		if !settled {
			settled = true
			other()
		}
	})
	if sim.HeldHeartbeatRate > 0 && sim.rand.Float64() < sim.HeldHeartbeatRate {
		sim.heldHeartbeats = append(sim.heldHeartbeats, body)
	}
	transmit := func(callback func()) {
		sim.transmitToZone(name, wk.zone, func() { sim.transmit(name, EndpointWorkers, callback) })
	}
	if sim.StaleHeartbeatRate > 0 && sim.rand.Float64() < sim.StaleHeartbeatRate {
		// A copy comes again, from 2 s to well over a lease later, to whichever controller.
		late := 2*time.Second + time.Duration(sim.rand.Int64N(int64(2*sim.configs[name].WorkerLease())))
		to := sim.controllerNames[sim.rand.IntN(len(sim.controllerNames))]
		sim.After(late, func() { sim.Deliver(to, "POST", api.PathHeartbeat, message.Caller{}, body, func(int, []byte) {}) })
	}
	transmit(func() {
		sim.SendHeartbeat(wk, name, body, func(status int, answer []byte) {
			transmit(func() {
				if wk.inboundCutUntil > sim.Now {
					return
				}
				if settled || wk.dead || wk.hungUntil > sim.Now {
					return
				}
				settled = true
				switch {
				case status == 200:
					wk.heartbeatPending = false
					wk.applyHeartbeatReply(answer, sent, incarnation)
				case status != 421 || !wk.followRedirect(answer):
					other()
				}
			})
		})
	})
}

// followRedirect turns to the controller that an answer names, and reports whether it names another.
func (wk *Worker) followRedirect(answer []byte) bool {
	var r api.Redirect
	wk.sim.must(json.Unmarshal(answer, &r))
	for i, name := range wk.sim.controllerNames {
		if name == string(r.Owner) && i != wk.controllerIndex {
			wk.controllerIndex, wk.heartbeatPending, wk.nextHeartbeat = i, false, 0
			return true
		}
	}
	return false
}

// applyHeartbeatReply carries out the answer to a report.
func (wk *Worker) applyHeartbeatReply(body []byte, sent time.Duration, incarnation api.Epoch) {
	var o api.CommandBatch
	wk.sim.must(json.Unmarshal(body, &o))
	if incarnation != wk.incarnation || o.Token < wk.fencingToken {
		return
	}
	wk.raiseToken(o.Token)
	wk.leaseStart = sent
	wk.executeOrders(o.Commands)
}

func (wk *Worker) raiseToken(t api.FencingToken) {
	if t > wk.fencingToken {
		wk.fencingToken, wk.statusChanged = t, true
	}
}

// handleCommands is the worker's direct interface.
func (wk *Worker) handleCommands(body []byte, answer func(int, []byte)) {
	if wk.dead || wk.inboundCutUntil > wk.sim.Now {
		return
	}
	if wk.commandsDelayedUntil > wk.sim.Now {
		wk.delayedCommands = append(wk.delayedCommands, func() { wk.handleCommands(body, answer) })
		return
	}
	if wk.hungUntil > wk.sim.Now {
		wk.heldCalls = append(wk.heldCalls, func() { wk.handleCommands(body, answer) })
		return
	}
	var o api.CommandBatch
	if json.Unmarshal(body, &o) != nil {
		answer(400, nil)
		return
	}
	status := 409
	if o.Token >= wk.fencingToken && o.Epoch == wk.incarnation {
		status = 200
		wk.raiseToken(o.Token)
		wk.executeOrders(o.Commands)
	}
	writeJSON(answer, status, wk.heartbeat())
}

func (wk *Worker) executeOrders(orders []api.Command) {
	for _, o := range orders {
		t := wk.tasks[o.Task][o.Attempt]
		switch o.Op {
		case api.OpStart:
			if t == nil {
				wk.launchTask(o)
			}
		case api.OpStop:
			if t != nil {
				wk.stopTask(t, api.Seconds(o.GracePeriod))
			}
		case api.OpReap:
			if t != nil && t.state == api.TaskExited {
				delete(wk.tasks[o.Task], o.Attempt)
			}
		}
	}
}

func (wk *Worker) launchTask(o api.Command) {
	id, err := api.ParseTaskID(o.Task)
	wk.sim.must(err)
	wk.sim.Checker.TaskStarting(wk.sim.Now, id, "is launched")
	t := &workerTask{worker: wk, id: id, name: o.Task, attempt: o.Attempt, state: api.TaskFetching}
	free := wk.capacity
	for _, x := range wk.allTasks() {
		if x.state != api.TaskExited {
			free = free.Minus(x.spec.Demand())
			if x.id == id {
				t.reason = api.ReasonBusy
			}
		}
	}
	if wk.tasks[o.Task] == nil {
		wk.tasks[o.Task] = map[api.Attempt]*workerTask{}
	}
	wk.tasks[o.Task][o.Attempt] = t
	wk.statusChanged = true
	t.spec = wk.sim.jobSpec(id.Job)
	switch {
	case t.spec == nil || id.Index >= t.spec.Tasks:
		t.reason = api.ReasonUnknown
	case t.reason == "" && !t.spec.Demand().Fits(free):
		t.reason = api.ReasonNoCapacity
	}
	if t.reason != "" {
		t.state = api.TaskExited
		return
	}
	fetch := 100 * time.Millisecond
	if !wk.images[t.spec.Image] {
		fetch = time.Second
	}
	wk.scheduleInState(t, fetch, api.TaskFetching, func() {
		wk.images[t.spec.Image] = true
		wk.startTask(t)
	})
}

// completeGang completes a gang: all its tasks together, or none while one of them
// is missing, saving or on a machine that hangs.
func (sim *Simulation) completeGang(g *gang, tasks int) {
	members := g.sortedTasks()
	if len(members) < tasks {
		return
	}
	for _, x := range members {
		if x.state != api.TaskRunning {
			return
		}
		if x.worker.hungUntil > sim.Now {
			sim.After(500*time.Millisecond, func() { sim.completeGang(g, tasks) })
			return
		}
	}
	for _, x := range members {
		x.worker.exitTask(x, api.ReasonDone)
	}
}

// scheduleInState does something to a task if it is still in the same state by then; a
// machine that hangs makes no progress.
func (wk *Worker) scheduleInState(t *workerTask, d time.Duration, requiredState api.TaskState, callback func()) {
	wk.sim.After(d, func() {
		if wk.dead || t.state != requiredState || wk.tasks[t.name][t.attempt] != t {
			return
		}
		if wk.hungUntil > wk.sim.Now {
			wk.scheduleInState(t, wk.hungUntil-wk.sim.Now+time.Millisecond, requiredState, callback)
			return
		}
		callback()
	})
}

func (wk *Worker) startTask(t *workerTask) {
	t.active = true
	wk.statusChanged = true
	wk.sim.Checker.TaskStarted(wk.sim.Now, t.id, t.spec, wk.id, wk.machineType, wk.zone, wk.spot)
	if wk.tasksFailUntil > wk.sim.Now {
		wk.exitTask(t, api.ReasonError)
		return
	}
	if t.spec.Kind != api.Gang {
		wk.runTask(t)
		return
	}
	t.state = api.TaskWaiting
	k := gangKey{t.id.Job, t.attempt}
	g := wk.sim.gangs[k]
	if g == nil {
		g = &gang{tasks: map[*workerTask]bool{}}
		wk.sim.gangs[k] = g
	}
	g.tasks[t] = true
	if len(g.tasks) == t.spec.Tasks {
		g.running = true
		for _, x := range g.sortedTasks() {
			wk.sim.Checker.TaskStarting(wk.sim.Now, x.id, "runs with its gang")
			x.worker.runTask(x)
		}
		wk.sim.After(wk.sim.Users.runTimes[t.id.Job]-wk.sim.savedProgress[t.id.Job], func() { wk.sim.completeGang(g, t.spec.Tasks) })
		return
	}
	wk.scheduleInState(t, api.Seconds(wk.sim.configs[wk.sim.controllerNames[0]].Deployment.Workers.GangWait), api.TaskWaiting, func() { wk.exitTask(t, api.ReasonGangIncomplete) })
}

func (wk *Worker) runTask(t *workerTask) {
	t.state, t.startedAt = api.TaskRunning, wk.sim.Now
	wk.statusChanged = true
	if t.spec.Kind == api.Service {
		return
	}
	if t.spec.Kind == api.Gang {
		return // the gang as a whole comes to its end
	}
	wk.scheduleInState(t, wk.sim.Users.runTimes[t.id.Job], api.TaskRunning, func() { wk.exitTask(t, api.ReasonDone) })
}

func (wk *Worker) stopTask(t *workerTask, grace time.Duration) {
	save := api.Seconds(t.spec.Save)
	switch {
	case t.state == api.TaskExited:
	case t.state == api.TaskRunning && t.spec.Checkpoint > 0 && grace >= save:
		t.state = api.TaskCheckpointing
		wk.statusChanged = true
		wk.scheduleInState(t, save, api.TaskCheckpointing, func() {
			t.saved = true
			wk.sim.savedProgress[t.id.Job] = max(wk.sim.savedProgress[t.id.Job], wk.sim.Now-t.startedAt-save)
			wk.exitTask(t, api.ReasonStopped)
		})
	case t.state == api.TaskCheckpointing && grace > 0:
	default:
		if t.state == api.TaskRunning {
			wk.sim.Checker.TaskStopped(wk.sim.Now, t.id, t.spec, wk.id)
		}
		wk.exitTask(t, api.ReasonStopped)
	}
}

// exitTask ends a task, and with it what its gang can no longer do.
func (wk *Worker) exitTask(t *workerTask, reason api.Reason) {
	t.state, t.reason = api.TaskExited, reason
	wk.statusChanged = true
	wk.releaseTask(t, reason == api.ReasonDone)
}

func (wk *Worker) releaseTask(t *workerTask, done bool) {
	if t.active {
		t.active = false
		wk.sim.Checker.TaskEnded(wk.sim.Now, t.id, wk.id, done)
		if done {
			wk.sim.Users.UserBehavior.taskCompleted(t.id.Job)
		}
		wk.sim.Tenants.taskEnded(t.id, wk.id)
	}
	k := gangKey{t.id.Job, t.attempt}
	g := wk.sim.gangs[k]
	if g == nil || !g.tasks[t] {
		return
	}
	delete(g.tasks, t)
	if !g.running {
		return
	}
	if !done {
		wk.sim.failGang(g)
	}
}

// failGang ends the rest of a running gang once it notices that a task is gone or
// its machine hangs.
func (sim *Simulation) failGang(g *gang) {
	for _, x := range g.sortedTasks() {
		x.worker.scheduleInState(x, api.Seconds(sim.configs[sim.controllerNames[0]].Deployment.Workers.GangPeer), api.TaskRunning, func() { x.worker.exitTask(x, api.ReasonGangPeersLost) })
	}
}

// forgetTask drops a task without a trace, as the lease's end does.
func (wk *Worker) forgetTask(t *workerTask) {
	if t.state != api.TaskExited {
		t.state = api.TaskExited
		wk.releaseTask(t, false)
	}
	delete(wk.tasks, t.name)
}

func ceilHalf(n int) int { return int(math.Ceil(float64(n) / 2)) }
