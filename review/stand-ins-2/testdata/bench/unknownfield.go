package main

import (
	"bytes"
	"encoding/json"
	"time"
)

func init() { cases["unknownfield"] = unknownField }

// unknownField: a submission has a field that the protocol does not know. It must be ignored.
func unknownField(dir, record string) int {
	s := kippermulde()
	s.Capacity = map[string]int{"hof-nord": 1, "hof-sued": 1, "muenchen": 1}
	w := newWorld(s, dir, record, 3)
	for _, zone := range s.Zones {
		w.addMachine("werk16", zone)
	}
	if !w.startAll() {
		return w.finish("the controllers are not ready")
	}
	j := spec("run-000001", "dispo", 2, 2, 6.5)
	w.mu.Lock()
	w.jobs["run-000001"] = &job{spec: j, run: time.Second, done: map[int]bool{}, submitted: true}
	w.mu.Unlock()
	body, _ := json.Marshal(j)
	if w.trouble {
		body = bytes.Replace(body, []byte("}"), []byte(`,"PEZZI":5}`), 1)
	}
	status, answer := w.balanced("POST", "/v1/jobs", body, 5*time.Second)
	w.note("user: submit %s: %d %s", body, status, bytes.TrimSpace(answer))
	if status != 201 {
		return w.finish("the job was not accepted")
	}
	for at := time.Now(); time.Since(at) < 30*time.Second; time.Sleep(2 * time.Second) {
		if w.poll("run-000001") == "done" {
			return w.finish("")
		}
	}
	w.breaks("a job of 2 tasks is not done 30 s after its acceptance, because of a field that must be ignored")
	return w.finish("")
}
