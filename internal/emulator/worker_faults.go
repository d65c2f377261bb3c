package emulator

import (
	"time"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// This file injects faults into machines.

// Kill makes a machine fail. The cloud lists it as running for a while, and then as failed.
func (sim *Simulation) Kill(id api.MachineID) {
	if h := sim.Cloud.instances[id]; h != nil {
		sim.After(30*time.Second, func() { h.State = api.MachineFailed })
	}
	sim.killWorker(id)
}

// Hang suspends a machine for the given time: its tasks make no progress, and direct commands to it are held.
func (sim *Simulation) Hang(id api.MachineID, length time.Duration) {
	wk := sim.workers[id]
	if wk == nil {
		return
	}
	wk.hungUntil = sim.Now + length
	sim.Checker.RecordFaultUntil(wk.hungUntil)
	for _, t := range wk.allTasks() {
		if g := sim.gangs[gangKey{t.id.Job, t.attempt}]; g != nil && g.running && g.tasks[t] &&
			length > api.Seconds(sim.configs[sim.controllerNames[0]].Deployment.Workers.GangPeerTimeout) {
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

// DelayCommands holds direct commands to a machine for the given time, while its heartbeats
// and their responses are delivered.
func (sim *Simulation) DelayCommands(id api.MachineID, length time.Duration) {
	wk := sim.workers[id]
	if wk == nil {
		return
	}
	wk.commandsDelayedUntil = sim.Now + length
	sim.Checker.RecordFaultUntil(wk.commandsDelayedUntil)
	sim.After(length, func() {
		delayed := wk.delayedCommands
		wk.delayedCommands = nil
		for _, callback := range delayed {
			callback()
		}
	})
}

// lateReplyDelay is the delay of replies to heartbeats by DelayReplies. With the latency it is below the time for
// which a worker waits for a reply.
const lateReplyDelay = 3200 * time.Millisecond

// DelayReplies delays the replies to a machine's heartbeats for the given time, while direct commands are delivered
// at once.
func (sim *Simulation) DelayReplies(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.repliesDelayedUntil = sim.Now + length
		sim.Checker.RecordFaultUntil(wk.repliesDelayedUntil + lateReplyDelay)
	}
}

// lateLaunchFailureDelay is the time after which a task fails whose launch is in a late reply; by then a direct call
// has started it.
const lateLaunchFailureDelay = 400 * time.Millisecond

// failLateLaunch makes a task fail that a direct call starts while its launch is also in a late reply: with
// FailLateLaunches one on each machine, of a job of which none has failed.
func (wk *Worker) failLateLaunch(reply []byte) {
	var batch api.CommandBatch
	if !wk.sim.FailLateLaunches || wk.lateLaunchFailed || exactjson.Decode(reply, &batch) != nil {
		return
	}
	for _, command := range batch.Commands {
		id, err := api.ParseTaskID(command.Task)
		if command.Op != api.OpStart || err != nil || wk.sim.lateLaunchJobs[id.Job] {
			continue
		}
		wk.sim.After(lateLaunchFailureDelay, func() {
			t := wk.tasks[command.Task][command.Attempt]
			if t == nil || t.state != api.TaskRunning || wk.lateLaunchFailed || wk.sim.lateLaunchJobs[id.Job] {
				return
			}
			wk.lateLaunchFailed, wk.sim.lateLaunchJobs[id.Job] = true, true
			wk.exitTask(t, api.ReasonError)
		})
	}
}

// CutInbound drops packets to a machine for the given time: its heartbeats arrive, but their responses and direct
// commands are lost.
func (sim *Simulation) CutInbound(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.inboundCutUntil = sim.Now + length
		sim.Checker.RecordFaultUntil(wk.inboundCutUntil)
	}
}

// CutOutbound drops a machine's heartbeats for the given time, while direct commands still reach it.
func (sim *Simulation) CutOutbound(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.outboundCutUntil = sim.Now + length
		sim.Checker.RecordFaultUntil(wk.outboundCutUntil)
	}
}

// FailTasks makes all tasks fail that a machine starts within the given time.
func (sim *Simulation) FailTasks(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.tasksFailUntil = sim.Now + length
		sim.Checker.RecordFaultUntil(wk.tasksFailUntil)
	}
}
