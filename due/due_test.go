package due

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"basaltwall/api"
)

// What is chosen has the room when it is said to, no set of machines has it sooner, and nothing
// is chosen only where the room would never come: drawn, against trying every time at which
// something ends.
func TestChooseIsSoonest(t *testing.T) {
	chosen, never := 0, 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 41))
		hosts := make([]Host, 1+r.IntN(5))
		times := []float64{0}
		for i := range hosts {
			hosts[i].Free = api.Resources{CPU: api.Amount(r.IntN(4)), GPU: api.Amount(r.IntN(3)), Mem: 9}
			for range r.IntN(4) {
				e := End{After: float64(r.IntN(40)), Frees: api.Resources{CPU: api.Amount(r.IntN(4)), GPU: api.Amount(r.IntN(3))}}
				if r.IntN(5) == 0 {
					e.After = math.Inf(1)
				} else {
					times = append(times, e.After)
				}
				hosts[i].Ends = append(hosts[i].Ends, e)
			}
		}
		w := Want{Demand: api.Resources{CPU: api.Amount(1 + r.IntN(3)), GPU: api.Amount(r.IntN(3)), Mem: 1}, Tasks: 1 + r.IntN(5)}
		room := func(at float64, of []int) (sum int) {
			for _, i := range of {
				sum += hosts[i].slotsBy(w.Demand, at, w.Tasks)
			}
			return sum
		}
		all := make([]int, len(hosts))
		for i := range all {
			all[i] = i
		}
		soonest := math.Inf(1)
		slices.Sort(times)
		for _, at := range slices.Backward(times) {
			if room(at, all) >= w.Tasks {
				soonest = at
			}
		}
		kept, after := Choose(hosts, w)
		if after != soonest || (kept == nil) != math.IsInf(soonest, 1) {
			t.Fatalf("seed %d: %v after %v s, expected after %v s: %+v of %+v", seed, kept, after, soonest, w, hosts)
		}
		if kept == nil {
			never++
			continue
		}
		chosen++
		if room(after, kept) < w.Tasks {
			t.Fatalf("seed %d: %v hold %d of %d tasks after %v s", seed, kept, room(after, kept), w.Tasks, after)
		}
	}
	if chosen < 100 || never < 100 {
		t.Errorf("%d chosen, %d never: too few to tell", chosen, never)
	}
}
