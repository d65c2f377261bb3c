package sched

import (
	"fmt"
	"testing"

	"basaltwall/api"
)

// Replicas of a service wait a few rounds for free capacity on a machine that has their image
// instead of starting on machines with a long fetch. Without such capacity they start with a long
// fetch. Jobs without a start objective don't wait.
func TestReplicasWaitForCachedImage(t *testing.T) {
	round := func(kind api.Kind, freeCPU api.Quantity) (cached, uncached int) {
		s := &api.JobSpec{Ref: "run-1", Team: "red", Kind: kind, Priority: api.Production, Tasks: 4, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 3}
		in := &Input{LargestCapacity: api.Resources{CPU: 16e6, Mem: 64e6}, MaxStarts: 100, RemainingQuota: map[api.Team]api.Resources{"red": {CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}},
			Jobs: []Job{{Spec: s, Demand: s.Demand(), Pending: []int{0, 1, 2, 3}, StartSLO: 3}}}
		for i := range 5 {
			m := Machine{ID: api.MachineID(fmt.Sprintf("i-%d", i)), Type: "t", Zone: "a", Free: api.Resources{CPU: 16e6, Mem: 64e6}, FetchRate: 0.2}
			if i == 0 {
				m.Free.CPU, m.CachedImages = freeCPU, map[api.Image]CachedImage{"img": {SizeGB: 3}}
			}
			in.Machines = append(in.Machines, m)
		}
		for _, p := range PlanRound(in) {
			if p.MachineIndex == 0 {
				cached++
			} else {
				uncached++
			}
		}
		return cached, uncached
	}
	if cached, uncached := round(api.Service, 16e6); cached != 1 || uncached != 0 {
		t.Errorf("free capacity on the machine with the image: %d placed there, %d elsewhere", cached, uncached)
	}
	if cached, uncached := round(api.Service, 2e6); cached != 1 || uncached != 3 {
		t.Errorf("too little capacity on the machine with the image: %d placed there, %d elsewhere", cached, uncached)
	}
	if cached, uncached := round(api.Array, 16e6); cached+uncached != 4 {
		t.Errorf("array: %d placed on the machine with the image, %d elsewhere", cached, uncached)
	}
}

// A fetch in progress shortens the remaining fetch time.
func TestFetchTime(t *testing.T) {
	s := &api.JobSpec{Image: "img", ImageGB: 2}
	m := Machine{FetchRate: 0.5, FetchingImages: []ImageFetch{{Name: "other", SizeGB: 1, ElapsedSeconds: 1}}}
	if got := m.FetchTime(s); got != 6 {
		t.Errorf("with another fetch in progress: %v s", got)
	}
	m.FetchingImages = append(m.FetchingImages, ImageFetch{Name: "img", SizeGB: 2, ElapsedSeconds: 4})
	if got := m.FetchTime(s); got != 2 {
		t.Errorf("fetch started 4 s ago: %v s", got)
	}
	m.FetchingImages[1].ElapsedSeconds = 60
	if got := m.FetchTime(s); got != 0 {
		t.Errorf("overdue fetch: %v s", got)
	}
}

// Replicas wait for a booting machine instead of a longer fetch. If no machine boots, they start
// with the long fetch.
func TestReplicasWaitForBootingMachine(t *testing.T) {
	for _, tc := range []struct {
		newMachineSeconds float64
		want              int
	}{{0, 1}, {30, 0}, {60, 1}} {
		s := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Service, Priority: api.Production, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 2}
		in := &Input{LargestCapacity: api.Resources{CPU: 16e6, Mem: 64e6}, MaxStarts: 100, RemainingQuota: map[api.Team]api.Resources{"red": {CPU: 1 << 50, GPU: 1 << 50, Mem: 1 << 50}},
			Machines: []Machine{{ID: "i-1", Type: "t", Zone: "a", Free: api.Resources{CPU: 16e6, Mem: 64e6}, FetchRate: 0.2, FetchingImages: []ImageFetch{{Name: "other", SizeGB: 8}}}},
			Jobs:     []Job{{Spec: s, Demand: s.Demand(), Pending: []int{0}, StartSLO: 3, NewMachineSeconds: tc.newMachineSeconds}}}
		if got := len(PlanRound(in)); got != tc.want {
			t.Errorf("fetch of 50 s, booting machine in %v s: %d placed", tc.newMachineSeconds, got)
		}
	}
}
