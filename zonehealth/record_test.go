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

var thresholds = Thresholds{FailAfter: 9 * time.Second, HealthyAfter: 5 * time.Second, RetryEmptyAfter: time.Minute}

func assess(all, silent int, lastHeartbeat api.WallTime) Assessment {
	return Assess([]Observation{{"a": {All: all, Silent: silent, Heard: lastHeartbeat}, "b": {All: 20}}}, "a")
}

// A zone's states in order: suspect, failed, recovering, healthy; and the outages that are remembered.
func TestZoneFailsAndRecovers(t *testing.T) {
	const s = api.WallTime(1000)
	var r Record
	step := func(at api.WallTime, assessment Assessment, healthyFor time.Duration, want State) {
		t.Helper()
		r = r.Next(at*s, assessment, healthyFor, thresholds, []api.PartitionID{2, 1})
		if r.State != want {
			t.Fatalf("at %d s: %q, expected %q", at, r.State, want)
		}
	}
	step(10, assess(10, 0, 0), time.Minute, Healthy)
	step(15, assess(10, 3, 9*s), 0, Healthy)
	step(16, assess(10, 4, 10*s), 0, Suspect)
	step(18, assess(10, 10, 11*s), 0, Suspect)
	step(19, assess(10, 2, 11*s), time.Second, Suspect)
	step(20, assess(10, 10, 11*s), 0, Failed)
	if r.LastHeartbeat != 11*s || !slices.Equal(r.PartitionsInside, []api.PartitionID{1, 2}) {
		t.Errorf("lost: %+v", r)
	}
	step(40, assess(6, 6, 11*s), 0, Failed)
	step(60, assess(6, 5, 11*s), 0, Failed)
	step(61, assess(6, 1, 11*s), 0, Recovering)
	if len(r.OutageHistory) != 1 || r.OutageHistory[0] != 50 {
		t.Errorf("it was silent for 50 s: %v", r.OutageHistory)
	}
	step(63, assess(6, 3, 11*s), 0, Recovering)
	step(67, assess(6, 3, 62*s), 0, Failed)
	step(80, assess(6, 0, 0), 0, Recovering)
	step(86, assess(6, 0, 0), 6*time.Second, Healthy)
	if r.LastHeartbeat != 0 || len(r.PartitionsInside) != 0 || len(r.OutageHistory) != 2 {
		t.Errorf("whole: %+v", r)
	}
	// A short outage is remembered too; a writer without observations changes nothing.
	step(100, assess(6, 6, 99*s), 0, Suspect)
	isolated := Assess([]Observation{{"a": {All: 6, Silent: 6}, "b": {All: 9, Silent: 8}}}, "a")
	step(120, isolated, 0, Suspect)
	step(121, assess(6, 0, 0), 5*time.Second, Healthy)
	if len(r.OutageHistory) != 3 || r.OutageHistory[2] != 22 {
		t.Errorf("it was silent for 22 s: %v", r.OutageHistory)
	}
	// No machine is left that could send a heartbeat: the zone may be tried again.
	step(200, assess(6, 6, 198*s), 0, Suspect)
	step(210, assess(6, 6, 198*s), 0, Failed)
	step(260, assess(0, 0, 0), 0, Failed)
	step(271, assess(0, 0, 0), 0, Recovering)
	step(272, assess(0, 0, 0), time.Minute, Recovering)
	step(300, assess(2, 2, 0), 0, Failed)
	step(361, assess(0, 0, 0), 0, Recovering)
	step(400, assess(2, 0, 0), 5*time.Second, Healthy)
}

// An isolated observer has no vote; a single controller makes no zone unreachable; half of them do;
// and the order of the observations has no effect.
func TestObservationsAreAssessed(t *testing.T) {
	healthy, half, unreachable := MachineCount{All: 9}, MachineCount{All: 9, Silent: 5, Heard: 4}, MachineCount{All: 9, Silent: 9, Heard: 6}
	for _, tc := range []struct {
		what        string
		ws          []Observation
		known, mute bool
	}{
		{"nobody tells", nil, false, false},
		{"all hear", []Observation{{"a": healthy, "b": healthy}, {"a": healthy}}, true, false},
		{"all do not", []Observation{{"a": unreachable, "b": healthy}, {"a": unreachable, "b": healthy}}, true, true},
		{"one that hears nobody beside two that hear all", []Observation{{"a": unreachable, "b": unreachable}, {"a": healthy, "b": healthy}, {"a": healthy, "b": healthy}}, true, false},
		{"one that hears nobody, alone", []Observation{{"a": unreachable, "b": unreachable}}, false, false},
		{"one of three does not hear this zone", []Observation{{"a": unreachable, "b": healthy}, {"a": healthy, "b": healthy}, {"a": healthy, "b": healthy}}, true, false},
		{"two of three do not hear this zone", []Observation{{"a": unreachable, "b": healthy}, {"a": unreachable, "b": healthy}, {"a": healthy, "b": healthy}}, true, true},
		{"half of it is silent to all", []Observation{{"a": half, "b": healthy}, {"a": half, "b": healthy}}, true, true},
		{"all zones but one are cut off", []Observation{{"a": unreachable, "b": unreachable, "c": healthy}}, true, true},
		{"one machine of it", []Observation{{"a": {All: 1, Silent: 1}, "b": healthy}}, true, false},
	} {
		s := Assess(tc.ws, "a")
		if s.Observed != tc.known || s.Unreachable != tc.mute {
			t.Errorf("%s: known %v, mute %v", tc.what, s.Observed, s.Unreachable)
		}
		back := slices.Clone(tc.ws)
		slices.Reverse(back)
		if Assess(back, "a") != s {
			t.Errorf("%s: another order gives %v, not %v", tc.what, Assess(back, "a"), s)
		}
	}
}

