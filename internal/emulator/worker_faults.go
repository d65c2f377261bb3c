package emulator

import (
	"time"

	"basaltwall/api"
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
