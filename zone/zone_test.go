package zone

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/seeded"
)

var times = Times{Lost: 9 * time.Second, Calm: 5 * time.Second, Empty: time.Minute}

func seen(all, silent int, heard api.Wall) Sight {
	return Weigh([]Witness{{"a": {All: all, Silent: silent, Heard: heard}, "b": {All: 20}}}, "a")
}

// A zone's story: silent, lost, heard again, whole; and what is remembered of it.
func TestZoneIsLostAndComesBack(t *testing.T) {
	const s = api.Wall(1000)
	var r Record
	step := func(at api.Wall, sight Sight, calm time.Duration, want State) {
		t.Helper()
		r = r.Next(at*s, sight, calm, times, []api.PartID{2, 1})
		if r.State != want {
			t.Fatalf("at %d s: %q, expected %q", at, r.State, want)
		}
	}
	step(10, seen(10, 0, 0), time.Minute, Whole)
	step(15, seen(10, 3, 9*s), 0, Whole)
	step(16, seen(10, 4, 10*s), 0, Doubtful)
	step(18, seen(10, 10, 11*s), 0, Doubtful)
	step(19, seen(10, 2, 11*s), time.Second, Doubtful)
	step(20, seen(10, 10, 11*s), 0, Lost)
	if r.Heard != 11*s || !slices.Equal(r.Inside, []api.PartID{1, 2}) {
		t.Errorf("lost: %+v", r)
	}
	step(40, seen(6, 6, 11*s), 0, Lost)
	step(60, seen(6, 5, 11*s), 0, Lost)
	step(61, seen(6, 1, 11*s), 0, Returning)
	if len(r.Past) != 1 || r.Past[0] != 50 {
		t.Errorf("it was silent for 50 s: %v", r.Past)
	}
	step(63, seen(6, 3, 11*s), 0, Returning)
	step(67, seen(6, 3, 62*s), 0, Lost)
	step(80, seen(6, 0, 0), 0, Returning)
	step(86, seen(6, 0, 0), 6*time.Second, Whole)
	if r.Heard != 0 || len(r.Inside) != 0 || len(r.Past) != 2 {
		t.Errorf("whole: %+v", r)
	}
	// A short silence is remembered too; a writer that hears nobody changes nothing.
	step(100, seen(6, 6, 99*s), 0, Doubtful)
	deaf := Weigh([]Witness{{"a": {All: 6, Silent: 6}, "b": {All: 9, Silent: 8}}}, "a")
	step(120, deaf, 0, Doubtful)
	step(121, seen(6, 0, 0), 5*time.Second, Whole)
	if len(r.Past) != 3 || r.Past[2] != 22 {
		t.Errorf("it was silent for 22 s: %v", r.Past)
	}
	// Nothing is left in it that could be heard: it may be tried again.
	step(200, seen(6, 6, 198*s), 0, Doubtful)
	step(210, seen(6, 6, 198*s), 0, Lost)
	step(260, seen(0, 0, 0), 0, Lost)
	step(271, seen(0, 0, 0), 0, Returning)
	step(272, seen(0, 0, 0), time.Minute, Returning)
	step(300, seen(2, 2, 0), 0, Lost)
	step(361, seen(0, 0, 0), 0, Returning)
	step(400, seen(2, 0, 0), 5*time.Second, Whole)
}

// Who hears nobody says nothing; one controller alone makes no zone mute; half a zone does;
// and the order of the witnesses bears on nothing.
func TestWitnessesAreWeighed(t *testing.T) {
	whole, half, cut := Count{All: 9}, Count{All: 9, Silent: 5, Heard: 4}, Count{All: 9, Silent: 9, Heard: 6}
	for _, tc := range []struct {
		what        string
		ws          []Witness
		known, mute bool
	}{
		{"nobody tells", nil, false, false},
		{"all hear", []Witness{{"a": whole, "b": whole}, {"a": whole}}, true, false},
		{"all do not", []Witness{{"a": cut, "b": whole}, {"a": cut, "b": whole}}, true, true},
		{"one that hears nobody beside two that hear all", []Witness{{"a": cut, "b": cut}, {"a": whole, "b": whole}, {"a": whole, "b": whole}}, true, false},
		{"one that hears nobody, alone", []Witness{{"a": cut, "b": cut}}, false, false},
		{"one of three does not hear this zone", []Witness{{"a": cut, "b": whole}, {"a": whole, "b": whole}, {"a": whole, "b": whole}}, true, false},
		{"two of three do not hear this zone", []Witness{{"a": cut, "b": whole}, {"a": cut, "b": whole}, {"a": whole, "b": whole}}, true, true},
		{"half of it is silent to all", []Witness{{"a": half, "b": whole}, {"a": half, "b": whole}}, true, true},
		{"all zones but one are cut off", []Witness{{"a": cut, "b": cut, "c": whole}}, true, true},
		{"one machine of it", []Witness{{"a": {All: 1, Silent: 1}, "b": whole}}, true, false},
	} {
		s := Weigh(tc.ws, "a")
		if s.Known != tc.known || s.Mute != tc.mute {
			t.Errorf("%s: known %v, mute %v", tc.what, s.Known, s.Mute)
		}
		back := slices.Clone(tc.ws)
		slices.Reverse(back)
		if Weigh(back, "a") != s {
			t.Errorf("%s: another order gives %v, not %v", tc.what, Weigh(back, "a"), s)
		}
	}
}

