package emulator

import (
	"container/heap"
	"time"
)

// This file implements the simulation's event queue, ordered by virtual time.

type event struct {
	at       time.Duration
	seq      int
	callback func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// After schedules callback after the duration d of virtual time.
func (sim *Simulation) After(d time.Duration, callback func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.Now + d, sim.seq, callback})
}

// Run processes the events up to the given virtual time.
func (sim *Simulation) Run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.Now = e.at
		e.callback()
	}
	sim.Now = until
}
