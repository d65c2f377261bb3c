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
	"basaltwall/fragmentation"
)

// Machine is a machine that may take tasks.
type Machine struct {
	ID              api.MachineID
	Type            api.MachineTypeName
	Zone            api.Zone
	Spot            bool
	Free            api.Resources
	GPU             bool    // the type has accelerators
	AcceleratorOnly bool    // only for work that needs its accelerators
	FastStart       bool    // such as prompt work needs
	Surplus         bool    // more than the load needs: used last, so that it can be returned
	Slowdown        float64 // how much longer tasks take here than elsewhere; 0: not known
	CachedImages    map[api.Image]CachedImage
	FetchRate       float64      // GB per second
	FetchingImages  []ImageFetch // that it is fetching: they may share the rate
	ReservedFor     api.JobID    // only for this job, for which others made way or room is gathered
	SoftReservation bool         // work of a higher rank than ReservationRank may use it all the same
	ReservationRank int
}

// AgingStage is how far a job is in the time in which it must begin; see package due.
type AgingStage int

// The stages. A patient one takes its turn by rank, guarantee and urgency.
const (
	NotAged            AgingStage = iota
	AgedWithinPriority            // before its equals
	AgedAboveAll                  // before all
)

// ImageFetch is an image that a machine fetches: its size, and for how long it has been fetched,
// in seconds.
type ImageFetch struct {
	Name           api.Image
	SizeGB         float64
	ElapsedSeconds float64
}

// CachedImage is an image that a machine holds, as far as is known.
type CachedImage struct {
	SizeGB   float64
	LastUsed api.Time
}

// Eligible reports whether a job may use the machine at all: it may be kept for
// another, be allowed to none but work that needs its accelerators, or have seen
// the job fail. Work without an end would block an accelerator for good.
func (m *Machine) Eligible(j *Job) bool {
	return (m.ReservedFor == "" || m.ReservedFor == j.Spec.Ref || m.SoftReservation && j.Spec.Priority.Rank() > m.ReservationRank) && !(j.AcceleratorOptional && m.GPU && (m.AcceleratorOnly || j.Spec.Kind == api.Service)) &&
		!j.ExcludedMachines[m.ID] && Feasible(j.Spec, m.Type, m.Zone, m.Spot)
}

// HasImage reports whether the machine holds an image.
func (m *Machine) HasImage(img api.Image) bool {
	_, ok := m.CachedImages[img]
	return ok
}

// FetchTime is how long an image is away from being on the machine, in seconds: as
// long as all that the machine fetches, for they may share the rate.
func (m *Machine) FetchTime(s *api.JobSpec) float64 {
	if m.FetchRate <= 0 || m.HasImage(s.Image) {
		return 0
	}
	gb, begun := s.ImageGB, 0.0
	for _, other := range m.FetchingImages {
		if other.Name == s.Image {
			begun = other.ElapsedSeconds
		} else {
			gb += other.SizeGB
		}
	}
	return max(0, gb/m.FetchRate-begun)
}

// Job is a job with pending tasks.
type Job struct {
	Spec                *api.JobSpec
	Demand              api.Resources
	Pending             []int            // task numbers that wait
	PlacedByZone        map[api.Zone]int // where its other tasks are
	Urgency             float64          // orders jobs of equal rank, between 0 and 1
	PriorityBoost       float64          // by so many priorities rules put it above its own, or below
	AgingStage          AgingStage       // of a job that has not begun
	WaitedSeconds       float64          // for so many seconds, if it is not patient any more
	ReservesQuota       bool             // what it lacks of its team's limit is left to it as it comes free
	WithinGuarantee     bool             // within its team's guarantee
	HoldsJobUnits       bool             // what the job takes of pools for itself is held already
	StartSLO            float64          // seconds in which a start is hoped for, 0: no such aim
	NewMachineSeconds   float64          // seconds until a machine that boots now would have the image; 0: none does
	ExcludedMachines    map[api.MachineID]bool
	FastStart           bool    // should start sooner than a machine boots
	AcceleratorOptional bool    // some type without accelerators can take its tasks
	SpotRisk            float64 // how much it would suffer from being taken with a spot machine, between 0 and 1
}

