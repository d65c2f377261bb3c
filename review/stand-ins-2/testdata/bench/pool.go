package main

import (
	"bytes"
	"os/exec"
	"time"
)

func init() { cases["pool"] = pool }

// pool: in a hosted service, a job takes units of a pool as a whole, of which its team has a guarantee.
// With more tasks than fit at once, some run while others wait. The job must be run, and no controller may
// end by itself.
func pool(dir, record string) int {
	s := kippermulde()
	s.Capacity = map[string]int{"hof-nord": 1, "hof-sued": 1, "muenchen": 1}
	w := newWorld(s, dir, record, 3)
	w.hosted()
	for _, zone := range s.Zones {
		w.addMachine("werk16", zone)
	}
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	if w.auth = w.tenant("kipper", "dispo"); w.auth == "" {
		return w.finish("the tenant could not be added")
	}
	out, err := exec.Command("target/basaltwall", "admin", "--addr", w.nodes[0].api, "--key-file", w.adminKey,
		"pool", "put", "routing", "--size", "4", "--unit", "licences", "--guarantee", "dispo=4").CombinedOutput()
	w.note("operator: pool put routing: %v %s", err, bytes.TrimSpace(out))
	if err != nil {
		return w.finish("the pool could not be added")
	}
	tasks := 1
	if w.trouble {
		tasks = 40
	}
	w.anyJob = &job{spec: spec("", "dispo", tasks, 2, 6.5), run: 5 * time.Second, done: map[int]bool{}}
	j := spec("run-000001", "dispo", tasks, 2, 6.5)
	j["gettoni"] = []object{{"nome": "routing", "a_lavoro": 1}}
	if !w.accepts(j, 5*time.Second) {
		return w.finish("the job was not accepted")
	}
	for at := time.Now(); time.Since(at) < 60*time.Second; time.Sleep(time.Second) {
		if w.poll("run-000001") == "done" {
			return w.finish("")
		}
		for _, c := range w.nodes {
			w.restartEnded(c)
		}
	}
	w.breaks("an accepted job of %d tasks was not done in 60 s", tasks)
	return w.finish("")
}

// restartEnded starts a controller that has ended by itself again, 3 s after its end.
func (w *world) restartEnded(c *controller) {
	w.mu.Lock()
	due := !c.endedAt.IsZero() && time.Since(c.endedAt) > 3*time.Second
	if due {
		c.endedAt = time.Time{}
	}
	w.mu.Unlock()
	if due {
		w.launch(c)
	}
}
