// Package sched owns one round of placement: gangs whole and first-fit, then
// all other pending tasks together by min-cost flow, within each team's share.
// It is pure: the same input gives the same plan.
package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"basaltwall/api"
	"basaltwall/flow"
	"basaltwall/pack"
)

// Machine is a machine that may take tasks.
type Machine struct {
	ID     api.MachineID
	Type   api.TypeName
	Zone   api.Zone
	Spot   bool
	Free   api.Resources
	GPU    bool    // the type has accelerators
	Closed bool    // only for work that needs its accelerators
	Prompt bool    // such as prompt work needs
	Spare  bool    // more than the load needs: used last, so that it can be returned
	Pace   float64 // how much longer tasks take here than elsewhere; 0: not known
	Images map[api.Image]Cached
	Fetch  float64    // GB per second
	Coming []Image    // that it is fetching: they may share the rate
	Kept   api.JobRef // only for this job, for which others made way or room is gathered
	Soft   bool       // work of a higher rank than KeptOf may use it all the same
	KeptOf int
}

// Stage is how far a job is in the time in which it must begin; see package due.
type Stage int

// The stages. A patient one takes its turn by rank, guarantee and urgency.
const (
	Patient Stage = iota
	Next          // before its equals
	First         // before all
)

// Image is an image that a machine fetches: its size, and for how long it has been fetched,
// in seconds.
type Image struct {
	Name  api.Image
	GB    float64
	Begun float64
}

// Cached is an image that a machine holds, as far as is known.
type Cached struct {
	GB   float64
	Used api.Time
}

// Open reports whether a job may use the machine at all: it may be kept for
// another, be allowed to none but work that needs its accelerators, or have seen
// the job fail. Work without an end would block an accelerator for good.
func (m *Machine) Open(j *Job) bool {
	return (m.Kept == "" || m.Kept == j.Spec.Ref || m.Soft && j.Spec.Priority.Rank() > m.KeptOf) && !(j.Plain && m.GPU && (m.Closed || j.Spec.Kind == api.Service)) &&
		!j.AvoidedBy[m.ID] && Allowed(j.Spec, m.Type, m.Zone, m.Spot)
}

// Has reports whether the machine holds an image.
func (m *Machine) Has(img api.Image) bool {
	_, ok := m.Images[img]
	return ok
}

// FetchTime is how long an image is away from being on the machine, in seconds: as
// long as all that the machine fetches, for they may share the rate.
func (m *Machine) FetchTime(s *api.JobSpec) float64 {
	if m.Fetch <= 0 || m.Has(s.Image) {
		return 0
	}
	gb, begun := s.ImageGB, 0.0
	for _, other := range m.Coming {
		if other.Name == s.Image {
			begun = other.Begun
		} else {
			gb += other.GB
		}
	}
	return max(0, gb/m.Fetch-begun)
}

// Job is a job with pending tasks.
type Job struct {
	Spec      *api.JobSpec
	Demand    api.Resources
	Pending   []int            // task numbers that wait
	Zones     map[api.Zone]int // where its other tasks are
	Urgency   float64          // orders jobs of equal rank, between 0 and 1
	Raised    float64          // by so many priorities rules put it above its own, or below
	Stage     Stage            // of a job that has not begun
	Waited    float64          // for so many seconds, if it is not patient any more
	Reserve   bool             // what it lacks of its team's limit is left to it as it comes free
	Entitled  bool             // within its team's guarantee
	Holds     bool             // what the job takes of pools for itself is held already
	Within    float64          // seconds in which a start is hoped for, 0: no such aim
	Fresh     float64          // seconds until a machine that boots now would have the image; 0: none does
	AvoidedBy map[api.MachineID]bool
	Prompt    bool    // should start sooner than a machine boots
	Plain     bool    // some type without accelerators can take its tasks
	SpotRisk  float64 // how much it would suffer from being taken with a spot machine, between 0 and 1
}

// Input is everything a round looks at.
type Input struct {
	Machines []Machine
	Jobs     []Job
	Left     map[api.Team]api.Resources // what each team may still start here
	Largest  api.Resources              // the largest capacity of any type
	Typical  []pack.Demand              // what work asks for that needs accelerators
	Units    map[api.PoolName]int       // what the part may hand out of pools that jobs need
	Most     int                        // starts at most
}

// Placement puts a task on a machine.
type Placement struct {
	Job, Task, Machine int // indices into Input.Jobs, a task number, into Input.Machines
}

