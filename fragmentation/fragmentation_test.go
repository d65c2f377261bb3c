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

// Small tasks cause less fragmentation on partly used machines than on an empty machine, which a large
// task could use. Without large demands there is no fragmentation.
func TestSmallDemandsFillUsedMachines(t *testing.T) {
	typical := TypicalDemands(map[api.Resources]int{gpus(1): 30, gpus(2): 10, gpus(8): 5, {CPU: 4e6}: 100})
	if len(typical) != 3 {
		t.Fatalf("typical demands are %+v, expected the 3 with accelerators", typical)
	}
	empty, partlyUsed, nearlyFull := Increase(gpus(8), gpus(1), typical), Increase(gpus(5), gpus(1), typical), Increase(gpus(2), gpus(1), typical)
	if !(partlyUsed < 0 && partlyUsed < empty && empty > 2 && nearlyFull < empty) {
		t.Errorf("increase by a task with 1 GPU on a machine with 8 free GPUs: %v, 5 free: %v, 2 free: %v", empty, partlyUsed, nearlyFull)
	}
	if Measure(gpus(8), typical) != 0 || Measure(gpus(0), typical) != 0 || Measure(gpus(1), typical) <= Measure(gpus(1), typical[:1]) {
		t.Error("Measure is wrong for an empty machine, a full machine or a single free GPU")
	}
	small := TypicalDemands(map[api.Resources]int{gpus(1): 3})
	if Increase(gpus(8), gpus(1), small) != 0 || MayFragment(gpus(1), small) || !MayFragment(gpus(8), typical) {
		t.Error("Increase or MayFragment is wrong for a single typical demand, or MayFragment for the largest of several")
	}
	// Tasks without accelerators increase fragmentation if they use CPUs that tasks with accelerators need.
	if cpu := (api.Resources{CPU: api.ToQuantity(2)}); Increase(gpus(8), cpu, typical) <= 0 || Increase(gpus(8).Plus(cpu), cpu, typical) != 0 {
		t.Error("a CPU-only task must increase fragmentation only where it uses CPUs that GPU tasks need")
	}
}

// For any demands, the unusable accelerators are between 0 and all free ones, and no placement of a task
// leaves less fragmentation than the one with the least increase.
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
				unusable := Measure(f, typical)
				if unusable < 0 || unusable > f.GPU.Float()+1e-9 {
					t.Fatalf("%v of %v free accelerators are unusable", unusable, f.GPU.Float())
				}
				sum += unusable
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
				t.Fatalf("%v accelerators are unusable after the placement of least increase, %v after another", total(best), total(i))
			}
		}
	})
}
