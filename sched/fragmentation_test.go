package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/fragmentation"
)

// fragmentedInput returns a cluster of machines with eight accelerators, some of them in use, and
// pending tasks that need one or eight.
func fragmentedInput(machines, jobs int, typical bool) *Input {
	r := rand.New(rand.NewPCG(8, 9))
	in := &Input{LargestCapacity: api.Resources{CPU: 96e6, GPU: 8e6, Mem: 768e6}, MaxStarts: 60,
		RemainingQuota: map[api.Team]api.Resources{"red": {CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}}}
	for i := range machines {
		used := api.Quantity(r.IntN(9))
		in.Machines = append(in.Machines, Machine{ID: api.MachineID(fmt.Sprintf("i-%d", i)), Type: "m8", Zone: "a", HasAccelerators: true, FetchRate: 1,
			Free: api.Resources{CPU: 96e6 - 12e6*used, GPU: 8e6 - 1e6*used, Mem: 768e6 - 90e6*used}})
	}
	for i := range jobs {
		s := &api.JobSpec{Ref: api.JobID(fmt.Sprintf("run-%d", i)), Team: "red", Kind: api.Service, Priority: api.High, Tasks: 3, CPUs: 4, GPUs: 1, MemGB: 40}
		if i%8 == 0 {
			s.GPUs, s.CPUs, s.MemGB, s.Tasks = 8, 48, 300, 1
		}
		j := Job{Spec: s, Demand: s.Demand(), Pending: []int{0, 1, 2}[:s.Tasks]}
		in.Jobs = append(in.Jobs, j)
	}
	if typical {
		counts := map[api.Resources]int{}
		for _, j := range in.Jobs {
			counts[j.Demand] += len(j.Pending)
		}
		in.TypicalDemands = fragmentation.TypicalDemands(counts)
	}
	return in
}

// Small tasks fill partly used machines. None takes an empty machine while there are such
// fragments, as it would by the dot product alone.
func TestSmallTasksKeepWholeMachinesFree(t *testing.T) {
	startedOnEmpty := func(typical bool) (whole int) {
		in := fragmentedInput(200, 40, typical)
		for _, p := range PlanRound(in) {
			if in.Jobs[p.JobIndex].Spec.GPUs == 1 && in.Machines[p.MachineIndex].Free.GPU == 8e6 {
				whole++
			}
		}
		return whole
	}
	if with, without := startedOnEmpty(true), startedOnEmpty(false); with != 0 || without == 0 {
		t.Errorf("%d small tasks start on empty machines with the fragmentation term, %d by the dot product alone", with, without)
	}
}

// Small tasks that arrive a few at a time leave nearly as many machines empty as the optimum, which
// an exhaustive search finds with knowledge of all tasks. Cases where a task does not fit are not
// counted.
func TestFragmentationNearOptimum(t *testing.T) {
	sizes := []api.Quantity{1e6, 2e6, 4e6}
	demand := func(gpus api.Quantity) api.Resources {
		return api.Resources{CPU: 12 * gpus, GPU: gpus, Mem: 90 * gpus}
	}
	// best returns the maximum number of machines that can be left with all eight accelerators free.
	var best func(free []api.Quantity, tasks []api.Quantity) int
	best = func(free, tasks []api.Quantity) int {
		if len(tasks) == 0 {
			return countWhole(free)
		}
		most := -1
		for i := range free {
			if free[i] >= tasks[0] {
				free[i] -= tasks[0]
				most = max(most, best(free, tasks[1:]))
				free[i] += tasks[0]
			}
		}
		return most
	}
	var left, pending [2]int // by the dot product alone, and with the fragmentation term
	ideal := 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		start := make([]api.Quantity, 5)
		for i := range start {
			start[i] = 1e6 * api.Quantity([]int{8, 8, 8, 5, 3}[r.IntN(5)])
		}
		tasks := make([]api.Quantity, 6)
		for i := range tasks {
			tasks[i] = sizes[r.IntN(len(sizes))]
		}
		most := best(slices.Clone(start), tasks)
		if most < 0 {
			continue // they don't all fit
		}
		counts := map[api.Resources]int{demand(8e6): 2}
		for _, gpus := range tasks {
			counts[demand(gpus)]++
		}
		ideal += most
		for variant, typical := range [][]fragmentation.Demand{nil, fragmentation.TypicalDemands(counts)} {
			free, unplaced := slices.Clone(start), 0
			for i := 0; i < len(tasks); i += 2 {
				in := &Input{LargestCapacity: demand(8e6), MaxStarts: 60, TypicalDemands: typical, RemainingQuota: map[api.Team]api.Resources{"red": {CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}}}
				for m, gpus := range free {
					in.Machines = append(in.Machines, Machine{ID: api.MachineID(fmt.Sprint("i-", m)), Type: "m8", Zone: "a", HasAccelerators: true, FetchRate: 1, Free: demand(gpus)})
				}
				for n, gpus := range tasks[i : i+2] {
					s := &api.JobSpec{Ref: api.JobID(fmt.Sprint("run-", n)), Team: "red", Kind: api.Service, Priority: api.High, Tasks: 1}
					in.Jobs = append(in.Jobs, Job{Spec: s, Demand: demand(gpus), Pending: []int{0}})
				}
				placed := PlanRound(in)
				for _, p := range placed {
					free[p.MachineIndex] -= in.Jobs[p.JobIndex].Demand.GPU
				}
				unplaced += len(in.Jobs) - len(placed)
			}
			pending[variant] += unplaced
			if unplaced == 0 {
				left[variant] += countWhole(free)
			}
		}
	}
	t.Logf("machines left empty: %v, optimum %d; pending tasks: %v", left, ideal, pending)
	if 100*left[1] < 85*ideal || left[1] <= left[0] || pending[1] > pending[0] {
		t.Errorf("machines left empty (without and with the fragmentation term): %v, optimum %d; pending tasks: %v", left, ideal, pending)
	}
}

func countWhole(free []api.Quantity) (count int) {
	for _, f := range free {
		if f == 8e6 {
			count++
		}
	}
	return count
}

func BenchmarkFragmentedRound(b *testing.B) {
	for _, typical := range []bool{false, true} {
		in := fragmentedInput(2500, 300, typical)
		b.Run(fmt.Sprintf("typical=%v", typical), func(b *testing.B) {
			for b.Loop() {
				PlanRound(in)
			}
		})
	}
}