// Allowed reports whether the job may use the machine at all, the job's other
// tasks aside.
func Allowed(s *api.JobSpec, typ api.TypeName, zone api.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneOpen reports whether one more task of the job may go into the zone.
func ZoneOpen(s *api.JobSpec, zones map[api.Zone]int, z api.Zone) bool {
	if s.OneZone {
		for other, n := range zones {
			if n > 0 && other != z {
				return false
			}
		}
	}
	return !s.Spread || zones[z] < (s.Tasks+1)/2
}

// Weights of the edge cost, relative to the dot product, which lies between 0
// and the number of resources. docs/design.md gives the reasons.
const (
	costScale     = 1e6
	baseBonus     = 16.0 // being placed always beats waiting
	rankBonus     = 32.0 // a higher priority outweighs every other term
	nextBonus     = 8.0  // before its equals: more than guarantee and urgency together
	firstBonus    = 5 * rankBonus
	entitledBonus = 4.0
	urgencyBonus  = 2.0
	spotPenalty   = 2.0 // being late for certain outweighs that the machines left are for prompt work
	spotBonus     = 0.3 // what loses little there leaves the other machines to what would lose much
	scarcePenalty = 2.0 // accelerators are kept for work that needs them
	promptPenalty = 0.7 // room for prompt work is left free while there is other
	pieceWeight   = 4.0 // a whole machine that is begun outweighs any dot product, and a fetch
	sparePenalty  = 2.0 // more than any dot product is likely to gain
	slowPace      = 1.3 // machines of a type differ by a tenth; beyond this one is slow
	imageWeight   = 2.0 // a fetch, as a share of what the task takes in all
)

func share(a, of api.Amount) float64 {
	if of <= 0 {
		return 0
	}
	return float64(a) / float64(of)
}

// edgeCost is the paper's dot product with the users' world added as terms.
func edgeCost(in *Input, j *Job, m *Machine, free api.Resources) int64 {
	dp := share(j.Demand.CPU, in.Largest.CPU)*share(free.CPU, in.Largest.CPU) +
		share(j.Demand.GPU, in.Largest.GPU)*share(free.GPU, in.Largest.GPU) +
		share(j.Demand.Mem, in.Largest.Mem)*share(free.Mem, in.Largest.Mem)
	gain := dp + baseBonus + rankBonus*j.level() + urgencyBonus*j.Urgency
	if j.Entitled {
		gain += entitledBonus
	}
	switch j.Stage {
	case Next:
		gain += nextBonus
	case First:
		gain += firstBonus
	}
	if m.Pace > slowPace {
		gain -= m.Pace - 1
	}
	if m.GPU && j.Plain {
		gain -= scarcePenalty
	}
	if m.Prompt && !j.Prompt && !j.Plain {
		gain -= promptPenalty
	}
	if m.GPU && len(in.Typical) > 0 {
		gain -= pieceWeight * pack.Made(free, j.Demand, in.Typical) / max(1, in.Largest.GPU.Float())
	}
	if m.Spare {
		gain -= sparePenalty
	}
	if m.Spot {
		gain += spotBonus - spotPenalty*j.SpotRisk
	}
	if fetch := m.FetchTime(j.Spec); fetch > 0 {
		if late := fetch / j.Within; j.Within > 0 {
			// Late is late, but what should always run is missed for as long as it fetches.
			gain -= min(1, late) + math.Log(max(1, late))
		} else {
			gain -= imageWeight * fetch / (fetch + j.Spec.Estimate + 1)
		}
	}
	return -int64(gain * costScale)
}

// InUnits is how many tasks of the job, so many at most, what is left of pools allows: of a
// gang all or none.
func (j *Job) InUnits(units map[api.PoolName]int, tasks int) int {
	most := tasks
	for _, n := range j.Spec.Needs {
		left := units[n.Pool]
		if !j.Holds {
			left -= n.Job
		}
		if left < 0 || n.Task > 0 && left < n.Task {
			return 0
		}
		if n.Task > 0 {
			tasks = min(tasks, left/n.Task)
		}
	}
	if j.Spec.Kind == api.Gang && tasks < most {
		return 0
	}
	return max(0, tasks)
}

// TakeUnits takes what so many tasks of the job need off what is left of pools.
func (j *Job) TakeUnits(units map[api.PoolName]int, tasks int) {
	for _, n := range j.Spec.Needs {
		units[n.Pool] -= n.Units(tasks, j.Holds)
	}
}

// Round plans a round.
func Round(in *Input) []Placement {
	var plan []Placement
	free := make([]api.Resources, len(in.Machines))
	for i, m := range in.Machines {
		free[i] = m.Free
	}
	left := make(map[api.Team]api.Resources, len(in.Left))
	for t, l := range in.Left {
		left[t] = l
	}
	units := maps.Clone(in.Units)
	order := make([]int, len(in.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return before(&in.Jobs[a], &in.Jobs[b]) })
	groups := in.groups(order)
	if len(groups) > 1 {
		in = in.closed()
	}
	for _, group := range groups {
		for _, ji := range group {
			if j := &in.Jobs[ji]; j.Spec.Kind == api.Gang && len(j.Pending) > 0 && len(plan)+len(j.Pending) <= in.Most {
				plan = append(plan, gang(in, ji, free, left, units)...)
			}
		}
		placed := flowRound(in, group, free, left, units, in.Most-len(plan))
		for _, p := range placed {
			free[p.Machine] = free[p.Machine].Minus(in.Jobs[p.Job].Demand)
		}
		plan = append(plan, placed...)
	}
	return plan
}

// closed is the input with the machines closed that have accelerators free for which work waits:
// what rules put before that, and could go elsewhere, would take their room else.
func (in *Input) closed() *Input {
	out := *in
	out.Machines = slices.Clone(in.Machines)
	for i := range out.Machines {
		m := &out.Machines[i]
		m.Closed = m.Closed || m.GPU && slices.ContainsFunc(in.Jobs, func(j Job) bool {
			return len(j.Pending) > 0 && !j.Plain && j.Demand.GPU > 0 && j.Demand.GPU <= m.Free.GPU && Allowed(j.Spec, m.Type, m.Zone, m.Spot)
		})
	}
	return &out
}

// groups are the jobs that are placed together: all, gangs before the flow, but where rules say
// what goes first those of one level after those of another, or a gang would take the room of
// what goes before it.
func (in *Input) groups(order []int) [][]int {
	if !slices.ContainsFunc(in.Jobs, func(j Job) bool { return j.Raised != 0 }) {
		return [][]int{order}
	}
	var out [][]int
	for i, ji := range order {
		if j := &in.Jobs[ji]; i == 0 || j.level() != in.Jobs[order[i-1]].level() {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], ji)
	}
	return out
}

