package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"basaltwall/api"
	"basaltwall/flow"
)

// loadedInput returns a round with many machines, partly in use, and many pending jobs.
func loadedInput(machines, jobs int) *Input {
	r := rand.New(rand.NewPCG(5, 6))
	in := &Input{LargestCapacity: api.Resources{CPU: 16e6, Mem: 64e6}, MaxStarts: 1 << 20,
		RemainingQuota: map[api.Team]api.Resources{"red": {CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}}}
	for i := range machines {
		in.Machines = append(in.Machines, Machine{ID: api.MachineID(fmt.Sprintf("i-%d", i)), Type: "t", Zone: api.Zone(fmt.Sprint(i % 3)),
			Free: api.Resources{CPU: api.Quantity(r.IntN(17)) * 1e6, Mem: api.Quantity(r.IntN(65)) * 1e6}, FetchRate: 1})
	}
	for i := range jobs {
		s := &api.JobSpec{Ref: api.JobID(fmt.Sprintf("run-%d", i)), Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 1000,
			CPUs: float64(1 + r.IntN(4)), MemGB: float64(1 + r.IntN(8)), Image: "img", ImageGB: 1}
		j := Job{Spec: s, Demand: s.Demand(), Urgency: r.Float64()}
		for t := range machines {
			j.Pending = append(j.Pending, t)
		}
		in.Jobs = append(in.Jobs, j)
	}
	return in
}

func TestPlanRoundRespectsLimits(t *testing.T) {
	in := loadedInput(50, 60)
	in.RemainingQuota["red"] = api.Resources{CPU: 60e6, GPU: 1 << 50, Mem: 1 << 50}
	plan := PlanRound(in)
	if len(plan) == 0 {
		t.Fatal("nothing placed")
	}
	var cpu api.Quantity
	seen := map[int]bool{}
	for _, p := range plan {
		j, m := in.Jobs[p.JobIndex], in.Machines[p.MachineIndex]
		cpu += j.Demand.CPU
		if !j.Demand.Fits(m.Free) {
			t.Errorf("demand %v exceeds free capacity %v", j.Demand, m.Free)
		}
		if seen[p.MachineIndex] {
			t.Errorf("machine %d assigned twice in a round", p.MachineIndex)
		}
		seen[p.MachineIndex] = true
	}
	if cpu > 60e6 {
		t.Errorf("%v CPUs placed, the quota is 60", cpu.Float())
	}
}

func TestHigherPriorityFirst(t *testing.T) {
	in := loadedInput(1, 3)
	in.Machines[0].Free = in.Jobs[2].Demand
	in.Jobs[2].Spec.Priority = api.Production
	for i := range 2 {
		in.Jobs[i].Demand = in.Jobs[2].Demand
		in.Jobs[i].Urgency = 1
	}
	if plan := PlanRound(in); len(plan) != 1 || plan[0].JobIndex != 2 {
		t.Errorf("placed %v, expected one task of job 2", plan)
	}
}

// All else equal, the faster machine, the one with the image and the one without accelerators are
// preferred, and a service does not use machines with accelerators.
func TestMachineScoring(t *testing.T) {
	cases := map[string]func(other *Machine, j *Job){
		"slow":        func(m *Machine, _ *Job) { m.Slowdown = 2 },
		"no image":    func(m *Machine, j *Job) { m.CachedImages = nil },
		"accelerator": func(m *Machine, _ *Job) { m.HasAccelerators = true },
		"less free":   func(m *Machine, _ *Job) { m.Free.CPU -= 4e6 },
		"excluded":    func(m *Machine, j *Job) { j.ExcludedMachines = map[api.MachineID]bool{m.ID: true} },
		"other zone":  func(m *Machine, j *Job) { m.Zone, j.Spec.Zone = "x", "z" },
		"spot":        func(m *Machine, _ *Job) { m.Spot = true },
	}
	for name, degrade := range cases {
		for worse := range 2 {
			in := loadedInput(2, 1)
			for i := range in.Machines {
				in.Machines[i].Free = api.Resources{CPU: 8e6, Mem: 32e6}
				in.Machines[i].Zone = "z"
				in.Machines[i].CachedImages = map[api.Image]CachedImage{"img": {}}
			}
			in.Jobs[0].Pending, in.Jobs[0].AcceleratorOptional = []int{0}, true
			degrade(&in.Machines[worse], &in.Jobs[0])
			if plan := PlanRound(in); len(plan) != 1 || plan[0].MachineIndex == worse {
				t.Errorf("%s: placed %v, the worse machine is %d", name, plan, worse)
			}
		}
	}
	in := loadedInput(1, 1)
	in.Machines[0].Free, in.Machines[0].HasAccelerators = api.Resources{CPU: 8e6, Mem: 32e6}, true
	in.Jobs[0].AcceleratorOptional, in.Jobs[0].Spec.Kind = true, api.Service
	if plan := PlanRound(in); len(plan) != 0 {
		t.Errorf("a service on an accelerator machine: %v", plan)
	}
}

func TestGangAllOrNothing(t *testing.T) {
	in := loadedInput(3, 1)
	for i := range in.Machines {
		in.Machines[i].Free = api.Resources{CPU: 8e6, Mem: 32e6}
	}
	s := in.Jobs[0].Spec
	s.Kind, s.CPUs, s.MemGB = api.Gang, 4, 4
	in.Jobs[0].Demand = s.Demand()
	for tasks, want := range map[int]int{6: 6, 7: 0} {
		in.Jobs[0].Pending = in.Jobs[0].Pending[:0]
		for i := range tasks {
			in.Jobs[0].Pending = append(in.Jobs[0].Pending, i)
		}
		if plan := PlanRound(in); len(plan) != want {
			t.Errorf("gang of %d: %d placed, expected %d", tasks, len(plan), want)
		}
	}
	s.OneZone, in.Jobs[0].Pending = true, []int{0, 1}
	zones := map[api.Zone]bool{}
	for _, p := range PlanRound(in) {
		zones[in.Machines[p.MachineIndex].Zone] = true
	}
	if len(zones) != 1 {
		t.Errorf("a gang that must be in one zone is in %d zones", len(zones))
	}
}

