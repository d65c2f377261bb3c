package standin

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/control"
	"basaltwall/tenant"
)

// ledger is what is held of pools: by starts that were recorded, until their task has left
// the machine or can't come to be on it any more, and by tasks on machines. It shares no
// code with the controllers' counts. Rule pool: a start that takes units is recorded only
// while all that is held, it included, is within the size in force. Who held units before
// a pool was made smaller may keep them.
type ledger struct {
	starts map[api.TaskID]api.MachineID // recorded, and neither their end nor the task's
	Most   map[api.PoolName]int
}

// ended notes that a task has left a machine.
func (t *Tenants) ended(id api.TaskID, m api.MachineID) {
	if t != nil && t.ledger.starts[id] == m {
		delete(t.ledger.starts, id)
	}
}

// heldOf counts what is held of a pool by the record or in truth.
func (t *Tenants) heldOf(name api.PoolName) int {
	tasks := map[api.TaskID]bool{}
	for id, m := range t.ledger.starts {
		if t.w.workers[m] != nil {
			tasks[id] = true
		}
	}
	for id, hosts := range t.w.Check.on {
		if len(hosts) > 0 {
			tasks[id] = true
		}
	}
	sum, jobs := 0, map[api.JobRef]bool{}
	for id := range tasks {
		s := t.w.Users.specs[id.Job]
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

// holds reports whether a task of a job holds units, and with it the job what it takes for
// itself.
func (t *Tenants) holds(job api.JobRef) bool {
	for id, m := range t.ledger.starts {
		if id.Job == job && t.w.workers[m] != nil {
			return true
		}
	}
	for id, hosts := range t.w.Check.on {
		if id.Job == job && len(hosts) > 0 {
			return true
		}
	}
	return false
}

// checkPools holds the starts of a round that was just taken in against the sizes in force:
// those of jobs, and whether the job held nothing before. A further task of a job that takes
// units for itself alone takes none.
func (t *Tenants) checkPools(started map[api.JobRef]bool) {
	pools := map[api.PoolName]bool{}
	for job, first := range started {
		if s := t.w.Users.specs[job]; s != nil {
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
		e, known := t.w.State.keys["b/pool/"+string(name)]
		if known {
			t.w.must(json.Unmarshal(e.value, &p))
		}
		held := t.heldOf(name)
		t.ledger.Most[name] = max(t.ledger.Most[name], held)
		if held > p.Size || p.State != "active" {
			t.w.Check.broke(t.w.Now, "pool", "%d units of %s are held as more are handed out, which is %q with %d", held, name, p.State, p.Size)
		}
	}
}

// Pool makes a pool or changes it as change says of what it is, until that is answered
// with 200.
func (t *Tenants) Pool(name api.PoolName, change func(*control.PoolView)) {
	t.inOrder(tenant.Name("pool "+name), func(done func()) { t.putPool(name, change, done) })
}

func (t *Tenants) putPool(name api.PoolName, change func(*control.PoolView), done func()) {
	again := func() { t.w.After(t.w.latency()*200, func() { t.putPool(name, change, done) }) }
	t.act("pool", tenant.Name(name), nil, func(status int, b []byte) {
		var at control.PoolView
		switch status {
		case 200:
			t.w.must(json.Unmarshal(b, &at))
		case 404:
		default:
			again()
			return
		}
		change(&at)
		t.act("pool-put", tenant.Name(name), map[string]any{"revision": at.Revision, "size": at.Size, "largest": max(at.Size, at.Largest),
			"reclaim": at.Reclaim, "guaranteed": at.Guaranteed}, func(status int, _ []byte) {
			if status != 200 {
				again()
				return
			}
			done()
		})
	})
}

// Use is the share of a pool's size that is held on average between two times, looked at
// each second; it is known once they have passed.
func (t *Tenants) Use(name api.PoolName, from, to time.Duration) func() float64 {
	sum, looks := 0.0, 0
	var look func()
	look = func() {
		var p struct {
			Size int `json:"size"`
		}
		t.w.must(json.Unmarshal(t.w.State.keys["b/pool/"+string(name)].value, &p))
		sum += float64(t.heldOf(name)) / float64(max(1, p.Size))
		if looks++; t.w.Now+time.Second <= to {
			t.w.After(time.Second, look)
		}
	}
	t.w.After(from, look)
	return func() float64 { return sum / float64(max(1, looks)) }
}

// Held is what is held of a pool, and the most that ever was.
func (t *Tenants) Held(name api.PoolName) (now, most int) { return t.heldOf(name), t.ledger.Most[name] }
