package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// werk16 is the machine type of a small deployment.
func werk16(zones []string) machineType {
	return machineType{Name: "werk16", Cores: 16, RAM: 64, Cache: 30, Fetch: 0.6, Price: 0.66, SpotPrice: 0.21, Ready: 50, Zones: zones}
}

func kippermulde() siteSettings {
	zones := []string{"hof-nord", "hof-sued", "muenchen"}
	return siteSettings{
		limits: limits{rps: 150, writeRPS: 50, valueKB: 8, txnOps: 12},
		teams:  []object{{"name": "dispo", "cpus": 192.0, "cpus_max": 680.0, "gpus": 0.0, "gpus_max": 0.0}},
		report: 3, lease: 31, cancel: 61, cloudRPS: 10, listLag: 5, zones: zones, memoryMB: 342, cpuShare: 0.36, clockE: 250, fds: 2000,
		types: []machineType{werk16(zones)},
	}
}

// heldAnswers are the answers to reports that are on their way late, and the launches that they carry.
type heldAnswers struct {
	mu       sync.Mutex
	launches map[string]map[attemptKey]bool // by machine
	failed   map[string]bool                // machines on which a task failed
	jobs     map[string]bool                // jobs of which a task failed
}

// lateAnswer delays answers to reports: a packet of the answer is lost and sent again, so that the answer arrives
// within the 4 s for which a worker waits. Meanwhile a task of which the answer carries the launch fails on its machine.
func lateAnswer(rec *record, dir, runCommand string, trouble bool) (bool, error) {
	const (
		machines = 6
		arrays   = 6
		tasks    = 40
		latency  = 60 * time.Millisecond
		late     = 3200 * time.Millisecond // with twice the latency below the 4 s
		play     = 60 * time.Second
	)
	s := kippermulde()
	t, err := newSite(rec, dir, runCommand, s)
	if err != nil {
		return false, err
	}
	defer t.close()
	held := &heldAnswers{launches: map[string]map[attemptKey]bool{}, failed: map[string]bool{}, jobs: map[string]bool{}}
	t.shared.network.latency = func(*worker) time.Duration { return latency }
	t.shared.network.answer = func(w *worker, body []byte) time.Duration {
		var b batch
		if json.Unmarshal(body, &b) != nil {
			return 0
		}
		launches := map[attemptKey]bool{}
		for _, c := range b.Commands {
			if c.Op == "launch" {
				launches[attemptKey{c.Task, c.Attempt}] = true
			}
		}
		if len(launches) == 0 {
			return 0
		}
		held.mu.Lock()
		defer held.mu.Unlock()
		if len(held.launches) > 0 {
			return 0 // one answer at a time
		}
		held.launches[w.ref] = launches
		time.AfterFunc(late, func() {
			held.mu.Lock()
			defer held.mu.Unlock()
			delete(held.launches, w.ref)
		})
		if !trouble {
			return 0
		}
		rec.printf("network: an answer to a report of %s with %d launches is %v late: %s", w.ref, len(launches), late, body)
		return late
	}
	t.shared.failsAfter = 150 * time.Millisecond
	t.shared.fails = func(w *worker, x *task) bool {
		held.mu.Lock()
		defer held.mu.Unlock()
		job := x.spec.Ref
		if !held.launches[w.ref][attemptKey{x.name, x.attempt}] || held.failed[w.ref] || held.jobs[job] {
			return false
		}
		held.failed[w.ref], held.jobs[job] = true, true
		return true
	}
	for n := range machines {
		if err := t.addMachine(s.zones[n%3], s.types[0], 0, false); err != nil {
			return false, err
		}
	}
	for i := range t.apis {
		if err := t.startController(i); err != nil {
			return false, err
		}
	}
	if err := t.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(play)
	for n := 0; time.Now().Before(end) && !t.watch.ranTwice(); n++ {
		err := t.submit(&jobSpec{Ref: fmt.Sprintf("run-%06d", 100+n), Class: "touren", Team: "dispo", Kind: "sweep", Priority: "normal", Tasks: tasks, Cores: 1, RAM: 2,
			Image: "img-07", ImageGB: 0.1, Estimate: 3, run: 3 * time.Second}, "")
		if err != nil {
			return false, err
		}
		if n >= arrays {
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return t.watch.ranTwice(), nil
}