// level is the job's place in the order: its priority, or what rules make of it.
func (j *Job) level() float64 { return float64(j.Spec.Priority.Rank()) + j.Raised }

// Descending compares so that the larger comes first.
func Descending(a, b float64) int { return cmp.Compare(b, a) }

// before orders jobs for gangs' first fit and for a team's share.
func before(a, b *Job) int {
	if first := cmp.Or(boolOrder(a.Stage == First, b.Stage == First), Descending(a.level(), b.level()),
		cmp.Compare(b.Stage, a.Stage), cmp.Compare(b.Waited, a.Waited)); first != 0 {
		return first
	}
	return cmp.Or(boolOrder(a.Entitled, b.Entitled), cmp.Compare(b.Urgency, a.Urgency))
}

// boolOrder puts what holds first.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// gang places all tasks of a gang first-fit, or none.
func gang(in *Input, ji int, free []api.Resources, left map[api.Team]api.Resources, units map[api.PoolName]int) []Placement {
	j := &in.Jobs[ji]
	if j.InUnits(units, len(j.Pending)) == 0 {
		return nil
	}
	if !j.Demand.Times(len(j.Pending)).Fits(left[j.Spec.Team]) {
		if j.Reserve {
			left[j.Spec.Team] = api.Resources{}
		}
		return nil
	}
	// Machines with the image first, and those with least to spare: whole
	// pieces stay whole.
	var order []int
	for mi := range in.Machines {
		m := &in.Machines[mi]
		if j.Demand.Fits(free[mi]) && m.Open(j) {
			order = append(order, mi)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ia, ib := in.Machines[a].Has(j.Spec.Image), in.Machines[b].Has(j.Spec.Image)
		if ia != ib {
			if ia {
				return -1
			}
			return 1
		}
		return j.Demand.Slots(free[a]) - j.Demand.Slots(free[b])
	})
	var zones []api.Zone
	if j.Spec.OneZone {
		for _, mi := range order {
			if z := in.Machines[mi].Zone; !slices.Contains(zones, z) {
				zones = append(zones, z)
			}
		}
	} else {
		zones = []api.Zone{""}
	}
	for _, zone := range zones {
		counts := map[api.Zone]int{}
		for z, n := range j.Zones {
			counts[z] = n
		}
		var got []Placement
		for _, mi := range order {
			m := &in.Machines[mi]
			if zone != "" && m.Zone != zone {
				continue
			}
			room := free[mi]
			for len(got) < len(j.Pending) && j.Demand.Fits(room) && ZoneOpen(j.Spec, counts, m.Zone) {
				got = append(got, Placement{ji, j.Pending[len(got)], mi})
				room = room.Minus(j.Demand)
				counts[m.Zone]++
			}
		}
		if len(got) == len(j.Pending) {
			for _, p := range got {
				free[p.Machine] = free[p.Machine].Minus(j.Demand)
			}
			left[j.Spec.Team] = left[j.Spec.Team].Minus(j.Demand.Times(len(got)))
			j.TakeUnits(units, len(got))
			return got
		}
	}
	if j.Reserve { // it lacks machines now, and must not lack the limit when they are there
		left[j.Spec.Team] = left[j.Spec.Team].Minus(j.Demand.Times(len(j.Pending)))
	}
	return nil
}

