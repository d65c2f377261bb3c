package emulator

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/pools"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/invariant"
	"basaltwall/tenant"
)

// poolLedger tracks recorded starts, whose tasks hold units of pools until they end. It shares no code
// with the controllers' counts. Rule pool: when a start that takes units is written, all held units,
// including its own, must be within the pool's size. Units that are held when a pool shrinks stay held.
type poolLedger struct {
	starts  map[api.TaskID]api.MachineID // recorded starts whose tasks have not ended
	MaxHeld map[api.PoolName]int
}

// taskEnded removes the start of a task that has ended on a machine.
func (t *Tenants) taskEnded(id api.TaskID, m api.MachineID) {
	if t != nil && t.poolLedger.starts[id] == m {
		delete(t.poolLedger.starts, id)
	}
}

// countHeldUnits returns the units of a pool that are held by recorded starts or by tasks on machines.
func (t *Tenants) countHeldUnits(name api.PoolName) int {
	tasks := map[api.TaskID]bool{}
	for id, m := range t.poolLedger.starts {
		if t.sim.workers[m] != nil {
			tasks[id] = true
		}
	}
	for id := range t.sim.Checker.RunningTaskIDs() {
		tasks[id] = true
	}
	sum, jobs := 0, map[api.JobID]bool{}
	for id := range tasks {
		s := t.sim.Users.specs[id.Job]
		if s == nil {
			continue
		}
		for _, need := range s.Needs {
			if need.Pool != name {
				continue
			}
			sum += need.Task
			if !jobs[id.Job] {
				jobs[id.Job] = true
				sum += need.Job
			}
		}
	}
	return sum
}

// holdsUnits reports whether a job has a recorded start or a task on a machine, and so holds its units
// per job.
func (t *Tenants) holdsUnits(job api.JobID) bool {
	for id, m := range t.poolLedger.starts {
		if id.Job == job && t.sim.workers[m] != nil {
			return true
		}
	}
	for id := range t.sim.Checker.RunningTaskIDs() {
		if id.Job == job {
			return true
		}
	}
	return false
}

// checkPoolSizes checks the pools of the jobs with starts in a round that is being written. started maps
// each of these jobs to whether it held no units before; only then does it take its units per job.
func (t *Tenants) checkPoolSizes(started map[api.JobID]bool) {
	pools := map[api.PoolName]bool{}
	for job, newHolder := range started {
		if s := t.sim.Users.specs[job]; s != nil {
			for _, need := range s.Needs {
				if need.Task > 0 || newHolder {
					pools[need.Pool] = true
				}
			}
		}
	}
	for name := range pools {
		var p struct {
			Size  int    `json:"size"`
			State string `json:"state"`
		}
		e, known := t.sim.Store.entries["b/pool/"+string(name)]
		if known {
			t.sim.must(exactjson.Decode(e.value, &p))
		}
		held := t.countHeldUnits(name)
		t.poolLedger.MaxHeld[name] = max(t.poolLedger.MaxHeld[name], held)
		if held > p.Size || p.State != "active" {
			t.sim.Checker.RecordViolation(t.sim.Now, invariant.RulePoolSize, "%d units of pool %s are held after a start, but its state is %q and its size %d", held, name, p.State, p.Size)
		}
	}
}

// UpdatePool creates a pool or applies change to its current settings, and retries until the response
// is 200.
func (t *Tenants) UpdatePool(name api.PoolName, change func(*pools.View)) {
	t.enqueueChange(tenant.Name("pool "+name), func(done func()) { t.tryUpdatePool(name, change, done) })
}

func (t *Tenants) tryUpdatePool(name api.PoolName, change func(*pools.View), done func()) {
	retry := func() { t.sim.After(t.sim.latency()*200, func() { t.tryUpdatePool(name, change, done) }) }
	t.adminRequest("pool", tenant.Name(name), nil, func(status int, b []byte) {
		var at pools.View
		switch status {
		case 200:
			t.sim.must(exactjson.Decode(b, &at))
		case 404:
		default:
			retry()
			return
		}
		change(&at)
		t.adminRequest("pool-put", tenant.Name(name), map[string]any{"revision": at.Revision, "size": at.Size, "largest": max(at.Size, at.MaxSize),
			"reclaim": at.Reclaim, "guaranteed": at.Guaranteed}, func(status int, _ []byte) {
			if status != 200 {
				retry()
				return
			}
			done()
		})
	})
}

// MeasurePoolUtilization samples the held share of a pool's size each second between two times. The returned
// function gives the mean of the samples so far.
func (t *Tenants) MeasurePoolUtilization(name api.PoolName, from, to time.Duration) func() float64 {
	sum, samples := 0.0, 0
	var sample func()
	sample = func() {
		var p struct {
			Size int `json:"size"`
		}
		t.sim.must(exactjson.Decode(t.sim.Store.entries["b/pool/"+string(name)].value, &p))
		sum += float64(t.countHeldUnits(name)) / float64(max(1, p.Size))
		if samples++; t.sim.Now+time.Second <= to {
			t.sim.After(time.Second, sample)
		}
	}
	t.sim.After(from, sample)
	return func() float64 { return sum / float64(max(1, samples)) }
}

// HeldPoolUnits returns the number of units of a pool that are held now, and the peak after any start.
func (t *Tenants) HeldPoolUnits(name api.PoolName) (now, peak int) {
	return t.countHeldUnits(name), t.poolLedger.MaxHeld[name]
}
