package main

import (
	"fmt"
	"time"
)

func init() { cases["excluded"] = excluded }

// excluded: a job bound to one zone fails on that zone's machine, which is sick for a while. Once the
// machine is well again, the job must run.
func excluded(dir, record string) int {
	s := kippermulde()
	s.Capacity = map[string]int{"hof-nord": 1, "hof-sued": 12, "muenchen": 12}
	w := newWorld(s, dir, record, 3)
	var nord *machine
	for _, zone := range s.Zones {
		for range s.Capacity[zone] {
			m := w.addMachine("werk16", zone)
			if zone == "hof-nord" {
				nord = m
			}
		}
	}
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	if !w.portals(43) {
		return w.finish("the portal's replicas do not run")
	}
	if w.trouble {
		w.mu.Lock()
		nord.sick = true
		w.mu.Unlock()
		w.note("trouble: %s fails every task that it starts", nord.id)
	}
	j := spec("run-000001", "fuhrpark", 1, 2, 6.5)
	j["cortile"] = "hof-nord"
	if !w.accepts(j, 5*time.Second) {
		return w.finish("the job was not accepted")
	}
	time.Sleep(7 * time.Second)
	w.mu.Lock()
	nord.sick = false
	w.mu.Unlock()
	w.note("trouble over: %s is well", nord.id)
	over := time.Now()
	for time.Since(over) < 90*time.Second {
		if w.poll("run-000001") == "done" {
			return w.finish("")
		}
		time.Sleep(5 * time.Second)
	}
	w.mu.Lock()
	started, stays := w.jobs["run-000001"].started, nord.state == "running"
	w.mu.Unlock()
	if !stays {
		return w.finish("the machine was deleted")
	}
	w.breaks("%s", fmt.Sprintf("the job was left waiting for 90 s after the trouble, though its machine has room; it started %d times in all", started))
	return w.finish("")
}
