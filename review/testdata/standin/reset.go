package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// resetCommand interrupts one connection between a controller and a machine: a direct command is held back, and the
// controller's side of the connection is reset. The command arrives ten seconds later. Meanwhile it was sent again, and
// the task has failed on that machine and runs on another one.
func resetCommand(rec *record, dir, runCommand string, trouble bool) (bool, error) {
	const (
		machines = 9
		held     = 10 * time.Second
		ref      = "run-000200"
	)
	s := kippermulde()
	t, err := newSite(rec, dir, runCommand, s)
	if err != nil {
		return false, err
	}
	defer t.close()
	var mu sync.Mutex
	first := "" // the machine on which the task starts first
	t.shared.network.command = func(w *worker, body []byte) fate {
		var b batch
		if json.Unmarshal(body, &b) != nil {
			return fate{}
		}
		mu.Lock()
		defer mu.Unlock()
		for _, c := range b.Commands {
			if first == "" && c.Op == "launch" && c.Task == ref+"/0" {
				first = w.ref
				if !trouble {
					return fate{}
				}
				rec.printf("network: a command to %s is held back for %v, the connection is reset: %s", w.ref, held, body)
				return fate{reset: true, late: held}
			}
		}
		return fate{}
	}
	t.shared.failsAfter = 500 * time.Millisecond
	t.shared.fails = func(w *worker, x *task) bool {
		mu.Lock()
		defer mu.Unlock()
		return w.ref == first && strings.HasPrefix(x.name, ref+"/")
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
	job := func(ref string, tasks int, run time.Duration) error {
		return t.submit(&jobSpec{Ref: ref, Class: "touren", Team: "dispo", Kind: "sweep", Priority: "normal", Tasks: tasks, Cores: 1, RAM: 2,
			Image: "img-07", ImageGB: 0.1, Estimate: run.Seconds(), run: run}, "")
	}
	// The machines are in use, and the controllers have open connections to them.
	if err := job("run-000100", 8*machines, 40*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if err := job(ref, 1, 40*time.Second); err != nil {
		return false, err
	}
	for n := 0; t.watch.startCount(ref+"/0") < 2; n++ {
		if n == 400 {
			return false, fmt.Errorf("second start of %s: %w", ref, errTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(held + 4*time.Second)
	return t.watch.ranTwice(), nil
}
