package emulator

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// This file emulates tasks and gangs on workers.

type gangKey struct {
	job     api.JobID
	attempt api.Attempt
}

type gang struct {
	tasks   map[*workerTask]bool
	running bool
}

// sortedTasks returns the gang's tasks, sorted by index.
func (g *gang) sortedTasks() []*workerTask {
	out := slices.Collect(maps.Keys(g.tasks))
	slices.SortFunc(out, func(a, b *workerTask) int { return a.id.Index - b.id.Index })
	return out
}

type workerTask struct {
	worker       *Worker
	id           api.TaskID
	name         string // the task's name on the wire
	attempt      api.Attempt
	spec         *api.JobSpec
	state        api.TaskState
	reason       api.Reason
	checkpointed bool
	active       bool // its image is fetched and it has not ended
	startedAt    time.Duration
}

func (wk *Worker) executeCommands(commands []api.Command) {
	for _, o := range commands {
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

// completeGang ends all tasks of a gang as done, unless one is missing or not running, for example
// because it is being checkpointed. While a task's machine hangs, completeGang is retried.
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

// scheduleInState calls callback after the duration d if the task is then in requiredState. While the
// machine hangs, the call is postponed.
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
		wk.sim.After(wk.sim.Users.runTimes[t.id.Job]-wk.sim.checkpointProgress[t.id.Job], func() { wk.sim.completeGang(g, t.spec.Tasks) })
		return
	}
	wk.scheduleInState(t, api.Seconds(wk.sim.configs[wk.sim.controllerNames[0]].Deployment.Workers.GangStartTimeout), api.TaskWaiting, func() { wk.exitTask(t, api.ReasonGangIncomplete) })
}

func (wk *Worker) runTask(t *workerTask) {
	t.state, t.startedAt = api.TaskRunning, wk.sim.Now
	wk.statusChanged = true
	if t.spec.Kind == api.Service {
		return
	}
	if t.spec.Kind == api.Gang {
		return // the gang ends as a whole, see completeGang
	}
	wk.scheduleInState(t, wk.sim.Users.runTimes[t.id.Job], api.TaskRunning, func() { wk.exitTask(t, api.ReasonDone) })
}

func (wk *Worker) stopTask(t *workerTask, grace time.Duration) {
	saveTime := api.Seconds(t.spec.Save)
	switch {
	case t.state == api.TaskExited:
	case t.state == api.TaskRunning && t.spec.Checkpoint > 0 && grace >= saveTime:
		t.state = api.TaskCheckpointing
		wk.statusChanged = true
		wk.scheduleInState(t, saveTime, api.TaskCheckpointing, func() {
			t.checkpointed = true
			wk.sim.checkpointProgress[t.id.Job] = max(wk.sim.checkpointProgress[t.id.Job], wk.sim.Now-t.startedAt-saveTime)
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

// exitTask ends a task. A running gang fails unless its task is done.
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
			wk.sim.Users.taskCompleted(t.id.Job)
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

// failGang ends the remaining tasks of a gang after the timeout in which they detect the loss of
// a peer.
func (sim *Simulation) failGang(g *gang) {
	for _, x := range g.sortedTasks() {
		x.worker.scheduleInState(x, api.Seconds(sim.configs[sim.controllerNames[0]].Deployment.Workers.GangPeerTimeout), api.TaskRunning, func() { x.worker.exitTask(x, api.ReasonGangPeersLost) })
	}
}

// forgetTask removes a task without an exit status, for example on the expiry of the worker's lease.
func (wk *Worker) forgetTask(t *workerTask) {
	if t.state != api.TaskExited {
		t.state = api.TaskExited
		wk.releaseTask(t, false)
	}
	delete(wk.tasks, t.name)
}
