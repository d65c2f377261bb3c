package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basaltwall/api"
)

// simulateLoad polls each job every 5 s at one of three controllers, which answer pollsPerSecond each,
// and returns the longest time that a job went unanswered.
func simulateLoad(jobs, pollsPerSecond int, fair bool) time.Duration {
	r := rand.New(rand.NewPCG(1, 2))
	jobIDs := make([]api.JobID, jobs)
	answered, phase := make([]int, jobs), make([]int, jobs)
	for i := range jobIDs {
		jobIDs[i], phase[i] = api.JobID(fmt.Sprintf("run-%06d", i)), r.IntN(5)
	}
	sliceCount := SliceCount(256*jobs/(15*pollsPerSecond), 256)
	worst := 0
	for s := range 300 {
		remaining := [3]int{pollsPerSecond, pollsPerSecond, pollsPerSecond}
		for _, i := range r.Perm(jobs) {
			if (s+phase[i])%5 != 0 {
				continue
			}
			node := r.IntN(3)
			skew := api.WallTime(node*250 - 250) // clock difference between controllers
			if admitted, _ := Admit(jobIDs[i], api.WallTime(s*1000)+skew+5000, sliceCount); fair && !admitted || remaining[node] == 0 {
				continue
			}
			remaining[node]--
			worst, answered[i] = max(worst, s-answered[i]), s
		}
	}
	for _, at := range answered {
		worst = max(worst, 300-at)
	}
	return time.Duration(worst) * time.Second
}

// At four times the capacity each job is answered within 75 s; without time slices some are not.
func TestEveryJobIsServed(t *testing.T) {
	if worst := simulateLoad(3000, 50, true); worst >= 75*time.Second {
		t.Errorf("a job went unanswered for %v", worst)
	}
	if worst := simulateLoad(3000, 50, false); worst < 75*time.Second {
		t.Errorf("without time slices the longest time was only %v: the load is too low", worst)
	}
}

func TestSliceRecursWithinCycle(t *testing.T) {
	for sliceCount := 1; sliceCount <= MaxSlices; sliceCount *= 2 {
		for i := range 50 {
			jobID := api.JobID(fmt.Sprintf("run-%d", i))
			for at := api.WallTime(0); at < 60_000; at += 777 {
				admitted, wait := Admit(jobID, at, sliceCount)
				if admitted != (wait == 0) || wait > TimeSlice*time.Duration(sliceCount) {
					t.Fatalf("%s at %d: %v, %v", jobID, at, admitted, wait)
				}
				if admittedLater, _ := Admit(jobID, at+api.WallTime(wait.Milliseconds()), sliceCount); !admittedLater {
					t.Fatalf("%s is not admitted after the returned wait of %v", jobID, wait)
				}
			}
		}
	}
	for waiting, want := range map[int]int{0: 1, 255: 1, 256: 2, 600: 4, 1 << 20: MaxSlices} {
		if got := SliceCount(waiting, 256); got != want {
			t.Errorf("%d waiting commands: %d slices, expected %d", waiting, got, want)
		}
	}
}