// The chance is learned: it falls with how long is asked for, and past cuts bend it.
func TestChancesAreLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{Past: rapid.SliceOfN(rapid.Float64Range(1, 300), 0, maxPast).Draw(t, "past")}
		lasted := rapid.Float64Range(1, 100).Draw(t, "lasted")
		a := rapid.Float64Range(1, 300).Draw(t, "a")
		b := a + rapid.Float64Range(0, 300).Draw(t, "more")
		pa, pb := r.Outlasts(a, lasted), r.Outlasts(b, lasted)
		if pa < pb || pa > 1 || pb < 0 {
			t.Fatalf("%v to outlast %v, %v to outlast %v", pa, a, pb, b)
		}
		if rem := r.Remaining(lasted); rem <= 0 {
			t.Fatalf("%v remain", rem)
		}
	})
	short := Record{Past: []float64{25, 28, 30}}
	if p := short.Outlasts(45, 20); p > 0.15 {
		t.Errorf("three cuts ended before: %v", p)
	}
	if p := (Record{}).Outlasts(45, 20); p < 0.44 || p > 0.45 {
		t.Errorf("nothing known: %v", p)
	}
	if rem := (Record{Past: []float64{120}}).Remaining(60); rem != 60 {
		t.Errorf("remaining %v", rem)
	}
}

