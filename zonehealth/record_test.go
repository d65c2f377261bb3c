package zonehealth

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

var thresholds = Thresholds{FailAfter: 9 * time.Second, HealthyAfter: 5 * time.Second, RetryWithoutMachinesAfter: time.Minute}

func assess(all, silent int, lastHeartbeat api.WallTime) Assessment {
	return Assess([]Observation{{"a": {All: all, Silent: silent, Heard: lastHeartbeat}, "b": {All: 20}}}, "a")
}

// A zone passes through the states suspect, failed, recovering and healthy, and its outages are recorded.
func TestZoneFailsAndRecovers(t *testing.T) {
	const s = api.WallTime(1000)
	var r Record
	step := func(at api.WallTime, assessment Assessment, healthyFor time.Duration, want State) {
		t.Helper()
		r = r.Next(at*s, assessment, healthyFor, thresholds, []api.PartitionID{2, 1})
		if r.State != want {
			t.Fatalf("at %d s: state %q, expected %q", at, r.State, want)
		}
	}
	step(10, assess(10, 0, 0), time.Minute, Healthy)
	step(15, assess(10, 3, 9*s), 0, Healthy)
	step(16, assess(10, 4, 10*s), 0, Suspect)
	step(18, assess(10, 10, 11*s), 0, Suspect)
	step(19, assess(10, 2, 11*s), time.Second, Suspect)
	step(20, assess(10, 10, 11*s), 0, Failed)
	if r.LastHeartbeat != 11*s || !slices.Equal(r.IsolatedPartitions, []api.PartitionID{1, 2}) {
		t.Errorf("record of the failed zone: %+v", r)
	}
	step(40, assess(6, 6, 11*s), 0, Failed)
	step(60, assess(6, 5, 11*s), 0, Failed)
	step(61, assess(6, 1, 11*s), 0, Recovering)
	if len(r.OutageHistory) != 1 || r.OutageHistory[0] != 50 {
		t.Errorf("outage history after an outage of 50 s: %v", r.OutageHistory)
	}
	step(63, assess(6, 3, 11*s), 0, Recovering)
	step(67, assess(6, 3, 62*s), 0, Failed)
	step(80, assess(6, 0, 0), 0, Recovering)
	step(86, assess(6, 0, 0), 6*time.Second, Healthy)
	if r.LastHeartbeat != 0 || len(r.IsolatedPartitions) != 0 || len(r.OutageHistory) != 2 {
		t.Errorf("record of the healthy zone: %+v", r)
	}
	// A short outage is recorded too, and a writer without observations changes nothing.
	step(100, assess(6, 6, 99*s), 0, Suspect)
	isolated := Assess([]Observation{{"a": {All: 6, Silent: 6}, "b": {All: 9, Silent: 8}}}, "a")
	step(120, isolated, 0, Suspect)
	step(121, assess(6, 0, 0), 5*time.Second, Healthy)
	if len(r.OutageHistory) != 3 || r.OutageHistory[2] != 22 {
		t.Errorf("outage history after an outage of 22 s: %v", r.OutageHistory)
	}
	// No machine is left to send heartbeats, so the zone is tried again after a while.
	step(200, assess(6, 6, 198*s), 0, Suspect)
	step(210, assess(6, 6, 198*s), 0, Failed)
	step(260, assess(0, 0, 0), 0, Failed)
	step(271, assess(0, 0, 0), 0, Recovering)
	step(272, assess(0, 0, 0), time.Minute, Recovering)
	step(300, assess(2, 2, 0), 0, Failed)
	step(361, assess(0, 0, 0), 0, Recovering)
	step(400, assess(2, 0, 0), 5*time.Second, Healthy)
}