// Input is everything a round looks at.
type Input struct {
	Machines        []Machine
	Jobs            []Job
	RemainingQuota  map[api.Team]api.Resources // what each team may still start here
	LargestCapacity api.Resources              // the largest capacity of any type
	TypicalDemands  []fragmentation.Demand     // what work asks for that needs accelerators
	AvailableUnits  map[api.PoolName]int       // what the partition may hand out of pools that jobs need
	MaxStarts       int                        // starts at most
}

// Assignment puts a task on a machine.
type Assignment struct {
	JobIndex, Task, MachineIndex int // indices into Input.Jobs, a task number, into Input.Machines
}

// Feasible reports whether the job may use the machine at all, the job's other
// tasks aside.
func Feasible(s *api.JobSpec, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneFeasible reports whether one more task of the job may go into the zone.
func ZoneFeasible(s *api.JobSpec, zones map[api.Zone]int, z api.Zone) bool {
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
	costScale           = 1e6
	scheduledBonus      = 16.0 // being placed always beats waiting
	rankBonus           = 32.0 // a higher priority outweighs every other term
	agedBonus           = 8.0  // before its equals: more than guarantee and urgency together
	agedAboveAllBonus   = 5 * rankBonus
	guaranteeBonus      = 4.0
	urgencyBonus        = 2.0
	spotPenalty         = 2.0 // being late for certain outweighs that the machines left are for prompt work
	spotBonus           = 0.3 // what loses little there leaves the other machines to what would lose much
	acceleratorPenalty  = 2.0 // accelerators are kept for work that needs them
	fastStartPenalty    = 0.7 // room for prompt work is left free while there is other
	fragmentationWeight = 4.0 // a whole machine that is begun outweighs any dot product, and a fetch
	surplusPenalty      = 2.0 // more than any dot product is likely to gain
	slowdownThreshold   = 1.3 // machines of a type differ by a tenth; beyond this one is slow
	imageFetchWeight    = 2.0 // a fetch, as a share of what the task takes in all
)

func ratio(a, of api.Quantity) float64 {
	if of <= 0 {
		return 0
	}
	return float64(a) / float64(of)
}

// edgeCost is the paper's dot product with the users' world added as terms.
func edgeCost(in *Input, j *Job, m *Machine, free api.Resources) int64 {
	dotProduct := ratio(j.Demand.CPU, in.LargestCapacity.CPU)*ratio(free.CPU, in.LargestCapacity.CPU) +
		ratio(j.Demand.GPU, in.LargestCapacity.GPU)*ratio(free.GPU, in.LargestCapacity.GPU) +
		ratio(j.Demand.Mem, in.LargestCapacity.Mem)*ratio(free.Mem, in.LargestCapacity.Mem)
	score := dotProduct + scheduledBonus + rankBonus*j.effectivePriority() + urgencyBonus*j.Urgency
	if j.WithinGuarantee {
		score += guaranteeBonus
	}
	switch j.AgingStage {
	case AgedWithinPriority:
		score += agedBonus
	case AgedAboveAll:
		score += agedAboveAllBonus
	}
	if m.Slowdown > slowdownThreshold {
		score -= m.Slowdown - 1
	}
	if m.GPU && j.AcceleratorOptional {
		score -= acceleratorPenalty
	}
	if m.FastStart && !j.FastStart && !j.AcceleratorOptional {
		score -= fastStartPenalty
	}
	if m.GPU && len(in.TypicalDemands) > 0 {
		score -= fragmentationWeight * fragmentation.Increase(free, j.Demand, in.TypicalDemands) / max(1, in.LargestCapacity.GPU.Float())
	}
	if m.Surplus {
		score -= surplusPenalty
	}
	if m.Spot {
		score += spotBonus - spotPenalty*j.SpotRisk
	}
	if fetch := m.FetchTime(j.Spec); fetch > 0 {
		if late := fetch / j.StartSLO; j.StartSLO > 0 {
			// Late is late, but what should always run is missed for as long as it fetches.
			score -= min(1, late) + math.Log(max(1, late))
		} else {
			score -= imageFetchWeight * fetch / (fetch + j.Spec.Estimate + 1)
		}
	}
	return -int64(score * costScale)
}

// TasksWithinUnits is how many tasks of the job, so many at most, what is left of pools allows: of a
// gang all or none.
func (j *Job) TasksWithinUnits(units map[api.PoolName]int, tasks int) int {
	requested := tasks
	for _, n := range j.Spec.Needs {
		available := units[n.Pool]
		if !j.HoldsJobUnits {
			available -= n.Job
		}
		if available < 0 || n.Task > 0 && available < n.Task {
			return 0
		}
		if n.Task > 0 {
			tasks = min(tasks, available/n.Task)
		}
	}
	if j.Spec.Kind == api.Gang && tasks < requested {
		return 0
	}
	return max(0, tasks)
}

// ConsumeUnits takes what so many tasks of the job need off what is left of pools.
func (j *Job) ConsumeUnits(units map[api.PoolName]int, tasks int) {
	for _, n := range j.Spec.Needs {
		units[n.Pool] -= n.Units(tasks, j.HoldsJobUnits)
	}
}

// PlanRound plans a round.
func PlanRound(in *Input) []Assignment {
	var plan []Assignment
	free := make([]api.Resources, len(in.Machines))
	for i, m := range in.Machines {
		free[i] = m.Free
	}
	remainingQuota := make(map[api.Team]api.Resources, len(in.RemainingQuota))
	for t, l := range in.RemainingQuota {
		remainingQuota[t] = l
	}
	units := maps.Clone(in.AvailableUnits)
	order := make([]int, len(in.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareJobs(&in.Jobs[a], &in.Jobs[b]) })
	groups := in.priorityGroups(order)
	if len(groups) > 1 {
		in = in.withAcceleratorsReserved()
	}
	for _, group := range groups {
		for _, jobIndex := range group {
			if j := &in.Jobs[jobIndex]; j.Spec.Kind == api.Gang && len(j.Pending) > 0 && len(plan)+len(j.Pending) <= in.MaxStarts {
				plan = append(plan, placeGang(in, jobIndex, free, remainingQuota, units)...)
			}
		}
		assignments := placeByFlow(in, group, free, remainingQuota, units, in.MaxStarts-len(plan))
		for _, p := range assignments {
			free[p.MachineIndex] = free[p.MachineIndex].Minus(in.Jobs[p.JobIndex].Demand)
		}
		plan = append(plan, assignments...)
	}
	return plan
}

// withAcceleratorsReserved is the input with the machines closed that have accelerators free for which work waits:
// what rules put before that, and could go elsewhere, would take their room else.
func (in *Input) withAcceleratorsReserved() *Input {
	out := *in
	out.Machines = slices.Clone(in.Machines)
	for i := range out.Machines {
		m := &out.Machines[i]
		m.AcceleratorOnly = m.AcceleratorOnly || m.GPU && slices.ContainsFunc(in.Jobs, func(j Job) bool {
			return len(j.Pending) > 0 && !j.AcceleratorOptional && j.Demand.GPU > 0 && j.Demand.GPU <= m.Free.GPU && Feasible(j.Spec, m.Type, m.Zone, m.Spot)
		})
	}
	return &out
}

// priorityGroups are the jobs that are placed together: all, gangs before the flow, but where rules say
// what goes first those of one level after those of another, or a gang would take the room of
// what goes before it.
func (in *Input) priorityGroups(order []int) [][]int {
	if !slices.ContainsFunc(in.Jobs, func(j Job) bool { return j.PriorityBoost != 0 }) {
		return [][]int{order}
	}
	var out [][]int
	for i, jobIndex := range order {
		if j := &in.Jobs[jobIndex]; i == 0 || j.effectivePriority() != in.Jobs[order[i-1]].effectivePriority() {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], jobIndex)
	}
	return out
}

