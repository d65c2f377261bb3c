package main

import (
	"sync"
	"time"
)

// watcher records where tasks are, and the starts of a task on one machine while it is on another.
type watcher struct {
	rec *record

	mu     sync.Mutex
	quiet  bool
	on     map[string]map[string]uint64 // task -> machine -> attempt
	starts map[string][]time.Time
	twice  []string
}

func newWatcher(rec *record) *watcher {
	return &watcher{rec: rec, on: map[string]map[string]uint64{}, starts: map[string][]time.Time{}}
}

func (v *watcher) started(machine, name string, attempt uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.quiet {
		v.rec.printf("machine %s: task %s attempt %d starts", machine, name, attempt)
	}
	for other, a := range v.on[name] {
		if other != machine {
			v.rec.printf("BROKEN ran_twice: task %s attempt %d starts on %s while attempt %d is on %s", name, attempt, machine, a, other)
			v.twice = append(v.twice, name)
		}
	}
	if v.on[name] == nil {
		v.on[name] = map[string]uint64{}
	}
	v.on[name][machine] = attempt
	v.starts[name] = append(v.starts[name], time.Now())
}

func (v *watcher) ended(machine, name string, attempt uint64, why string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.quiet {
		v.rec.printf("machine %s: task %s attempt %d is gone: %s", machine, name, attempt, why)
	}
	if v.on[name][machine] == attempt {
		delete(v.on[name], machine)
	}
}

func (v *watcher) startCount(name string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.starts[name])
}

func (v *watcher) isOn(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.on[name]) > 0
}

func (v *watcher) ranTwice() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.twice) > 0
}