// Isolated observers are ignored, a zone is unreachable only if at least half of the observers agree, and
// the order of observations has no effect.
func TestObservationsAreAssessed(t *testing.T) {
	healthy, half, unreachable := MachineCount{All: 9}, MachineCount{All: 9, Silent: 5, Heard: 4}, MachineCount{All: 9, Silent: 9, Heard: 6}
	for _, tc := range []struct {
		what                          string
		observations                  []Observation
		wantObserved, wantUnreachable bool
	}{
		{"no observations", nil, false, false},
		{"reachable for all", []Observation{{"a": healthy, "b": healthy}, {"a": healthy}}, true, false},
		{"unreachable for all", []Observation{{"a": unreachable, "b": healthy}, {"a": unreachable, "b": healthy}}, true, true},
		{"one isolated observer of three", []Observation{{"a": unreachable, "b": unreachable}, {"a": healthy, "b": healthy}, {"a": healthy, "b": healthy}}, true, false},
		{"a single isolated observer", []Observation{{"a": unreachable, "b": unreachable}}, false, false},
		{"unreachable for one of three", []Observation{{"a": unreachable, "b": healthy}, {"a": healthy, "b": healthy}, {"a": healthy, "b": healthy}}, true, false},
		{"unreachable for two of three", []Observation{{"a": unreachable, "b": healthy}, {"a": unreachable, "b": healthy}, {"a": healthy, "b": healthy}}, true, true},
		{"half of the machines unreachable for all", []Observation{{"a": half, "b": healthy}, {"a": half, "b": healthy}}, true, true},
		{"all zones but one unreachable", []Observation{{"a": unreachable, "b": unreachable, "c": healthy}}, true, true},
		{"a single machine in the zone", []Observation{{"a": {All: 1, Silent: 1}, "b": healthy}}, true, false},
	} {
		s := Assess(tc.observations, "a")
		if s.Observed != tc.wantObserved || s.Unreachable != tc.wantUnreachable {
			t.Errorf("%s: observed %v, unreachable %v", tc.what, s.Observed, s.Unreachable)
		}
		reversed := slices.Clone(tc.observations)
		slices.Reverse(reversed)
		if Assess(reversed, "a") != s {
			t.Errorf("%s: in reverse order %v, expected %v", tc.what, Assess(reversed, "a"), s)
		}
	}
}

// The outlast probability decreases with the target duration and depends on past outages.
func TestOutageProbabilitiesAreLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{OutageHistory: rapid.SliceOfN(rapid.Float64Range(1, 300), 0, maxOutageHistory).Draw(t, "past")}
		lasted := rapid.Float64Range(1, 100).Draw(t, "lasted")
		a := rapid.Float64Range(1, 300).Draw(t, "a")
		b := a + rapid.Float64Range(0, 300).Draw(t, "more")
		pa, pb := r.OutlastProbability(a, lasted), r.OutlastProbability(b, lasted)
		if pa < pb || pa > 1 || pb < 0 {
			t.Fatalf("probability %v to outlast %v s, %v to outlast %v s", pa, a, pb, b)
		}
		if rem := r.ExpectedRemaining(lasted); rem <= 0 {
			t.Fatalf("expected remaining outage %v s", rem)
		}
	})
	short := Record{OutageHistory: []float64{25, 28, 30}}
	if p := short.OutlastProbability(45, 20); p > 0.15 {
		t.Errorf("probability %v after three shorter outages", p)
	}
	if p := (Record{}).OutlastProbability(45, 20); p < 0.44 || p > 0.45 {
		t.Errorf("probability %v without past outages", p)
	}
	if rem := (Record{OutageHistory: []float64{120}}).ExpectedRemaining(60); rem != 60 {
		t.Errorf("expected remaining outage %v s, expected 60", rem)
	}
}

func drawSpec(t *rapid.T, ref api.JobID) *api.JobSpec {
	s := &api.JobSpec{Ref: ref, Class: "c", Team: rapid.SampledFrom([]api.Team{"red", "blue"}).Draw(t, "team"),
		Kind:     rapid.SampledFrom([]api.Kind{api.Array, api.Gang, api.Service}).Draw(t, "kind"),
		Priority: rapid.SampledFrom([]api.Priority{api.Low, api.Normal, api.High, api.Production}).Draw(t, "priority"),
		Tasks:    rapid.IntRange(1, 9).Draw(t, "tasks"), CPUs: float64(rapid.IntRange(1, 6).Draw(t, "cpus")), MemGB: 1, Image: "i"}
	if rapid.IntRange(0, 3).Draw(t, "requires zone") == 0 {
		s.Zone = "a"
	}
	s.Spread = rapid.Bool().Draw(t, "spread")
	s.OneZone = !s.Spread && rapid.Bool().Draw(t, "one zone")
	return s
}