// effectivePriority is the job's place in the order: its priority, or what rules make of it.
func (j *Job) effectivePriority() float64 { return float64(j.Spec.Priority.Rank()) + j.PriorityBoost }

// Descending compares so that the larger comes first.
func Descending(a, b float64) int { return cmp.Compare(b, a) }

// compareJobs orders jobs for gangs' first fit and for a team's share.
func compareJobs(a, b *Job) int {
	if first := cmp.Or(compareTrueFirst(a.AgingStage == AgedAboveAll, b.AgingStage == AgedAboveAll), Descending(a.effectivePriority(), b.effectivePriority()),
		cmp.Compare(b.AgingStage, a.AgingStage), cmp.Compare(b.WaitedSeconds, a.WaitedSeconds)); first != 0 {
		return first
	}
	return cmp.Or(compareTrueFirst(a.WithinGuarantee, b.WithinGuarantee), cmp.Compare(b.Urgency, a.Urgency))
}

// compareTrueFirst puts what holds first.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// placeGang places all tasks of a gang first-fit, or none.
func placeGang(in *Input, jobIndex int, free []api.Resources, remainingQuota map[api.Team]api.Resources, units map[api.PoolName]int) []Assignment {
	j := &in.Jobs[jobIndex]
	if j.TasksWithinUnits(units, len(j.Pending)) == 0 {
		return nil
	}
	if !j.Demand.Times(len(j.Pending)).Fits(remainingQuota[j.Spec.Team]) {
		if j.ReservesQuota {
			remainingQuota[j.Spec.Team] = api.Resources{}
		}
		return nil
	}
	order := gangMachines(in, j, free)
	for _, zone := range gangZones(in, j, order) {
		assignments := gangAssignments(in, jobIndex, free, order, zone)
		if len(assignments) == len(j.Pending) {
			for _, p := range assignments {
				free[p.MachineIndex] = free[p.MachineIndex].Minus(j.Demand)
			}
			remainingQuota[j.Spec.Team] = remainingQuota[j.Spec.Team].Minus(j.Demand.Times(len(assignments)))
			j.ConsumeUnits(units, len(assignments))
			return assignments
		}
	}
	if j.ReservesQuota { // it lacks machines now, and must not lack the limit when they are there
		remainingQuota[j.Spec.Team] = remainingQuota[j.Spec.Team].Minus(j.Demand.Times(len(j.Pending)))
	}
	return nil
}

