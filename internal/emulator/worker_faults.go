package emulator

import (
	"time"

	"basaltwall/api"
)

// This file injects faults into machines.

// Kill makes a machine fail silently; the cloud's list shows it as running for a while.
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

// DelayCommands delays direct commands to a machine for a while, though its heartbeats
// and their answers pass.
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

// CutInbound cuts off what a machine receives: its heartbeats arrive, answers and direct commands to it
// are lost.
func (sim *Simulation) CutInbound(id api.MachineID, length time.Duration) {
	if wk := sim.workers[id]; wk != nil {
		wk.inboundCutUntil = sim.Now + length
		sim.Checker.FaultUntil(wk.inboundCutUntil)
	}
}

// CutOutbound cuts off what a machine sends: it reaches no controller, while direct commands reach it.
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