// For random clusters, a plan's placements respect free capacity and zone constraints and avoid the
// failed zone, the order of the input has no effect, and more urgent tasks come first.
func TestEvacuationPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{PlacedByZone: map[api.JobID]map[api.Zone]int{}, PreemptingRank: api.High.Rank(), MaxMachines: rapid.IntRange(1, 40).Draw(t, "max machines"),
			ExpectedOutage: func(api.Zone) float64 { return 60 }}
		for range rapid.IntRange(0, 10).Draw(t, "free capacities") {
			free := rapid.IntRange(0, 8).Draw(t, "free")
			afterPreemption := free + rapid.IntRange(0, 8-free).Draw(t, "preemptible")
			in.FreeCapacity = append(in.FreeCapacity, FreeCapacity{Type: "c8", Zone: rapid.SampledFrom([]api.Zone{"b", "c"}).Draw(t, "zone"),
				Free: api.Resources{CPU: api.ToQuantity(float64(free)), Mem: api.ToQuantity(8)}, FreeAfterPreemption: api.Resources{CPU: api.ToQuantity(float64(afterPreemption)), Mem: api.ToQuantity(8)},
				Count: rapid.IntRange(1, 3).Draw(t, "count")})
		}
		specs := map[api.JobID]*api.JobSpec{}
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			s := drawSpec(t, api.JobID([]string{"run-1", "run-2", "run-3", "run-4", "run-5", "run-6"}[i]))
			specs[s.Ref] = s
			in.PlacedByZone[s.Ref] = map[api.Zone]int{}
			lost := rapid.IntRange(1, s.Tasks).Draw(t, "lost")
			for range s.Tasks - lost {
				z := rapid.SampledFrom([]api.Zone{"b", "c"}).Draw(t, "other zone")
				if in.PlacedByZone[s.Ref][z] < (s.Tasks+1)/2 && (!s.OneZone || len(in.PlacedByZone[s.Ref]) == 0 || in.PlacedByZone[s.Ref][z] > 0) {
					in.PlacedByZone[s.Ref][z]++
				}
			}
			for k := range lost {
				task := Task{ID: api.TaskID{Job: s.Ref, Index: k}, Spec: s, Demand: s.Demand(), RunningElsewhere: s.Tasks - lost,
					SlackSeconds: rapid.Float64Range(0, 100).Draw(t, "slack"), WithinGuarantee: rapid.Bool().Draw(t, "within guarantee")}
				if rapid.IntRange(0, 3).Draw(t, "pending") == 0 {
					in.PendingTasks = append(in.PendingTasks, task)
					continue
				}
				in.Machines = append(in.Machines, Machine{ID: api.MachineID("i-" + task.ID.String()), Zone: "a",
					Capacity: api.Resources{CPU: api.ToQuantity(8), Mem: api.ToQuantity(8)}, BootSeconds: 20, Tasks: []Task{task}})
			}
		}
		plan := PlanEvacuation(in)
		if len(plan) > in.MaxMachines {
			t.Fatalf("%d machines evacuated, expected at most %d", len(plan), in.MaxMachines)
		}
		shuffled := *in
		shuffled.Machines, shuffled.PendingTasks, shuffled.FreeCapacity = slices.Clone(in.Machines), slices.Clone(in.PendingTasks), slices.Clone(in.FreeCapacity)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "shuffle"), 1))
		rnd.Shuffle(len(shuffled.Machines), func(i, j int) {
			shuffled.Machines[i], shuffled.Machines[j] = shuffled.Machines[j], shuffled.Machines[i]
		})
		rnd.Shuffle(len(shuffled.PendingTasks), func(i, j int) {
			shuffled.PendingTasks[i], shuffled.PendingTasks[j] = shuffled.PendingTasks[j], shuffled.PendingTasks[i]
		})
		other := PlanEvacuation(&shuffled)
		if len(other) != len(plan) {
			t.Fatalf("with shuffled input: %d machines, expected %d", len(other), len(plan))
		}
		for i := range plan {
			if plan[i].Machine != other[i].Machine {
				t.Fatalf("with shuffled input: %v, expected %v", other[i], plan[i])
			}
		}
		// All placements together respect the capacity by zone and each job's constraints.
		used, capacity := map[api.Zone]api.Quantity{}, map[api.Zone]api.Quantity{}
		for _, c := range in.FreeCapacity {
			capacity[c.Zone] += c.FreeAfterPreemption.CPU * api.Quantity(c.Count)
		}
		byID := map[api.MachineID]Machine{}
		for _, m := range in.Machines {
			byID[m.ID] = m
		}
		zones := map[api.JobID]map[api.Zone]int{}
		var last *Task
		for _, evacuation := range plan {
			m := byID[evacuation.Machine]
			if len(evacuation.Placements) > 0 {
				if last != nil && CompareTasks(&m.Tasks[0], last) < 0 {
					t.Fatalf("%v comes after the less urgent %v", m.Tasks[0].ID, last.ID)
				}
				last = &m.Tasks[0]
			}
			for _, p := range evacuation.Placements {
				s := specs[p.Task.Job]
				used[p.Zone] += s.Demand().CPU
				if zones[s.Ref] == nil {
					zones[s.Ref] = map[api.Zone]int{}
					for z, n := range in.PlacedByZone[s.Ref] {
						zones[s.Ref][z] = n
					}
				}
				zones[s.Ref][p.Zone]++
				if p.Zone == "a" || s.Zone != "" && s.Zone != p.Zone {
					t.Fatalf("%s placed in forbidden zone %s", p.Task, p.Zone)
				}
				if s.Spread && zones[s.Ref][p.Zone] > (s.Tasks+1)/2 || s.OneZone && len(zones[s.Ref]) > 1 {
					t.Fatalf("%s: tasks by zone %v of %d violate its constraint", s.Ref, zones[s.Ref], s.Tasks)
				}
			}
		}
		for z, cpus := range used {
			if cpus > capacity[z] {
				t.Fatalf("%v CPUs placed, expected at most %v in zone %s", cpus, capacity[z], z)
			}
		}
	})
}

