package fragmentation

import (
	"testing"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

func gpus(n float64) api.Resources {
	return api.Resources{CPU: api.ToQuantity(4 * n), GPU: api.ToQuantity(n), Mem: api.ToQuantity(40 * n)}
}

// Small tasks go where others are before they take an empty machine that a large one could have, and
// fill the fullest; without large work nothing is fragmented and it does not matter.
func TestSmallDemandsFillUsedMachines(t *testing.T) {
	typical := TypicalDemands(map[api.Resources]int{gpus(1): 30, gpus(2): 10, gpus(8): 5, {CPU: 4e6}: 100})
	if len(typical) != 3 {
		t.Fatalf("%+v", typical)
	}
	whole, begun, last := Increase(gpus(8), gpus(1), typical), Increase(gpus(5), gpus(1), typical), Increase(gpus(2), gpus(1), typical)
	if !(begun < 0 && begun < whole && whole > 2 && last < whole) {
		t.Errorf("whole %v, begun %v, the last of two %v", whole, begun, last)
	}
	if Measure(gpus(8), typical) != 0 || Measure(gpus(0), typical) != 0 || Measure(gpus(1), typical) <= Measure(gpus(1), typical[:1]) {
		t.Error("what is lost")
	}
	small := TypicalDemands(map[api.Resources]int{gpus(1): 3})
	if Increase(gpus(8), gpus(1), small) != 0 || MayStrand(gpus(1), small) || !MayStrand(gpus(8), typical) {
		t.Error("pieces where there is one size")
	}
	// Work without accelerators fragments where it takes what tasks with accelerators need beside them.
	if cpu := (api.Resources{CPU: api.ToQuantity(2)}); Increase(gpus(8), cpu, typical) <= 0 || Increase(gpus(8).Plus(cpu), cpu, typical) != 0 {
		t.Error("CPU work")
	}
}

// For any demands: what is lost lies between nothing and all that is free, and of the placements of a
// task the one with the least increase leaves no more fragmented than any other.
func TestLeastIncreaseLeavesLeastFragmentation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demandCounts := map[api.Resources]int{}
		for range rapid.IntRange(1, 5).Draw(t, "kinds") {
			demandCounts[gpus(float64(rapid.IntRange(1, 8).Draw(t, "gpus")))] += rapid.IntRange(1, 20).Draw(t, "count")
		}
		typical := TypicalDemands(demandCounts)
		task := gpus(float64(rapid.IntRange(1, 8).Draw(t, "task")))
		var free []api.Resources
		for range rapid.IntRange(2, 6).Draw(t, "machines") {
			free = append(free, gpus(float64(rapid.IntRange(0, 8).Draw(t, "free"))))
		}
		total := func(on int) float64 {
			sum := 0.0
			for i, f := range free {
				if i == on {
					f = f.Minus(task)
				}
				l := Measure(f, typical)
				if l < 0 || l > f.GPU.Float()+1e-9 {
					t.Fatalf("%v of %v is lost", l, f.GPU.Float())
				}
				sum += l
			}
			return sum
		}
		best, least := -1, 0.0
		for i, f := range free {
			if m := Increase(f, task, typical); task.Fits(f) && (best < 0 || m < least) {
				best, least = i, m
			}
		}
		for i, f := range free {
			if task.Fits(f) && total(i) < total(best)-1e-9 {
				t.Fatalf("%v left in pieces, %v by another place", total(best), total(i))
			}
		}
	})
}