func drawSpec(t *rapid.T, ref api.JobRef) *api.JobSpec {
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

// Over random clusters: what a plan says has a place does have one, with all of it together
// within room, scatter, together, zone and type; nothing in the lost zone is counted on; the
// order of what it was told bears on nothing; and the more is missed, the earlier.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Zones: map[api.JobRef]map[api.Zone]int{}, Urgent: api.High.Rank(), Most: rapid.IntRange(1, 40).Draw(t, "most"),
			Remaining: func(api.Zone) float64 { return 60 }}
		for range rapid.IntRange(0, 10).Draw(t, "rooms") {
			free := rapid.IntRange(0, 8).Draw(t, "free")
			could := free + rapid.IntRange(0, 8-free).Draw(t, "could")
			in.Rooms = append(in.Rooms, Room{Type: "c8", Zone: rapid.SampledFrom([]api.Zone{"b", "c"}).Draw(t, "zone"),
				Free: api.Resources{CPU: api.ToAmount(float64(free)), Mem: api.ToAmount(8)}, Could: api.Resources{CPU: api.ToAmount(float64(could)), Mem: api.ToAmount(8)},
				Count: rapid.IntRange(1, 3).Draw(t, "count")})
		}
		specs := map[api.JobRef]*api.JobSpec{}
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			s := drawSpec(t, api.JobRef([]string{"run-1", "run-2", "run-3", "run-4", "run-5", "run-6"}[i]))
			specs[s.Ref] = s
			in.Zones[s.Ref] = map[api.Zone]int{}
			lost := rapid.IntRange(1, s.Tasks).Draw(t, "lost")
			for range s.Tasks - lost {
				z := rapid.SampledFrom([]api.Zone{"b", "c"}).Draw(t, "other")
				if in.Zones[s.Ref][z] < (s.Tasks+1)/2 && (!s.OneZone || len(in.Zones[s.Ref]) == 0 || in.Zones[s.Ref][z] > 0) {
					in.Zones[s.Ref][z]++
				}
			}
			for k := range lost {
				task := Task{ID: api.TaskID{Job: s.Ref, Index: k}, Spec: s, Demand: s.Demand(), Alive: s.Tasks - lost,
					Slack: rapid.Float64Range(0, 100).Draw(t, "slack"), Entitled: rapid.Bool().Draw(t, "entitled")}
				if rapid.IntRange(0, 3).Draw(t, "waits") == 0 {
					in.Before = append(in.Before, task)
					continue
				}
				in.Machines = append(in.Machines, Machine{ID: api.MachineID("i-" + task.ID.String()), Zone: "a",
					Capacity: api.Resources{CPU: api.ToAmount(8), Mem: api.ToAmount(8)}, Boot: 20, Tasks: []Task{task}})
			}
		}
		plan := Plan(in)
		if len(plan) > in.Most {
			t.Fatalf("%d machines, %d at most", len(plan), in.Most)
		}
		again := *in
		again.Machines, again.Before, again.Rooms = slices.Clone(in.Machines), slices.Clone(in.Before), slices.Clone(in.Rooms)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "shuffle"), 1))
		rnd.Shuffle(len(again.Machines), func(i, j int) {
			again.Machines[i], again.Machines[j] = again.Machines[j], again.Machines[i]
		})
		rnd.Shuffle(len(again.Before), func(i, j int) { again.Before[i], again.Before[j] = again.Before[j], again.Before[i] })
		other := Plan(&again)
		if len(other) != len(plan) {
			t.Fatalf("told in another order, %d machines instead of %d", len(other), len(plan))
		}
		for i := range plan {
			if plan[i].Machine != other[i].Machine {
				t.Fatalf("told in another order, %v instead of %v", other[i], plan[i])
			}
		}
		// All that is counted on together: room by zone, and each job's own bounds.
		took, room := map[api.Zone]api.Amount{}, map[api.Zone]api.Amount{}
		for _, r := range in.Rooms {
			room[r.Zone] += r.Could.CPU * api.Amount(r.Count)
		}
		byID := map[api.MachineID]Machine{}
		for _, m := range in.Machines {
			byID[m.ID] = m
		}
		zones := map[api.JobRef]map[api.Zone]int{}
		var last *Task
		for _, g := range plan {
			m := byID[g.Machine]
			if len(g.Placed) > 0 {
				if last != nil && Before(&m.Tasks[0], last) < 0 {
					t.Fatalf("%v after %v", m.Tasks[0].ID, last.ID)
				}
				last = &m.Tasks[0]
			}
			for _, p := range g.Placed {
				s := specs[p.Task.Job]
				took[p.Zone] += s.Demand().CPU
				if zones[s.Ref] == nil {
					zones[s.Ref] = map[api.Zone]int{}
					for z, n := range in.Zones[s.Ref] {
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
		for z, cpus := range took {
			if cpus > room[z] {
				t.Fatalf("%v of %v in %s", cpus, room[z], z)
			}
		}
	})
}

// Before is a total order.
func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ts []Task
		for i := range 3 {
			s := drawSpec(t, rapid.SampledFrom([]api.JobRef{"run-1", "run-2"}).Draw(t, "ref"))
			ts = append(ts, Task{ID: api.TaskID{Job: s.Ref, Index: i}, Spec: s, Demand: s.Demand(), Alive: rapid.IntRange(0, s.Tasks).Draw(t, "alive"),
				Slack: float64(rapid.IntRange(0, 2).Draw(t, "slack")), Entitled: rapid.Bool().Draw(t, "entitled")})
		}
		a, b, c := &ts[0], &ts[1], &ts[2]
		if Before(a, b) == 0 || Before(a, b) != -Before(b, a) {
			t.Fatalf("%v and %v: %d, %d", a.ID, b.ID, Before(a, b), Before(b, a))
		}
		if Before(a, b) < 0 && Before(b, c) < 0 && Before(a, c) > 0 {
			t.Fatal("not transitive")
		}
	})
}