// gangMachines are the machines that may take a task of a gang, those with its image first and
// among them those with the least to spare, so that whole machines stay whole.
func gangMachines(in *Input, j *Job, free []api.Resources) []int {
	var order []int
	for machineIndex := range in.Machines {
		m := &in.Machines[machineIndex]
		if j.Demand.Fits(free[machineIndex]) && m.Eligible(j) {
			order = append(order, machineIndex)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ia, ib := in.Machines[a].HasImage(j.Spec.Image), in.Machines[b].HasImage(j.Spec.Image)
		if ia != ib {
			if ia {
				return -1
			}
			return 1
		}
		return j.Demand.Slots(free[a]) - j.Demand.Slots(free[b])
	})
	return order
}

// gangZones are the zones to try a gang in, each by itself, if it must be in one zone; else the empty
// zone, which stands for all of them together.
func gangZones(in *Input, j *Job, order []int) []api.Zone {
	if !j.Spec.OneZone {
		return []api.Zone{""}
	}
	var zones []api.Zone
	for _, machineIndex := range order {
		if z := in.Machines[machineIndex].Zone; !slices.Contains(zones, z) {
			zones = append(zones, z)
		}
	}
	return zones
}

// gangAssignments places as many tasks of a gang as fit, first-fit, on machines of a zone; the empty
// zone stands for any.
func gangAssignments(in *Input, jobIndex int, free []api.Resources, order []int, zone api.Zone) []Assignment {
	j := &in.Jobs[jobIndex]
	counts := map[api.Zone]int{}
	for z, n := range j.PlacedByZone {
		counts[z] = n
	}
	var assignments []Assignment
	for _, machineIndex := range order {
		m := &in.Machines[machineIndex]
		if zone != "" && m.Zone != zone {
			continue
		}
		available := free[machineIndex]
		for len(assignments) < len(j.Pending) && j.Demand.Fits(available) && ZoneFeasible(j.Spec, counts, m.Zone) {
			assignments = append(assignments, Assignment{jobIndex, j.Pending[len(assignments)], machineIndex})
			available = available.Minus(j.Demand)
			counts[m.Zone]++
		}
	}
	return assignments
}

// candidateEdge is an edge from a job, or from a job's tasks of one zone, to a machine.
type candidateEdge struct {
	cost    int64
	machine int
	job     int
	edge    flow.EdgeID
	used    bool // the flow goes through it
}

// flowNode is a node that tasks flow through: a job, or what a job that is
// spread may still have in one zone.
type flowNode struct {
	supply int
	parent int // the job's node, or -1 for a job's own
	edges  []candidateEdge
}

