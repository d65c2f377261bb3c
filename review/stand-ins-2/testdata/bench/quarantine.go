package main

import (
	"fmt"
	"time"
)

func init() { cases["quarantine"] = quarantine }

// quarantine: two machines are sick for a while. Once they are well again, a new job must not be left
// waiting for 90 s while they have room.
func quarantine(dir, record string) int {
	s := kippermulde()
	s.Capacity = map[string]int{"hof-nord": 2, "hof-sued": 2, "muenchen": 2}
	w := newWorld(s, dir, record, 3)
	var nord []*machine
	for _, zone := range s.Zones {
		for range s.Capacity[zone] {
			m := w.addMachine("werk16", zone)
			if zone == "hof-nord" {
				nord = append(nord, m)
			}
		}
	}
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	// The portal fills the machines of two zones and runs on those of the third.
	replicas := 0
	for zone, n := range map[string]int{"hof-nord": 10, "hof-sued": 16, "muenchen": 16} {
		for range n {
			j := spec(fmt.Sprintf("run-%06d", 900000+replicas), "dispo", 1, 2, 6.2)
			j["mestiere"], j["forma"], j["urgenza"], j["stima_s"], j["stampo"], j["cortile"] = "portal", "daemon", "critical", 0.0, "img-07", zone
			if !w.accepts(j, 0) {
				return w.finish("a replica was not accepted")
			}
			replicas++
		}
	}
	if !w.runs(replicas) {
		return w.finish("the portal's replicas do not run")
	}
	if w.trouble {
		w.sick(nord, true)
	}
	for i := range 2 {
		if !w.accepts(spec(fmt.Sprintf("run-%06d", i+1), "fuhrpark", 6, 2, 6.5), 3*time.Second) {
			return w.finish("a job was not accepted")
		}
	}
	time.Sleep(12 * time.Second)
	w.sick(nord, false)
	over := time.Now()
	if !w.accepts(spec("run-000003", "fuhrpark", 1, 2, 6.5), 3*time.Second) {
		return w.finish("the job was not accepted")
	}
	for time.Since(over) < 92*time.Second {
		if w.poll("run-000003") == "done" {
			return w.finish("")
		}
		time.Sleep(5 * time.Second)
	}
	w.mu.Lock()
	started := w.jobs["run-000003"].started
	w.mu.Unlock()
	w.breaks("a job submitted after the trouble was left waiting for 90 s, though two machines have room; it started %d times", started)
	return w.finish("")
}

// sick makes machines fail every task that they start, or ends this.
func (w *world) sick(machines []*machine, sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range machines {
		m.sick = sick
		w.note("%s is sick: %v", m.id, sick)
	}
}