// What is missed decides, and for how long: a replica is worth a machine at once, a few
// tasks of an array only when the zone is likely to stay away, and what a controller inside
// may keep alive stays longer.
func TestWhatIsGivenUp(t *testing.T) {
	spec := func(kind api.Kind, p api.Priority) *api.JobSpec {
		return &api.JobSpec{Ref: "run-1", Kind: kind, Priority: p, Team: "red", Tasks: 4, CPUs: 2, MemGB: 1}
	}
	slack := Forever
	given := func(s *api.JobSpec, tasks int, room float64, inside bool, remaining float64) bool {
		m := Machine{ID: "i-1", Zone: "a", Capacity: api.Resources{CPU: api.ToAmount(16)}, Boot: 50, Inside: inside}
		for i := range tasks {
			m.Tasks = append(m.Tasks, Task{ID: api.TaskID{Job: "run-1", Index: i}, Spec: s, Demand: s.Demand(), Slack: slack})
		}
		r := api.Resources{CPU: api.ToAmount(room), Mem: api.ToAmount(64)}
		return len(Plan(&Input{Machines: []Machine{m}, Rooms: []Room{{Type: "c", Zone: "b", Free: r, Could: r, Count: 1}},
			Urgent: 2, Most: 9, Remaining: func(api.Zone) float64 { return remaining }})) == 1
	}
	web, batch := spec(api.Service, api.Production), spec(api.Array, api.Normal)
	late := func() bool {
		slack = 20
		defer func() { slack = Forever }()
		return given(batch, 4, 8, false, 31)
	}
	for _, tc := range []struct {
		what string
		got  bool
		want bool
	}{
		{"four tasks of an array that would be late", late(), true},
		{"a replica that has a place", given(web, 1, 8, false, 31), true},
		{"a replica that has none", given(web, 1, 1, false, 31), false},
		{"a replica that may live inside", given(web, 1, 8, true, 31), false},
		{"the same, much later", given(web, 1, 8, true, 150), true},
		{"one task of an array", given(batch, 1, 8, false, 31), false},
		{"four tasks of an array", given(batch, 4, 8, false, 31), false},
		{"four, when it may last", given(batch, 4, 8, false, 80), true},
		{"nothing, for long", given(batch, 0, 0, false, 201), true},
		{"nothing, not for so long", given(batch, 0, 0, false, 199), false},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: given up %v", tc.what, tc.got)
		}
	}
}

// When all give way by as much as they may, each still has half of its fair part, or what
// it had before; and the floors together leave half of the room to whoever is more urgent.
func TestFloorsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(1, 1000).Draw(t, "room")
		held, wanted, kept := map[int]Held{}, 0.0, 0.0
		left := room
		for k := range rapid.IntRange(1, 6).Draw(t, "classes") {
			h := Held{Has: rapid.Float64Range(0, left).Draw(t, "has")}
			left -= h.Has
			h.Wants = h.Has + rapid.Float64Range(0, 2000).Draw(t, "more")
			held[k] = h
			wanted += h.Wants
		}
		for k, d := range Floors(held, room, 1) {
			h := held[k]
			if math.Abs(d.Lacks-max(0, Floor*min(room, wanted)*max(h.Has, h.Wants)/max(wanted, 1e-12)-h.Has)) > 1e-6 {
				t.Fatalf("%+v lacks %v", h, d.Lacks)
			}
			floor := Floor * min(room, wanted) * h.Wants / max(wanted, 1e-12)
			if d.Spare < 0 || d.Spare > h.Has || h.Has-d.Spare < min(h.Has, floor)-1e-6 {
				t.Fatalf("%+v may give %v, its floor is %v", h, d.Spare, floor)
			}
			lacked := 0.0 // by the others
			for other, o := range held {
				if other != k {
					lacked += max(0, Floor*min(room, wanted)*o.Wants/max(wanted, 1e-12)-o.Has)
				}
			}
			if lacked > 1e-6 && d.May > max(0, left-lacked)+1e-6 {
				t.Fatalf("%+v may take %v of %v, the others lack %v", h, d.May, left, lacked)
			}
			if lacked == 0 && d.May < left {
				t.Fatalf("nobody lacks anything, and %+v may take %v of %v", h, d.May, left)
			}
			kept += floor
		}
		if kept > Floor*room+1e-6 {
			t.Fatalf("%v of %v are kept", kept, room)
		}
	})
}

// Outside a zone's loss a floor is kept for who has waited for long; others take what they find
// until then, and some of the time after it.
func TestFloorsForWhoStarves(t *testing.T) {
	see := func(waited time.Duration) Due {
		held := map[string]Held{"low": {Has: 5, Wants: 100, Patient: !Starved(waited)}, "high": {Has: 95, Wants: 100}}
		return Floors(held, 100, 1)["high"]
	}
	for waited, kept := range map[time.Duration]bool{0: false, Patience - 1: false, Patience: true, 3*Patience/2 + 1: true, 15 * Patience / 8: false, 2 * Patience: true} {
		if d := see(waited); math.IsInf(d.May, 1) == kept {
			t.Errorf("after %v the others may take %v", waited, d.May)
		}
	}
}
