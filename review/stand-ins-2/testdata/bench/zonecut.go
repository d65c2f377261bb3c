package main

import (
	"fmt"
	"time"
)

func init() { cases["zonecut"] = zonecut }

// zonecut: three gangs complete while their zone is cut off. The cut ends when the leases of some of
// the machines have run out and those of others have not. All jobs must be done.
func zonecut(dir, record string) int {
	const gangs, tasks = 3, 4
	s := lopresti()
	s.Capacity = map[string]int{"roma-nuvola": tasks * gangs}
	w := newWorld(s, dir, record, 3)
	for range tasks * gangs {
		w.addMachine("visione24", "roma-nuvola")
	}
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	time.Sleep(4 * time.Second)
	for i := range gangs {
		j := spec(fmt.Sprintf("run-%06d", i+1), "artigiani", tasks, 21, 77)
		j["mestiere"], j["forma"], j["urgenza"], j["gpus"], j["together"] = "riconoscimento", "ensemble", "high", 2.0, true
		j["stima_s"], j["tappa_s"], j["salvo_s"] = 35.0, 15.0, 2.0
		if !w.accepts(j, 30*time.Second) {
			return w.finish("a job was not accepted")
		}
	}
	if !w.runs(tasks * gangs) {
		return w.finish("the gangs do not run")
	}
	time.Sleep(18 * time.Second)
	if w.trouble {
		w.cut("roma-nuvola")
	}
	time.Sleep(42 * time.Second)
	w.cut("")
	open := map[string]string{}
	for at := time.Now(); time.Since(at) < 38*time.Second; time.Sleep(5 * time.Second) {
		clear(open)
		for i := range gangs {
			ref := fmt.Sprintf("run-%06d", i+1)
			if state := w.poll(ref); state != "done" {
				open[ref] = state
			}
		}
		if len(open) == 0 {
			return w.finish("")
		}
	}
	w.mu.Lock()
	for ref, state := range open {
		if len(w.jobs[ref].done) == tasks {
			w.breaks("all tasks of %s have completed, but 38 s after the cut it is %q", ref, state)
		}
	}
	w.mu.Unlock()
	return w.finish("")
}

// cut cuts a zone off, or ends the cut.
func (w *world) cut(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutZone = zone
	w.note("zone cut off: %q", zone)
}
