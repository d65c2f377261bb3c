package main

import (
	"fmt"
	"time"
)

func init() { cases["large"] = large }

// large: jobs of many small tasks come three times as often. All tasks fit the machine; it must not lose
// them because its report has become larger than a request may be.
func large(dir, record string) int {
	s := kippermulde()
	s.Capacity = map[string]int{"hof-nord": 1}
	w := newWorld(s, dir, record, 3)
	w.addMachine("werk16", "hof-nord")
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	time.Sleep(4 * time.Second)
	jobs := 5
	if w.trouble {
		jobs *= 3
	}
	for i := range jobs {
		j := spec(fmt.Sprintf("run-%06d", i+1), "dispo", 100, 0.01, 0.04)
		j["forma"] = "ensemble"
		j["stima_s"] = 300.0
		if !w.accepts(j, 300*time.Second) {
			return w.finish("a job was not accepted")
		}
	}
	for at := time.Now(); time.Since(at) < 100*time.Second; time.Sleep(5 * time.Second) {
		w.poll("run-000001")
		w.mu.Lock()
		for _, m := range w.machines {
			w.note("%s: %d tasks, largest report %d bytes, %d reports refused, session %d", m.id, len(m.tasks), m.large, m.refused, m.turno)
			if m.turno > 1 && m.refused > 0 {
				w.breaks("%s lost all its tasks: its lease ran out after %d of its reports were refused, the largest of %d bytes", m.id, m.refused, m.large)
			}
		}
		broken := len(w.broken) > 0
		w.mu.Unlock()
		if broken {
			break
		}
	}
	return w.finish("")
}
