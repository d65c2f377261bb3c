package main

import "time"

func init() { cases["gang"] = gang }

// gang: a gang whose tasks all fit at once onto free machines, within its team's limit, must be run.
func gang(dir, record string) int {
	s := kippermulde()
	s.Capacity = map[string]int{"hof-nord": 16, "hof-sued": 16, "muenchen": 16}
	w := newWorld(s, dir, record, 3)
	for _, zone := range s.Zones {
		for range s.Capacity[zone] {
			w.addMachine("werk16", zone)
		}
	}
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	time.Sleep(5 * time.Second)
	tasks := 100
	if w.trouble {
		tasks = 130
	}
	j := spec("run-000001", "dispo", tasks, 2, 6.5)
	j["forma"] = "ensemble"
	if !w.accepts(j, 5*time.Second) {
		return w.finish("the job was not accepted")
	}
	for at := time.Now(); time.Since(at) < 95*time.Second; time.Sleep(5 * time.Second) {
		if w.poll("run-000001") == "done" {
			return w.finish("")
		}
	}
	w.mu.Lock()
	started := w.jobs["run-000001"].started
	w.mu.Unlock()
	w.breaks("an accepted gang of %d tasks was not run for 95 s, though all its tasks have room; %d tasks were started", tasks, started)
	return w.finish("")
}