// The probability is learned: it falls with the duration asked for, and past outages change it.
func TestOutageProbabilitiesAreLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{OutageHistory: rapid.SliceOfN(rapid.Float64Range(1, 300), 0, maxOutageHistory).Draw(t, "past")}
		lasted := rapid.Float64Range(1, 100).Draw(t, "lasted")
		a := rapid.Float64Range(1, 300).Draw(t, "a")
		b := a + rapid.Float64Range(0, 300).Draw(t, "more")
		pa, pb := r.OutlastProbability(a, lasted), r.OutlastProbability(b, lasted)
		if pa < pb || pa > 1 || pb < 0 {
			t.Fatalf("%v to outlast %v, %v to outlast %v", pa, a, pb, b)
		}
		if rem := r.ExpectedRemaining(lasted); rem <= 0 {
			t.Fatalf("%v remain", rem)
		}
	})
	short := Record{OutageHistory: []float64{25, 28, 30}}
	if p := short.OutlastProbability(45, 20); p > 0.15 {
		t.Errorf("three cuts ended before: %v", p)
	}
	if p := (Record{}).OutlastProbability(45, 20); p < 0.44 || p > 0.45 {
		t.Errorf("nothing known: %v", p)
	}
	if rem := (Record{OutageHistory: []float64{120}}).ExpectedRemaining(60); rem != 60 {
		t.Errorf("remaining %v", rem)
	}
}

func drawSpec(t *rapid.T, ref api.JobID) *api.JobSpec {
	s := &api.JobSpec{Ref: ref, Class: "c", Team: rapid.SampledFrom([]api.Team{"red", "blue"}).Draw(t, "team"),
		Kind:     rapid.SampledFrom([]api.Kind{api.Array, api.Gang, api.Service}).Draw(t, "kind"),
		Priority: rapid.SampledFrom([]api.Priority{api.Low, api.Normal, api.High, api.Production}).Draw(t, "priority"),
		Tasks:    rapid.IntRange(1, 9).Draw(t, "tasks"), CPUs: float64(rapid.IntRange(1, 6).Draw(t, "cpus")), MemGB: 1, Image: "i"}
	if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
		s.Zone = "a"
	}
	s.Spread = rapid.Bool().Draw(t, "spread")
	s.OneZone = !s.Spread && rapid.Bool().Draw(t, "together")
	return s
}