// placeByFlow places tasks by min-cost flow, one per machine. Tasks of one job are
// alike, so a job is one node with as many units of supply: the optimum is that
// of one node per task.
//
// At most as many tasks are placed as the round may start. A node then needs no
// more than that many of its cheapest machines: were one beyond them used, one
// among them would be free, and no dearer. So the other edges are left out and
// the optimum stays the same.
func placeByFlow(in *Input, order []int, free []api.Resources, remainingQuota map[api.Team]api.Resources, units map[api.PoolName]int, maxStarts int) []Assignment {
	if maxStarts <= 0 || len(in.Machines) == 0 {
		return nil
	}
	nodes, total := flowNodes(in, order, free, remainingQuota, units, maxStarts)
	if total == 0 {
		return nil
	}
	solveFlow(nodes, total, maxStarts)
	return flowAssignments(in, nodes)
}

// flowNodes are the nodes of the jobs that take part in a round's flow, in order, and how many units
// of supply they have together. Quota and pool units are taken for all of them.
func flowNodes(in *Input, order []int, free []api.Resources, remainingQuota map[api.Team]api.Resources, units map[api.PoolName]int, maxStarts int) ([]flowNode, int) {
	var nodes []flowNode
	total := 0
	for _, jobIndex := range order {
		j := &in.Jobs[jobIndex]
		if j.Spec.Kind == api.Gang {
			continue
		}
		supply := min(len(j.Pending), j.Demand.Slots(remainingQuota[j.Spec.Team]), maxStarts)
		if supply == 0 && j.ReservesQuota {
			remainingQuota[j.Spec.Team] = api.Resources{}
		}
		if j.Spec.OneZone && !anyOccupied(j.PlacedByZone) {
			supply = min(supply, 1) // the first start decides where the others may go
		}
		supply = j.TasksWithinUnits(units, supply)
		if supply <= 0 {
			continue
		}
		added := jobNodes(in, jobIndex, free, supply, maxStarts, len(nodes))
		edgeCount := 0
		for i := range added {
			edgeCount += len(added[i].edges)
		}
		supply = min(supply, edgeCount)
		if supply == 0 {
			continue
		}
		added[0].supply = supply
		remainingQuota[j.Spec.Team] = remainingQuota[j.Spec.Team].Minus(j.Demand.Times(supply))
		j.ConsumeUnits(units, supply)
		nodes = append(nodes, added...)
		if total += supply; total >= 4*min(maxStarts, len(in.Machines))+64 {
			break // enough to fill the round; the others come after these
		}
	}
	return nodes, total
}

// solveFlow finds the min-cost flow of at most maxStarts units and marks the edges that carry it.
func solveFlow(nodes []flowNode, total, maxStarts int) {
	// Machines without an edge need no node.
	machineNodes := make(map[int]int)
	for i := range nodes {
		for _, l := range nodes[i].edges {
			if _, ok := machineNodes[l.machine]; !ok {
				machineNodes[l.machine] = len(nodes) + len(machineNodes)
			}
		}
	}
	n := len(nodes) + len(machineNodes)
	g := flow.New(n + 3)
	source, unscheduled, sink := n, n+1, n+2
	g.AddEdge(unscheduled, sink, total, 0)
	for node := len(nodes); node < n; node++ {
		g.AddEdge(node, sink, 1, 0)
	}
	for i := range nodes {
		node := &nodes[i]
		if node.parent < 0 {
			g.AddEdge(source, i, node.supply, 0)
			g.AddEdge(i, unscheduled, node.supply, 0)
		} else {
			g.AddEdge(node.parent, i, node.supply, 0)
		}
		for k := range node.edges {
			l := &node.edges[k]
			l.edge = g.AddEdge(i, machineNodes[l.machine], 1, l.cost)
		}
	}
	g.MinCostFlow(source, sink, min(total, maxStarts))
	for i := range nodes {
		for k := range nodes[i].edges {
			l := &nodes[i].edges[k]
			l.used = g.Flow(l.edge) > 0
		}
	}
}

// flowAssignments turns the edges that carry flow into assignments of each job's next pending task.
func flowAssignments(in *Input, nodes []flowNode) []Assignment {
	var plan []Assignment
	next := map[int]int{}
	for i := range nodes {
		for _, l := range nodes[i].edges {
			if l.used {
				j := &in.Jobs[l.job]
				plan = append(plan, Assignment{l.job, j.Pending[next[l.job]], l.machine})
				next[l.job]++
			}
		}
	}
	return plan
}