// CompareTasks is a total order.
func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ts []Task
		for i := range 3 {
			s := drawSpec(t, rapid.SampledFrom([]api.JobID{"run-1", "run-2"}).Draw(t, "ref"))
			ts = append(ts, Task{ID: api.TaskID{Job: s.Ref, Index: i}, Spec: s, Demand: s.Demand(), RunningElsewhere: rapid.IntRange(0, s.Tasks).Draw(t, "running elsewhere"),
				SlackSeconds: float64(rapid.IntRange(0, 2).Draw(t, "slack")), WithinGuarantee: rapid.Bool().Draw(t, "within guarantee")})
		}
		a, b, c := &ts[0], &ts[1], &ts[2]
		if CompareTasks(a, b) == 0 || CompareTasks(a, b) != -CompareTasks(b, a) {
			t.Fatalf("%v and %v compare as %d, reversed as %d", a.ID, b.ID, CompareTasks(a, b), CompareTasks(b, a))
		}
		if CompareTasks(a, b) < 0 && CompareTasks(b, c) < 0 && CompareTasks(a, c) > 0 {
			t.Fatal("not transitive")
		}
	})
}

// A machine is evacuated at once for a service replica of the highest priority, for a few array tasks
// only if a long outage is expected, and later if a controller inside the zone may still run its tasks.
func TestEvacuationDecision(t *testing.T) {
	spec := func(kind api.Kind, p api.Priority) *api.JobSpec {
		return &api.JobSpec{Ref: "run-1", Kind: kind, Priority: p, Team: "red", Tasks: 4, CPUs: 2, MemGB: 1}
	}
	slack := NoDeadline
	evacuated := func(s *api.JobSpec, tasks int, freeCPU float64, inside bool, remaining float64) bool {
		m := Machine{ID: "i-1", Zone: "a", Capacity: api.Resources{CPU: api.ToQuantity(16)}, BootSeconds: 50, ControllerIsolated: inside}
		for i := range tasks {
			m.Tasks = append(m.Tasks, Task{ID: api.TaskID{Job: "run-1", Index: i}, Spec: s, Demand: s.Demand(), SlackSeconds: slack})
		}
		free := api.Resources{CPU: api.ToQuantity(freeCPU), Mem: api.ToQuantity(64)}
		return len(PlanEvacuation(&Input{Machines: []Machine{m}, FreeCapacity: []FreeCapacity{{Type: "c", Zone: "b", Free: free, FreeAfterPreemption: free, Count: 1}},
			PreemptingRank: 2, MaxMachines: 9, ExpectedOutage: func(api.Zone) float64 { return remaining }})) == 1
	}
	web, batch := spec(api.Service, api.Production), spec(api.Array, api.Normal)
	late := func() bool {
		slack = 20
		defer func() { slack = NoDeadline }()
		return evacuated(batch, 4, 8, false, 31)
	}
	for _, tc := range []struct {
		what string
		got  bool
		want bool
	}{
		{"four array tasks that would miss their deadline", late(), true},
		{"a replica with a placement", evacuated(web, 1, 8, false, 31), true},
		{"a replica without a placement", evacuated(web, 1, 1, false, 31), false},
		{"a replica that may still run inside", evacuated(web, 1, 8, true, 31), false},
		{"a replica that may still run inside, long outage", evacuated(web, 1, 8, true, 150), true},
		{"one array task", evacuated(batch, 1, 8, false, 31), false},
		{"four array tasks", evacuated(batch, 4, 8, false, 31), false},
		{"four array tasks, long outage", evacuated(batch, 4, 8, false, 80), true},
		{"no tasks, very long outage", evacuated(batch, 0, 0, false, 201), true},
		{"no tasks, shorter outage", evacuated(batch, 0, 0, false, 199), false},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: evacuated: %v", tc.what, tc.got)
		}
	}
}

