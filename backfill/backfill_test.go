package backfill

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"basaltwall/api"
)

// The selected machines have the capacity at the returned time, no other selection has it sooner,
// and nothing is selected only if the capacity would never be available. On random input, the
// result is compared with every time at which a task ends.
func TestSelectMachinesIsSoonest(t *testing.T) {
	selected, never := 0, 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 41))
		machines := make([]Machine, 1+r.IntN(5))
		times := []float64{0}
		for i := range machines {
			machines[i].Free = api.Resources{CPU: api.Quantity(r.IntN(4)), GPU: api.Quantity(r.IntN(3)), Mem: 9}
			for range r.IntN(4) {
				e := Release{AfterSeconds: float64(r.IntN(40)), Resources: api.Resources{CPU: api.Quantity(r.IntN(4)), GPU: api.Quantity(r.IntN(3))}}
				if r.IntN(5) == 0 {
					e.AfterSeconds = math.Inf(1)
				} else {
					times = append(times, e.AfterSeconds)
				}
				machines[i].Releases = append(machines[i].Releases, e)
			}
		}
		request := Request{Demand: api.Resources{CPU: api.Quantity(1 + r.IntN(3)), GPU: api.Quantity(r.IntN(3)), Mem: 1}, Tasks: 1 + r.IntN(5)}
		slotsAt := func(at float64, of []int) (sum int) {
			for _, i := range of {
				sum += machines[i].slotsWithin(request.Demand, at, request.Tasks)
			}
			return sum
		}
		all := make([]int, len(machines))
		for i := range all {
			all[i] = i
		}
		soonest := math.Inf(1)
		slices.Sort(times)
		for _, at := range slices.Backward(times) {
			if slotsAt(at, all) >= request.Tasks {
				soonest = at
			}
		}
		reserved, after := SelectMachines(machines, request)
		if after != soonest || (reserved == nil) != math.IsInf(soonest, 1) {
			t.Fatalf("seed %d: selected %v after %v s, expected after %v s: request %+v, machines %+v", seed, reserved, after, soonest, request, machines)
		}
		if reserved == nil {
			never++
			continue
		}
		selected++
		if slotsAt(after, reserved) < request.Tasks {
			t.Fatalf("seed %d: machines %v hold %d of %d tasks after %v s", seed, reserved, slotsAt(after, reserved), request.Tasks, after)
		}
	}
	if selected < 100 || never < 100 {
		t.Errorf("%d selections, %d without one: too few cases to check", selected, never)
	}
}