// Over random clusters: the placements of a plan exist, all of them together
// within capacity, zone constraints and machine types; nothing in the failed zone is used; the
// order of the input has no effect; and the more urgent go first.
func TestEvacuationPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{PlacedByZone: map[api.JobID]map[api.Zone]int{}, PreemptingRank: api.High.Rank(), MaxMachines: rapid.IntRange(1, 40).Draw(t, "most"),
			ExpectedOutage: func(api.Zone) float64 { return 60 }}
		for range rapid.IntRange(0, 10).Draw(t, "rooms") {
			free := rapid.IntRange(0, 8).Draw(t, "free")
			could := free + rapid.IntRange(0, 8-free).Draw(t, "could")
			in.FreeCapacity = append(in.FreeCapacity, FreeCapacity{Type: "c8", Zone: rapid.SampledFrom([]api.Zone{"b", "c"}).Draw(t, "zone"),
				Free: api.Resources{CPU: api.ToQuantity(float64(free)), Mem: api.ToQuantity(8)}, FreeAfterPreemption: api.Resources{CPU: api.ToQuantity(float64(could)), Mem: api.ToQuantity(8)},
				Count: rapid.IntRange(1, 3).Draw(t, "count")})
		}
		specs := map[api.JobID]*api.JobSpec{}
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			s := drawSpec(t, api.JobID([]string{"run-1", "run-2", "run-3", "run-4", "run-5", "run-6"}[i]))
			specs[s.Ref] = s
			in.PlacedByZone[s.Ref] = map[api.Zone]int{}
			lost := rapid.IntRange(1, s.Tasks).Draw(t, "lost")
			for range s.Tasks - lost {
				z := rapid.SampledFrom([]api.Zone{"b", "c"}).Draw(t, "other")
				if in.PlacedByZone[s.Ref][z] < (s.Tasks+1)/2 && (!s.OneZone || len(in.PlacedByZone[s.Ref]) == 0 || in.PlacedByZone[s.Ref][z] > 0) {
					in.PlacedByZone[s.Ref][z]++
				}
			}
			for k := range lost {
				task := Task{ID: api.TaskID{Job: s.Ref, Index: k}, Spec: s, Demand: s.Demand(), RunningElsewhere: s.Tasks - lost,
					SlackSeconds: rapid.Float64Range(0, 100).Draw(t, "slack"), WithinGuarantee: rapid.Bool().Draw(t, "entitled")}
				if rapid.IntRange(0, 3).Draw(t, "waits") == 0 {
					in.PendingTasks = append(in.PendingTasks, task)
					continue
				}
				in.Machines = append(in.Machines, Machine{ID: api.MachineID("i-" + task.ID.String()), Zone: "a",
					Capacity: api.Resources{CPU: api.ToQuantity(8), Mem: api.ToQuantity(8)}, BootSeconds: 20, Tasks: []Task{task}})
			}
		}
		plan := PlanEvacuation(in)
		if len(plan) > in.MaxMachines {
			t.Fatalf("%d machines, %d at most", len(plan), in.MaxMachines)
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
			t.Fatalf("told in another order, %d machines instead of %d", len(other), len(plan))
		}
		for i := range plan {
			if plan[i].Machine != other[i].Machine {
				t.Fatalf("told in another order, %v instead of %v", other[i], plan[i])
			}
		}
		// All placements together: capacity by zone, and each job's own constraints.
		used, capacity := map[api.Zone]api.Quantity{}, map[api.Zone]api.Quantity{}
		for _, r := range in.FreeCapacity {
			capacity[r.Zone] += r.FreeAfterPreemption.CPU * api.Quantity(r.Count)
		}
		byID := map[api.MachineID]Machine{}
		for _, m := range in.Machines {
			byID[m.ID] = m
		}
		zones := map[api.JobID]map[api.Zone]int{}
		var last *Task
		for _, g := range plan {
			m := byID[g.Machine]
			if len(g.Placements) > 0 {
				if last != nil && CompareTasks(&m.Tasks[0], last) < 0 {
					t.Fatalf("%v after %v", m.Tasks[0].ID, last.ID)
				}
				last = &m.Tasks[0]
			}
			for _, p := range g.Placements {
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
					t.Fatalf("%s in %s", p.Task, p.Zone)
				}
				if s.Spread && zones[s.Ref][p.Zone] > (s.Tasks+1)/2 || s.OneZone && len(zones[s.Ref]) > 1 {
					t.Fatalf("%s: %v of %d tasks", s.Ref, zones[s.Ref], s.Tasks)
				}
			}
		}
		for z, cpus := range used {
			if cpus > capacity[z] {
				t.Fatalf("%v of %v in %s", cpus, capacity[z], z)
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
			ts = append(ts, Task{ID: api.TaskID{Job: s.Ref, Index: i}, Spec: s, Demand: s.Demand(), RunningElsewhere: rapid.IntRange(0, s.Tasks).Draw(t, "alive"),
				SlackSeconds: float64(rapid.IntRange(0, 2).Draw(t, "slack")), WithinGuarantee: rapid.Bool().Draw(t, "entitled")})
		}
		a, b, c := &ts[0], &ts[1], &ts[2]
		if CompareTasks(a, b) == 0 || CompareTasks(a, b) != -CompareTasks(b, a) {
			t.Fatalf("%v and %v: %d, %d", a.ID, b.ID, CompareTasks(a, b), CompareTasks(b, a))
		}
		if CompareTasks(a, b) < 0 && CompareTasks(b, c) < 0 && CompareTasks(a, c) > 0 {
			t.Fatal("not transitive")
		}
	})
}

