package emulator

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/controller/pools"
	"basaltwall/internal/invariant"
	"basaltwall/tenant"
)

// poolLedger is what is held of pools: by starts that were recorded, until their task has left
// the machine or can't come to be on it any more, and by tasks on machines. It shares no
// code with the controllers' counts. Rule pool: a start that takes units is recorded only
// while all that is held, it included, is within the size in force. Who held units before
// a pool was made smaller may keep them.
type poolLedger struct {
	starts  map[api.TaskID]api.MachineID // recorded, and neither their end nor the task's
	MaxHeld map[api.PoolName]int
}

// taskEnded notes that a task has left a machine.
func (t *Tenants) taskEnded(id api.TaskID, m api.MachineID) {
	if t != nil && t.poolLedger.starts[id] == m {
		delete(t.poolLedger.starts, id)
	}
}

// countHeldUnits counts what is held of a pool by the record or in truth.
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

// holdsUnits reports whether a task of a job holds units, and with it the job what it takes for
// itself.
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

// checkPoolSizes compares the starts of a round that was just written with the sizes in force. started has the
// jobs with starts, and whether the job held nothing before. A further task of a job that takes
// units for itself alone takes none.
func (t *Tenants) checkPoolSizes(started map[api.JobID]bool) {
	pools := map[api.PoolName]bool{}
	for job, first := range started {
		if s := t.sim.Users.specs[job]; s != nil {
			for _, need := range s.Needs {
				if need.Task > 0 || first {
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
			t.sim.must(json.Unmarshal(e.value, &p))
		}
		held := t.countHeldUnits(name)
		t.poolLedger.MaxHeld[name] = max(t.poolLedger.MaxHeld[name], held)
		if held > p.Size || p.State != "active" {
			t.sim.Checker.RecordViolation(t.sim.Now, invariant.RulePool, "%d units of %s are held as more are handed out, which is %q with %d", held, name, p.State, p.Size)
		}
	}
}

// UpdatePool makes a pool or changes it as change says of what it is, until that is answered
// with 200.
func (t *Tenants) UpdatePool(name api.PoolName, change func(*pools.View)) {
	t.enqueueChange(tenant.Name("pool "+name), func(done func()) { t.tryUpdatePool(name, change, done) })
}

func (t *Tenants) tryUpdatePool(name api.PoolName, change func(*pools.View), done func()) {
	retry := func() { t.sim.After(t.sim.latency()*200, func() { t.tryUpdatePool(name, change, done) }) }
	t.adminRequest("pool", tenant.Name(name), nil, func(status int, b []byte) {
		var at pools.View
		switch status {
		case 200:
			t.sim.must(json.Unmarshal(b, &at))
		case 404:
		default:
			retry()
			return
		}
		change(&at)
		t.adminRequest("pool-put", tenant.Name(name), map[string]any{"revision": at.Revision, "size": at.Size, "largest": max(at.Size, at.Largest),
			"reclaim": at.Reclaim, "guaranteed": at.Guaranteed}, func(status int, _ []byte) {
			if status != 200 {
				retry()
				return
			}
			done()
		})
	})
}

// Utilization measures the share of a pool's size that is held on average between two times, sampled
// each second; what it returns is known once they have passed.
func (t *Tenants) Utilization(name api.PoolName, from, to time.Duration) func() float64 {
	sum, samples := 0.0, 0
	var sample func()
	sample = func() {
		var p struct {
			Size int `json:"size"`
		}
		t.sim.must(json.Unmarshal(t.sim.Store.entries["b/pool/"+string(name)].value, &p))
		sum += float64(t.countHeldUnits(name)) / float64(max(1, p.Size))
		if samples++; t.sim.Now+time.Second <= to {
			t.sim.After(time.Second, sample)
		}
	}
	t.sim.After(from, sample)
	return func() float64 { return sum / float64(max(1, samples)) }
}

// HeldUnits is what is held of a pool, and the most that ever was.
func (t *Tenants) HeldUnits(name api.PoolName) (now, most int) {
	return t.countHeldUnits(name), t.poolLedger.MaxHeld[name]
}
