package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

var copiedCallsDuration = flag.Duration("copied-calls", time.Minute, "duration of TestCopiedCallsOnLoopback")

// copiedCallsMachines is the number of machines of TestCopiedCallsOnLoopback.
const copiedCallsMachines = 8

// copiedCallsSeed is the seed of the jobs and faults of TestCopiedCallsOnLoopback.
const copiedCallsSeed = 1

// TestCopiedCallsOnLoopback runs three controllers on real sockets. Tasks fail and jobs are cancelled while answered
// calls to machines arrive again: no task runs twice, or after its job's cancellation.
func TestCopiedCallsOnLoopback(t *testing.T) {
	live := startControllers(t, 3, copiedCallsMachines, nil)
	live.InjectFaults(func(sim *emulator.Simulation) { sim.RequestCopyRates[emulator.EndpointWorkers] = 0.5 })
	load := &copiedCallsLoad{base: "http://" + live.LoadBalancerAddr + api.PathJobs, rng: rand.New(rand.NewPCG(copiedCallsSeed, 5))}
	eventually(t, "machines are up", func() (up bool) {
		live.InjectFaults(func(sim *emulator.Simulation) { up = len(sim.Machines()) == copiedCallsMachines })
		return up
	})
	eventually(t, "first job accepted", func() bool { return load.submit(t) })
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(*copiedCallsDuration); time.Now().Before(end); <-tick.C {
		load.submit(t)
		load.cancelSome(t, live)
		live.InjectFaults(func(sim *emulator.Simulation) {
			if machines := sim.Machines(); len(machines) > 0 { // all may have been replaced at once
				sim.FailTasks(machines[load.rng.IntN(len(machines))], 300*time.Millisecond)
			}
		})
	}
	live.InjectFaults(func(sim *emulator.Simulation) {
		t.Logf("%d jobs, %d cancelled, %d copies of calls", load.jobs, load.cancelled, sim.RequestCopies)
		if sim.RequestCopies < load.jobs {
			t.Errorf("only %d copies of calls arrived", sim.RequestCopies)
		}
	})
	for _, violation := range live.Violations() {
		t.Error(violation)
	}
}

// copiedCallsLoad submits and cancels jobs.
type copiedCallsLoad struct {
	base            string
	rng             *rand.Rand
	jobs, cancelled int
}

// submit submits a job with a few short tasks and reports whether it was accepted.
func (l *copiedCallsLoad) submit(t *testing.T) bool {
	t.Helper()
	body := fmt.Appendf(nil, jobTemplate, fmt.Sprintf("run-%d", l.jobs+1), "sweep", 1+l.rng.IntN(6), 1+l.rng.IntN(5))
	code, _ := doRequest(t, http.MethodPost, l.base, body)
	accepted := code == http.StatusCreated || code == http.StatusOK
	if accepted {
		l.jobs++
	}
	return accepted
}

// cancelSome cancels one of the latest jobs in every second call, and tells the checker when it is confirmed.
func (l *copiedCallsLoad) cancelSome(t *testing.T, live *emulator.Live) {
	t.Helper()
	if l.rng.IntN(2) == 0 {
		return
	}
	id := api.JobID(fmt.Sprintf("run-%d", max(1, l.jobs-l.rng.IntN(4))))
	live.InjectFaults(func(sim *emulator.Simulation) { sim.Checker.CancelRequested(sim.Now, id) })
	code, status := doRequest(t, http.MethodPost, fmt.Sprintf("%s/%s/%s", l.base, id, api.PathSuffixCancel), nil)
	if code == http.StatusOK && status.State == api.JobCancelled {
		l.cancelled++
		live.InjectFaults(func(sim *emulator.Simulation) {
			sim.Checker.ResponseReceived(sim.Now, id, code, status.State, api.JobPending)
		})
	}
}