func anyOccupied(zones map[api.Zone]int) bool {
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
func jobNodes(in *Input, jobIndex int, free []api.Resources, supply, maxStarts, parent int) []flowNode {
	j := &in.Jobs[jobIndex]
	nodes := []flowNode{{supply: supply, parent: -1}}
	byZone := map[api.Zone]int{}
	var eligible []int // machines
	for machineIndex := range in.Machines {
		if m := &in.Machines[machineIndex]; j.Demand.Fits(free[machineIndex]) && m.Eligible(j) && ZoneFeasible(j.Spec, j.PlacedByZone, m.Zone) {
			eligible = append(eligible, machineIndex)
		}
	}
	if j.Spec.Kind == api.Service && j.StartSLO > 0 {
		eligible = limitByFetchTime(in, j, free, eligible)
	}
	for _, machineIndex := range eligible {
		m := &in.Machines[machineIndex]
		to := 0
		if j.Spec.Spread {
			var ok bool
			if to, ok = byZone[m.Zone]; !ok {
				to = len(nodes)
				byZone[m.Zone] = to
				nodes = append(nodes, flowNode{supply: min(supply, (j.Spec.Tasks+1)/2-j.PlacedByZone[m.Zone]), parent: parent})
			}
		}
		nodes[to].edges = append(nodes[to].edges, candidateEdge{cost: edgeCost(in, j, m, free[machineIndex]), machine: machineIndex, job: jobIndex})
	}
	for i := range nodes {
		if l := nodes[i].edges; len(l) > maxStarts {
			slices.SortStableFunc(l, func(a, b candidateEdge) int { return cmp.Compare(a.cost, b.cost) })
			nodes[i].edges = l[:maxStarts]
		}
	}
	return nodes
}

// limitByFetchTime chooses, of the machines that are open to a service's replicas, those that are
// looked at in this round: whose fetch is as short as it must be for all that wait to find
// room within some rounds, but no longer than a machine that boots would take. A round puts
// one task on a machine, so when a zone is lost the machines that hold an image are soon used
// up in it; the next round, a tenth of a second later, has more of their room, and a fetch
// on a slow machine takes a hundred times that.
func limitByFetchTime(in *Input, j *Job, free []api.Resources, eligible []int) []int {
	type room struct {
		mi    int
		fetch float64
	}
	candidates := make([]room, len(eligible))
	for i, machineIndex := range eligible {
		candidates[i] = room{machineIndex, in.Machines[machineIndex].FetchTime(j.Spec)}
	}
	byFetch := slices.Clone(candidates)
	slices.SortFunc(byFetch, func(a, b room) int { return cmp.Compare(a.fetch, b.fetch) })
	maxFetch := math.Inf(1)
	if j.NewMachineSeconds > 0 {
		maxFetch = j.NewMachineSeconds
	}
	remaining := len(j.Pending)
	for _, r := range byFetch {
		if remaining -= min(maxImageWaitRounds, j.Demand.Slots(free[r.mi])); remaining <= 0 {
			maxFetch = min(maxFetch, max(r.fetch, j.StartSLO/3))
			break
		}
	}
	eligible = eligible[:0]
	for _, r := range candidates {
		if r.fetch <= maxFetch {
			eligible = append(eligible, r.mi)
		}
	}
	return eligible
}

// maxImageWaitRounds is how many rounds a replica may wait for a machine that has its image: they
// take a second or less.
const maxImageWaitRounds = 8

// FitsAll reports whether the machines have room for all of a job's tasks
// together, by first fit.
func FitsAll(machines []Machine, s *api.JobSpec) bool {
	bare := *s
	bare.Needs = nil // machines are asked for, not pools
	in := &Input{Machines: machines}
	pending := make([]int, s.Tasks)
	in.Jobs = []Job{{Spec: &bare, Demand: s.Demand(), Pending: pending}}
	free := make([]api.Resources, len(machines))
	for i, m := range machines {
		free[i] = m.Free
	}
	const unlimited = api.Quantity(1) << 52
	remainingQuota := map[api.Team]api.Resources{s.Team: {CPU: unlimited, GPU: unlimited, Mem: unlimited}}
	return len(placeGang(in, 0, free, remainingQuota, nil)) == s.Tasks
}