// The work of a round is bounded by the number of machines, not by the number of pending jobs. The
// test counts allocations, which don't depend on the speed of the machine that runs it.
func TestRoundIsBounded(t *testing.T) {
	few, many := loadedInput(50, 400), loadedInput(50, 4000)
	a := testing.AllocsPerRun(3, func() { PlanRound(few) })
	b := testing.AllocsPerRun(3, func() { PlanRound(many) })
	if b > 1.2*a {
		t.Errorf("%v allocations for 400 jobs, %v for 4000", a, b)
	}
	if most := 2000.0; b > most {
		t.Errorf("%v allocations, more than %v", b, most)
	}
}

func BenchmarkRound(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		in := loadedInput(16*size, 20*size)
		b.Run(fmt.Sprintf("%dx", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				PlanRound(in)
			}
		})
	}
}

// A node keeps only as many of its cheapest edges as the round may start tasks. The plan must cost
// as much as a flow over all edges, which the test computes separately.
func TestCutEdgesKeepTheOptimum(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 9))
		in := loadedInput(30+r.IntN(40), 2+r.IntN(6))
		in.MaxStarts = 3 + r.IntN(12)
		supply := 0
		for i := range in.Jobs {
			in.Jobs[i].Pending = in.Jobs[i].Pending[:1+r.IntN(8)]
			in.Jobs[i].Urgency = float64(r.IntN(3)) / 2
			supply += len(in.Jobs[i].Pending)
		}
		n, k := len(in.Jobs), len(in.Machines)
		g := flow.New(n + k + 2)
		for i := range in.Jobs {
			j := &in.Jobs[i]
			g.AddEdge(n+k, i, len(j.Pending), 0)
			for machineIndex := range in.Machines {
				if m := &in.Machines[machineIndex]; j.Demand.Fits(m.Free) {
					g.AddEdge(i, n+machineIndex, 1, edgeCost(in, j, m, m.Free))
				}
			}
		}
		for machineIndex := range in.Machines {
			g.AddEdge(n+machineIndex, n+k+1, 1, 0)
		}
		sent, want := g.MinCostFlow(n+k, n+k+1, min(supply, in.MaxStarts))
		plan := PlanRound(in)
		got := int64(0)
		for _, p := range plan {
			got += edgeCost(in, &in.Jobs[p.JobIndex], &in.Machines[p.MachineIndex], in.Machines[p.MachineIndex].Free)
		}
		if len(plan) != sent || got != want {
			t.Fatalf("seed %d: %d placed at %d, all edges give %d at %d", seed, len(plan), got, sent, want)
		}
	}
}

// Several tasks of a spread job start in one round, within the limit per zone.
func TestSpreadInOneRound(t *testing.T) {
	in := loadedInput(30, 1)
	for i := range in.Machines {
		in.Machines[i].Free = api.Resources{CPU: 8e6, Mem: 32e6}
	}
	j := &in.Jobs[0]
	j.Spec.Spread, j.Spec.Kind, j.Spec.Tasks = true, api.Service, 9
	j.Pending = []int{2, 3, 4, 5, 6, 7, 8}
	j.PlacedByZone = map[api.Zone]int{"0": 2}
	zones := map[api.Zone]int{"0": 2}
	for i := range in.Machines {
		if in.Machines[i].Zone == "0" {
			in.Machines[i].Free.CPU += 4e6 // zone 0 has the best scores
		}
	}
	plan := PlanRound(in)
	for _, p := range plan {
		zones[in.Machines[p.MachineIndex].Zone]++
	}
	if len(plan) != 7 || zones["0"] != 5 {
		t.Errorf("%d of 7 placed, by zone %v; at most 5 may be in one", len(plan), zones)
	}
}

// A reserved machine is only used by the job that it is reserved for.
func TestReservedMachine(t *testing.T) {
	in := loadedInput(1, 2)
	in.Machines[0].Free = api.Resources{CPU: 16e6, Mem: 64e6}
	in.Machines[0].ReservedFor = in.Jobs[1].Spec.Ref
	in.Jobs[0].Spec.Priority = api.Production
	if plan := PlanRound(in); len(plan) != 1 || plan[0].JobIndex != 1 {
		t.Errorf("placed %v on a machine reserved for job 1", plan)
	}
}

// A machine on which a job failed before is used after the others, but is used.
func TestRetriedMachineGoesLast(t *testing.T) {
	for failed := range 2 {
		for _, pending := range []int{1, 2} {
			in := loadedInput(2, 1)
			for i := range in.Machines {
				in.Machines[i].Free = api.Resources{CPU: 16e6, Mem: 64e6}
			}
			in.Jobs[0].Pending = in.Jobs[0].Pending[:pending]
			in.Jobs[0].RetriedMachines = map[api.MachineID]bool{in.Machines[failed].ID: true}
			plan := PlanRound(in)
			if len(plan) != pending || pending == 1 && plan[0].MachineIndex == failed {
				t.Errorf("%d tasks pending, failed on machine %d: placed %v", pending, failed, plan)
			}
		}
	}
}