// link is an edge from a job, or from a job's tasks of one zone, to a machine.
type link struct {
	cost int64
	mi   int
	job  int
	edge flow.EdgeID
}

// flowNode is a node that tasks flow through: a job, or what a job that is
// spread may still have in one zone.
type flowNode struct {
	supply int
	parent int // the job's node, or -1 for a job's own
	links  []link
}

// flowRound places tasks by min-cost flow, one per machine. Tasks of one job are
// alike, so a job is one node with as many units of supply: the optimum is that
// of one node per task.
//
// At most as many tasks are placed as the round may start. A node then needs no
// more than that many of its cheapest machines: were one beyond them used, one
// among them would be free, and no dearer. So the other edges are left out and
// the optimum stays the same.
func flowRound(in *Input, order []int, free []api.Resources, left map[api.Team]api.Resources, units map[api.PoolName]int, most int) []Placement {
	if most <= 0 || len(in.Machines) == 0 {
		return nil
	}
	var nodes []flowNode
	total := 0
	for _, ji := range order {
		j := &in.Jobs[ji]
		if j.Spec.Kind == api.Gang {
			continue
		}
		supply := min(len(j.Pending), j.Demand.Slots(left[j.Spec.Team]), most)
		if supply == 0 && j.Reserve {
			left[j.Spec.Team] = api.Resources{}
		}
		if j.Spec.OneZone && !occupied(j.Zones) {
			supply = min(supply, 1) // the first start decides where the others may go
		}
		supply = j.InUnits(units, supply)
		if supply <= 0 {
			continue
		}
		added := jobNodes(in, ji, free, supply, most, len(nodes))
		reach := 0
		for i := range added {
			reach += len(added[i].links)
		}
		supply = min(supply, reach)
		if supply == 0 {
			continue
		}
		added[0].supply = supply
		left[j.Spec.Team] = left[j.Spec.Team].Minus(j.Demand.Times(supply))
		j.TakeUnits(units, supply)
		nodes = append(nodes, added...)
		if total += supply; total >= 4*min(most, len(in.Machines))+64 {
			break // enough to fill the round; the others come after these
		}
	}
	if total == 0 {
		return nil
	}
	// Machines without an edge need no node.
	at := make(map[int]int)
	for i := range nodes {
		for _, l := range nodes[i].links {
			if _, ok := at[l.mi]; !ok {
				at[l.mi] = len(nodes) + len(at)
			}
		}
	}
	n := len(nodes) + len(at)
	g := flow.New(n + 3)
	source, unscheduled, sink := n, n+1, n+2
	g.Edge(unscheduled, sink, total, 0)
	for node := len(nodes); node < n; node++ {
		g.Edge(node, sink, 1, 0)
	}
	for i := range nodes {
		nd := &nodes[i]
		if nd.parent < 0 {
			g.Edge(source, i, nd.supply, 0)
			g.Edge(i, unscheduled, nd.supply, 0)
		} else {
			g.Edge(nd.parent, i, nd.supply, 0)
		}
		for k := range nd.links {
			l := &nd.links[k]
			l.edge = g.Edge(i, at[l.mi], 1, l.cost)
		}
	}
	g.Run(source, sink, min(total, most))
	var plan []Placement
	next := map[int]int{}
	for i := range nodes {
		for _, l := range nodes[i].links {
			if g.Flow(l.edge) > 0 {
				j := &in.Jobs[l.job]
				plan = append(plan, Placement{l.job, j.Pending[next[l.job]], l.mi})
				next[l.job]++
			}
		}
	}
	return plan
}

