package main

import (
	"bytes"
	"strings"
	"time"
)

func init() { cases["history"] = history }

// history: in a hosted service, one tenant asks for a page of its history with an odd cursor. It must not
// be shown the jobs of another tenant.
func history(dir, record string) int {
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
	first, second := w.tenant("lopresti", "dispo"), w.tenant("kipper", "fuhrpark")
	if first == "" || second == "" {
		return w.finish("the tenants could not be added")
	}
	// Workers know a tenant's job by another id than its user does: they accept any.
	w.anyJob = &job{spec: spec("", "dispo", 1, 2, 6.5), run: time.Second, done: map[int]bool{}}
	j := spec("run-000777", "dispo", 1, 2, 6.5)
	j["mestiere"] = "payout"
	w.auth = first
	if w.submit(j, time.Second) != 201 {
		return w.finish("the job was not accepted")
	}
	own := ""
	for range 60 {
		time.Sleep(500 * time.Millisecond)
		if own = w.history(""); strings.Contains(own, "run-000777") {
			break
		}
	}
	if !strings.Contains(own, "run-000777") {
		return w.finish("the job is not in its tenant's history")
	}
	w.auth = second
	cursors := []string{"", "after=0000000000001"}
	if w.trouble {
		cursors = append(cursors, "after=0%26under=history%252Flopresti%252F")
	}
	for _, c := range cursors {
		if answer := w.history(c); strings.Contains(answer, "run-000777") || strings.Contains(answer, "payout") {
			w.breaks("tenant kipper is shown a job of tenant lopresti: %s", answer)
		}
	}
	return w.finish("")
}

// history asks for a page of the tenant's history.
func (w *world) history(query string) string {
	status, b := w.balanced("GET", "/v1/history?"+query, nil, 2*time.Second)
	w.note("user: GET /v1/history?%s: %d %s", query, status, bytes.TrimSpace(b))
	return string(b)
}
