package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

var errAdmin = errors.New("the administration API refused")

// lopresti is a small deployment with the limits of the second site.
func lopresti() siteSettings {
	zones := []string{"palermo"}
	return siteSettings{
		limits: limits{rps: 200, writeRPS: 80, valueKB: 8, txnOps: 48},
		teams:  []object{{"name": "artigiani", "cpus": 400.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		report: 8, lease: 45, cancel: 65, cloudRPS: 6, listLag: 10, zones: zones, memoryMB: 234, cpuShare: 0.36, clockE: 5, fds: 3000,
		types: []machineType{{Name: "piccola4", Cores: 4, RAM: 16, Cache: 50, Fetch: 0.8, Price: 0.17, SpotPrice: 0.08, Ready: 15, Zones: zones}},
	}
}

// admin sends an operator's request until it is answered with 200, and returns the answer.
func (t *site) admin(key, method, path string, body object) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	var status int
	var answer []byte
	for range 20 {
		status, answer = t.do(t.pick(), method, "/admin/v1/"+path, key, data, 5*time.Second)
		if status == 200 {
			t.rec.printf("operator: %s %s %s -> 200", method, path, data)
			return answer, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s %s: %d %s: %w", method, path, status, answer, errAdmin)
}

func (t *site) tenantRevision(key, name string) (uint64, error) {
	answer, err := t.admin(key, "GET", "tenants/"+name, nil)
	if err != nil {
		return 0, err
	}
	var v struct {
		Revision uint64 `json:"revision"`
	}
	err = json.Unmarshal(answer, &v)
	return v.Revision, err
}

// resumeTenant suspends a tenant with pending jobs and resumes it when the machines are up.
func resumeTenant(rec *record, dir, runCommand string, trouble bool) (bool, error) {
	const (
		machines = 345
		jobCount = 345
		senders  = 24
		boot     = 9 * time.Second
		resumeAt = 19 * time.Second // after the start of the controllers
		waiting  = 92 * time.Second
	)
	s := lopresti()
	command, root, err := hostedCommand(runCommand, dir)
	if err != nil {
		return false, err
	}
	t, err := newSite(rec, dir, command, s)
	if err != nil {
		return false, err
	}
	defer t.close()
	t.watch.quiet = true
	t.jobs.other = &jobSpec{Cores: 4, RAM: 3.9, Image: "img-07", ImageGB: 0.1, Kind: "sweep", run: 3 * time.Second}
	t.cloud.capacity = machines
	t.cloud.rent = func(_, zone string) (*host, error) {
		return t.newHost(zone, s.types[0], time.Now(), boot+time.Duration(rand.IntN(int(boot/8))), true)
	}
	began := time.Now()
	for i := range t.apis {
		if err := t.startController(i); err != nil {
			return false, err
		}
	}
	if err := t.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	key, err := t.addTenant(root, "lopresti", "artigiani")
	if err != nil {
		return false, err
	}
	var revision uint64
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for k := range senders {
		wg.Go(func() {
			for n := k; n < jobCount; n += senders {
				err := t.submit(&jobSpec{Ref: fmt.Sprintf("run-%06d", 100+n), Class: "listini", Team: "artigiani", Kind: "sweep", Priority: "normal", Tasks: 1, Cores: 4, RAM: 3.9,
					Image: "img-07", ImageGB: 0.1, Estimate: 3}, key)
				mu.Lock()
				if err == nil {
					accepted++
				} else {
					rec.printf("%v", err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	rec.printf("users: %d of %d jobs are accepted", accepted, jobCount)
	if accepted < jobCount {
		return false, fmt.Errorf("%d jobs accepted after %v: %w", accepted, time.Since(began), errTimeout)
	}
	if trouble {
		if revision, err = t.tenantRevision(root, "lopresti"); err != nil {
			return false, err
		}
		if _, err := t.admin(root, "POST", "tenants/lopresti/suspend", object{"revision": revision, "why": "unpaid"}); err != nil {
			return false, err
		}
		time.Sleep(time.Until(began.Add(resumeAt)))
		rec.printf("machines with a token: %d, tasks started: %d", t.withToken(), t.startedTasks())
		if revision, err = t.tenantRevision(root, "lopresti"); err != nil {
			return false, err
		}
		if _, err := t.admin(root, "POST", "tenants/lopresti/resume", object{"revision": revision}); err != nil {
			return false, err
		}
	} else {
		time.Sleep(time.Until(began.Add(resumeAt)))
	}
	resumed := time.Now()
	for time.Since(resumed) < waiting {
		time.Sleep(5 * time.Second)
		rec.printf("%2.0f s after the resumption: %d of %d jobs have started, %d machines are idle", time.Since(resumed).Seconds(), t.startedTasks(), jobCount, t.idleMachines())
		if t.startedTasks() == jobCount {
			return false, nil
		}
	}
	return true, nil
}

func (t *site) startedTasks() int {
	t.watch.mu.Lock()
	defer t.watch.mu.Unlock()
	return len(t.watch.starts)
}

func (t *site) withToken() int {
	n := 0
	for _, w := range t.machines() {
		w.mu.Lock()
		if w.token > 0 {
			n++
		}
		w.mu.Unlock()
	}
	return n
}

func (t *site) idleMachines() int {
	n := 0
	for _, w := range t.machines() {
		w.mu.Lock()
		if w.ctx.Err() == nil && len(w.tasks) == 0 {
			n++
		}
		w.mu.Unlock()
	}
	return n
}