// What the tasks cost by waiting decides, and for how long: a replica is worth a machine at once, a few
// tasks of an array only if the zone is likely to be out for long, and what a controller inside
// may keep alive stays longer.
func TestEvacuationDecision(t *testing.T) {
	spec := func(kind api.Kind, p api.Priority) *api.JobSpec {
		return &api.JobSpec{Ref: "run-1", Kind: kind, Priority: p, Team: "red", Tasks: 4, CPUs: 2, MemGB: 1}
	}
	slack := NoDeadline
	evacuated := func(s *api.JobSpec, tasks int, freeCPU float64, inside bool, remaining float64) bool {
		m := Machine{ID: "i-1", Zone: "a", Capacity: api.Resources{CPU: api.ToQuantity(16)}, BootSeconds: 50, ControllerInside: inside}
		for i := range tasks {
			m.Tasks = append(m.Tasks, Task{ID: api.TaskID{Job: "run-1", Index: i}, Spec: s, Demand: s.Demand(), SlackSeconds: slack})
		}
		r := api.Resources{CPU: api.ToQuantity(freeCPU), Mem: api.ToQuantity(64)}
		return len(PlanEvacuation(&Input{Machines: []Machine{m}, FreeCapacity: []FreeCapacity{{Type: "c", Zone: "b", Free: r, FreeAfterPreemption: r, Count: 1}},
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
		{"four tasks of an array that would be late", late(), true},
		{"a replica that has a place", evacuated(web, 1, 8, false, 31), true},
		{"a replica that has none", evacuated(web, 1, 1, false, 31), false},
		{"a replica that may live inside", evacuated(web, 1, 8, true, 31), false},
		{"the same, much later", evacuated(web, 1, 8, true, 150), true},
		{"one task of an array", evacuated(batch, 1, 8, false, 31), false},
		{"four tasks of an array", evacuated(batch, 4, 8, false, 31), false},
		{"four, when it may last", evacuated(batch, 4, 8, false, 80), true},
		{"nothing, for long", evacuated(batch, 0, 0, false, 201), true},
		{"nothing, not for so long", evacuated(batch, 0, 0, false, 199), false},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: given up %v", tc.what, tc.got)
		}
	}
}

// When all are preempted by as much as they may be, each still has half of its fair share, or what
// it had before; and the floors together leave half of the capacity to more urgent work.
func TestFloorsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1000).Draw(t, "room")
		usage, totalDemand, kept := map[int]Usage{}, 0.0, 0.0
		left := capacity
		for k := range rapid.IntRange(1, 6).Draw(t, "classes") {
			h := Usage{Allocated: rapid.Float64Range(0, left).Draw(t, "has")}
			left -= h.Allocated
			h.Demand = h.Allocated + rapid.Float64Range(0, 2000).Draw(t, "more")
			usage[k] = h
			totalDemand += h.Demand
		}
		for k, d := range Allowances(usage, capacity, 1) {
			h := usage[k]
			if math.Abs(d.Shortfall-max(0, DefaultFloorShare*min(capacity, totalDemand)*max(h.Allocated, h.Demand)/max(totalDemand, 1e-12)-h.Allocated)) > 1e-6 {
				t.Fatalf("%+v lacks %v", h, d.Shortfall)
			}
			floor := DefaultFloorShare * min(capacity, totalDemand) * h.Demand / max(totalDemand, 1e-12)
			if d.Preemptible < 0 || d.Preemptible > h.Allocated || h.Allocated-d.Preemptible < min(h.Allocated, floor)-1e-6 {
				t.Fatalf("%+v may give %v, its floor is %v", h, d.Preemptible, floor)
			}
			shortfall := 0.0 // of the others
			for other, o := range usage {
				if other != k {
					shortfall += max(0, DefaultFloorShare*min(capacity, totalDemand)*o.Demand/max(totalDemand, 1e-12)-o.Allocated)
				}
			}
			if shortfall > 1e-6 && d.Headroom > max(0, left-shortfall)+1e-6 {
				t.Fatalf("%+v may take %v of %v, the others lack %v", h, d.Headroom, left, shortfall)
			}
			if shortfall == 0 && d.Headroom < left {
				t.Fatalf("nobody lacks anything, and %+v may take %v of %v", h, d.Headroom, left)
			}
			kept += floor
		}
		if kept > DefaultFloorShare*capacity+1e-6 {
			t.Fatalf("%v of %v are kept", kept, capacity)
		}
	})
}

// Without a zone failure a floor is kept for work that has waited for long; others take what they find
// until then, and some of the time after it.
func TestFloorsForStarvingWork(t *testing.T) {
	allowance := func(waited time.Duration) Allowance {
		usage := map[string]Usage{"low": {Allocated: 5, Demand: 100, NoFloor: !Starving(waited)}, "high": {Allocated: 95, Demand: 100}}
		return Allowances(usage, 100, 1)["high"]
	}
	for waited, kept := range map[time.Duration]bool{0: false, StarvationThreshold - 1: false, StarvationThreshold: true, 3*StarvationThreshold/2 + 1: true, 15 * StarvationThreshold / 8: false, 2 * StarvationThreshold: true} {
		if d := allowance(waited); math.IsInf(d.Headroom, 1) == kept {
			t.Errorf("after %v the others may take %v", waited, d.Headroom)
		}
	}
}