func occupied(zones map[api.Zone]int) bool {
	for _, n := range zones {
		if n > 0 {
			return true
		}
	}
	return false
}

// jobNodes are the nodes of one job, its own first. A job that is spread has one
// more for each zone, with as much capacity as the zone may still take: so
// several of its tasks can be placed in a round and the bound still holds.
func jobNodes(in *Input, ji int, free []api.Resources, supply, most, base int) []flowNode {
	j := &in.Jobs[ji]
	nodes := []flowNode{{supply: supply, parent: -1}}
	byZone := map[api.Zone]int{}
	var open []int // machines
	for mi := range in.Machines {
		if m := &in.Machines[mi]; j.Demand.Fits(free[mi]) && m.Open(j) && ZoneOpen(j.Spec, j.Zones, m.Zone) {
			open = append(open, mi)
		}
	}
	if j.Spec.Kind == api.Service && j.Within > 0 {
		open = soonEnough(in, j, free, open)
	}
	for _, mi := range open {
		m := &in.Machines[mi]
		to := 0
		if j.Spec.Spread {
			var ok bool
			if to, ok = byZone[m.Zone]; !ok {
				to = len(nodes)
				byZone[m.Zone] = to
				nodes = append(nodes, flowNode{supply: min(supply, (j.Spec.Tasks+1)/2-j.Zones[m.Zone]), parent: base})
			}
		}
		nodes[to].links = append(nodes[to].links, link{cost: edgeCost(in, j, m, free[mi]), mi: mi, job: ji})
	}
	for i := range nodes {
		if l := nodes[i].links; len(l) > most {
			slices.SortStableFunc(l, func(a, b link) int { return cmp.Compare(a.cost, b.cost) })
			nodes[i].links = l[:most]
		}
	}
	return nodes
}

// soonEnough chooses, of the machines that are open to a service's replicas, those that are
// looked at in this round: whose fetch is as short as it must be for all that wait to find
// room within some rounds, but no longer than a machine that boots would take. A round puts
// one task on a machine, so when a zone is lost the machines that hold an image are soon used
// up in it; the next round, a tenth of a second later, has more of their room, and a fetch
// on a slow machine takes a hundred times that.
func soonEnough(in *Input, j *Job, free []api.Resources, open []int) []int {
	type room struct {
		mi    int
		fetch float64
	}
	rooms := make([]room, len(open))
	for i, mi := range open {
		rooms[i] = room{mi, in.Machines[mi].FetchTime(j.Spec)}
	}
	byFetch := slices.Clone(rooms)
	slices.SortFunc(byFetch, func(a, b room) int { return cmp.Compare(a.fetch, b.fetch) })
	most := math.Inf(1)
	if j.Fresh > 0 {
		most = j.Fresh
	}
	left := len(j.Pending)
	for _, r := range byFetch {
		if left -= min(someRounds, j.Demand.Slots(free[r.mi])); left <= 0 {
			most = min(most, max(r.fetch, j.Within/3))
			break
		}
	}
	open = open[:0]
	for _, r := range rooms {
		if r.fetch <= most {
			open = append(open, r.mi)
		}
	}
	return open
}

// someRounds is how many rounds a replica may wait for a machine that has its image: they
// take a second or less.
const someRounds = 8

// Holds reports whether the machines have room for all of a job's tasks
// together, by first fit.
func Holds(machines []Machine, s *api.JobSpec) bool {
	bare := *s
	bare.Needs = nil // machines are asked for, not pools
	in := &Input{Machines: machines}
	pending := make([]int, s.Tasks)
	in.Jobs = []Job{{Spec: &bare, Demand: s.Demand(), Pending: pending}}
	free := make([]api.Resources, len(machines))
	for i, m := range machines {
		free[i] = m.Free
	}
	const plenty = api.Amount(1) << 52
	left := map[api.Team]api.Resources{s.Team: {CPU: plenty, GPU: plenty, Mem: plenty}}
	return len(gang(in, 0, free, left, nil)) == s.Tasks
}
