package turns

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basaltwall/api"
)

// crowd lets each of so many jobs be asked about every 5 s at one of three controllers, which
// answer so many questions a second each, and tells how long a job went unanswered at most.
func crowd(jobs, each int, fair bool) time.Duration {
	r := rand.New(rand.NewPCG(1, 2))
	refs := make([]api.JobRef, jobs)
	answered, phase := make([]int, jobs), make([]int, jobs)
	for i := range refs {
		refs[i], phase[i] = api.JobRef(fmt.Sprintf("run-%06d", i)), r.IntN(5)
	}
	ways := Ways(256*jobs/(15*each), 256)
	worst := 0
	for s := range 300 {
		left := [3]int{each, each, each}
		for _, i := range r.Perm(jobs) {
			if (s+phase[i])%5 != 0 {
				continue
			}
			node := r.IntN(3)
			skew := api.Wall(node*250 - 250) // their clocks differ
			if now, _ := Whose(refs[i], api.Wall(s*1000)+skew+5000, ways); fair && !now || left[node] == 0 {
				continue
			}
			left[node]--
			worst, answered[i] = max(worst, s-answered[i]), s
		}
	}
	for _, at := range answered {
		worst = max(worst, 300-at)
	}
	return time.Duration(worst) * time.Second
}

// With four times the questions that fit, each job is answered within 75 s; where those win
// that happen to come first, some are not.
func TestEveryJobHasItsTurn(t *testing.T) {
	if worst := crowd(3000, 50, true); worst >= 75*time.Second {
		t.Errorf("a job went unanswered for %v", worst)
	}
	if worst := crowd(3000, 50, false); worst < 75*time.Second {
		t.Errorf("without turns the longest was %v: the test shows nothing", worst)
	}
}

func TestATurnComesWithinACycle(t *testing.T) {
	for ways := 1; ways <= Most; ways *= 2 {
		for i := range 50 {
			ref := api.JobRef(fmt.Sprintf("run-%d", i))
			for at := api.Wall(0); at < 60_000; at += 777 {
				now, until := Whose(ref, at, ways)
				if now != (until == 0) || until > Window*time.Duration(ways) {
					t.Fatalf("%s at %d: %v, %v", ref, at, now, until)
				}
				if then, _ := Whose(ref, at+api.Wall(until.Milliseconds()), ways); !then {
					t.Fatalf("%s is told to come after %v and it is not its turn", ref, until)
				}
			}
		}
	}
	for waiting, want := range map[int]int{0: 1, 255: 1, 256: 2, 600: 4, 1 << 20: Most} {
		if got := Ways(waiting, 256); got != want {
			t.Errorf("%d waiting: %d ways, expected %d", waiting, got, want)
		}
	}
}