// After the largest allowed preemption each class still has its floor, or all its CPUs if it had fewer.
// The floors together use at most DefaultFloorShare of the capacity.
func TestFloorsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1000).Draw(t, "capacity")
		usage, totalDemand, totalFloor := map[int]Usage{}, 0.0, 0.0
		left := capacity
		for k := range rapid.IntRange(1, 6).Draw(t, "classes") {
			u := Usage{Allocated: rapid.Float64Range(0, left).Draw(t, "allocated")}
			left -= u.Allocated
			u.Demand = u.Allocated + rapid.Float64Range(0, 2000).Draw(t, "pending")
			usage[k] = u
			totalDemand += u.Demand
		}
		for k, a := range Allowances(usage, capacity, 1) {
			u := usage[k]
			if math.Abs(a.Shortfall-max(0, DefaultFloorShare*min(capacity, totalDemand)*max(u.Allocated, u.Demand)/max(totalDemand, 1e-12)-u.Allocated)) > 1e-6 {
				t.Fatalf("%+v: shortfall %v", u, a.Shortfall)
			}
			floor := DefaultFloorShare * min(capacity, totalDemand) * u.Demand / max(totalDemand, 1e-12)
			if a.Preemptible < 0 || a.Preemptible > u.Allocated || u.Allocated-a.Preemptible < min(u.Allocated, floor)-1e-6 {
				t.Fatalf("%+v: %v CPUs preemptible with a floor of %v", u, a.Preemptible, floor)
			}
			shortfall := 0.0 // of the other classes
			for other, o := range usage {
				if other != k {
					shortfall += max(0, DefaultFloorShare*min(capacity, totalDemand)*o.Demand/max(totalDemand, 1e-12)-o.Allocated)
				}
			}
			if shortfall > 1e-6 && a.Headroom > max(0, left-shortfall)+1e-6 {
				t.Fatalf("%+v: headroom %v of %v free CPUs, although the others' shortfall is %v", u, a.Headroom, left, shortfall)
			}
			if shortfall == 0 && a.Headroom < left {
				t.Fatalf("%+v: headroom %v of %v free CPUs, although no other class has a shortfall", u, a.Headroom, left)
			}
			totalFloor += floor
		}
		if totalFloor > DefaultFloorShare*capacity+1e-6 {
			t.Fatalf("floors of %v for a capacity of %v", totalFloor, capacity)
		}
	})
}

// While no zone has failed, starving work has a floor for three quarters of each StarvationThreshold;
// otherwise the headroom of other classes is not limited.
func TestFloorsForStarvingWork(t *testing.T) {
	allowance := func(waited time.Duration) Allowance {
		usage := map[string]Usage{"low": {Allocated: 5, Demand: 100, NoFloor: !Starving(waited)}, "high": {Allocated: 95, Demand: 100}}
		return Allowances(usage, 100, 1)["high"]
	}
	for waited, limited := range map[time.Duration]bool{0: false, StarvationThreshold - 1: false, StarvationThreshold: true, 3*StarvationThreshold/2 + 1: true, 15 * StarvationThreshold / 8: false, 2 * StarvationThreshold: true} {
		if a := allowance(waited); math.IsInf(a.Headroom, 1) == limited {
			t.Errorf("after %v: headroom %v of the other class", waited, a.Headroom)
		}
	}
}
