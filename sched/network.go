// The flow network of a round's jobs and machines, for all tasks except those of gangs.

package sched

import (
	"cmp"
	"slices"

	"basaltwall/api"
	"basaltwall/flow"
)

// candidateEdge is an edge from a job, or from a job's tasks of one zone, to a machine.
type candidateEdge struct {
	cost    int64
	machine int
	job     int
	id      flow.EdgeID
	used    bool // it carries flow
}

// flowNode is a node of the flow network: a job, or the tasks that a spread job may still have in
// one zone.
type flowNode struct {
	supply int
	parent int // the node of the job, or noParent
	edges  []candidateEdge
}

// noParent is the parent of a job's own node: the source.
const noParent = -1

// placeByFlow assigns tasks by min-cost flow, at most one to a machine. Tasks of one job are
// identical, so a job is a single node with one unit of supply per task. The optimum is the same as
// with one node per task.
//
// At most maxStarts tasks are assigned, so each node keeps only that many of its cheapest edges.
// The optimum stays the same: if a more expensive edge were used, one of the cheapest would be
// unused and could replace it.
func placeByFlow(in *Input, order []int, left *remaining, maxStarts int) []Assignment {
	if maxStarts <= 0 || len(in.Machines) == 0 {
		return nil
	}
	nodes, supply := flowNodes(in, order, left, maxStarts)
	if supply == 0 {
		return nil
	}
	solveFlow(nodes, supply, maxStarts)
	return flowAssignments(in, nodes)
}

// flowNodes returns the nodes of the jobs in a round's flow, in order, and their total supply.
// Quota and pool units for that supply are subtracted from left.
func flowNodes(in *Input, order []int, left *remaining, maxStarts int) (nodes []flowNode, total int) {
	targetSupply := supplyPerMachine*min(maxStarts, len(in.Machines)) + minSupply
	for _, jobIndex := range order {
		j := &in.Jobs[jobIndex]
		if j.Spec.Kind == api.Gang {
			continue
		}
		supply := flowSupply(j, left, maxStarts)
		if supply <= 0 {
			continue
		}
		added := jobNodes(in, jobIndex, left.free, supply, maxStarts, len(nodes))
		edgeCount := 0
		for i := range added {
			edgeCount += len(added[i].edges)
		}
		supply = min(supply, edgeCount)
		if supply == 0 {
			continue
		}
		added[0].supply = supply
		left.chargeQuota(j, supply)
		j.ConsumeUnits(left.units, supply)
		nodes = append(nodes, added...)
		if total += supply; total >= targetSupply {
			break
		}
	}
	return nodes, total
}

// A round's flow adds jobs in order until their supply reaches supplyPerMachine times the number of
// tasks that the round can start, plus minSupply.
const (
	supplyPerMachine = 4
	minSupply        = 64
)

// flowSupply returns the number of a job's tasks that quota, pool units and its zone constraint
// allow in the flow.
func flowSupply(j *Job, left *remaining, maxStarts int) int {
	supply := min(len(j.Pending), j.Demand.Slots(left.quota[j.Spec.Team]), maxStarts)
	if supply == 0 && j.ReservesQuota {
		left.quota[j.Spec.Team] = api.Resources{}
	}
	if j.Spec.OneZone && !anyOccupied(j.PlacedByZone) {
		supply = min(supply, 1) // the first start decides the zone of the others
	}
	return j.TasksWithinUnits(left.units, supply)
}

// solveFlow finds the min-cost flow of at most maxStarts units and marks the edges that carry it.
func solveFlow(nodes []flowNode, total, maxStarts int) {
	// Machines without an edge need no node.
	machineNodes := make(map[int]int)
	for i := range nodes {
		for _, edge := range nodes[i].edges {
			if _, ok := machineNodes[edge.machine]; !ok {
				machineNodes[edge.machine] = len(nodes) + len(machineNodes)
			}
		}
	}
	n := len(nodes) + len(machineNodes)
	g := flow.New(n + 3) // with the source, the sink and the node of unscheduled tasks
	source, unscheduled, sink := n, n+1, n+2
	g.AddEdge(unscheduled, sink, total, 0)
	for node := len(nodes); node < n; node++ {
		g.AddEdge(node, sink, 1, 0)
	}
	for i := range nodes {
		node := &nodes[i]
		if node.parent == noParent {
			g.AddEdge(source, i, node.supply, 0)
			g.AddEdge(i, unscheduled, node.supply, 0)
		} else {
			g.AddEdge(node.parent, i, node.supply, 0)
		}
		for k := range node.edges {
			edge := &node.edges[k]
			edge.id = g.AddEdge(i, machineNodes[edge.machine], 1, edge.cost)
		}
	}
	g.MinCostFlow(source, sink, min(total, maxStarts))
	for i := range nodes {
		for k := range nodes[i].edges {
			edge := &nodes[i].edges[k]
			edge.used = g.Flow(edge.id) > 0
		}
	}
}

// flowAssignments turns the edges that carry flow into assignments of each job's next pending task.
func flowAssignments(in *Input, nodes []flowNode) []Assignment {
	var plan []Assignment
	next := map[int]int{}
	for i := range nodes {
		for _, edge := range nodes[i].edges {
			if edge.used {
				j := &in.Jobs[edge.job]
				plan = append(plan, Assignment{JobIndex: edge.job, Task: j.Pending[next[edge.job]], MachineIndex: edge.machine})
				next[edge.job]++
			}
		}
	}
	return plan
}

// anyOccupied reports whether some zone holds a task.
func anyOccupied(zones map[api.Zone]int) bool {
	for _, n := range zones {
		if n > 0 {
			return true
		}
	}
	return false
}

// jobNodes returns the nodes of a job, the node of the job itself first; base is the index of that
// node. A spread job has one more node for each zone, with the supply that the zone may still take,
// so that several of its tasks can be assigned in a round within the limit per zone.
func jobNodes(in *Input, jobIndex int, free []api.Resources, supply, maxStarts, base int) []flowNode {
	j := &in.Jobs[jobIndex]
	nodes := []flowNode{{supply: supply, parent: noParent}}
	byZone := map[api.Zone]int{}
	for _, machineIndex := range flowMachines(in, j, free) {
		m := &in.Machines[machineIndex]
		to := 0
		if j.Spec.Spread {
			var ok bool
			if to, ok = byZone[m.Zone]; !ok {
				to = len(nodes)
				byZone[m.Zone] = to
				nodes = append(nodes, flowNode{supply: min(supply, (j.Spec.Tasks+1)/2-j.PlacedByZone[m.Zone]), parent: base})
			}
		}
		nodes[to].edges = append(nodes[to].edges, candidateEdge{cost: edgeCost(in, j, m, free[machineIndex]), machine: machineIndex, job: jobIndex})
	}
	for i := range nodes {
		if edges := nodes[i].edges; len(edges) > maxStarts {
			slices.SortStableFunc(edges, func(a, b candidateEdge) int { return cmp.Compare(a.cost, b.cost) })
			nodes[i].edges = edges[:maxStarts]
		}
	}
	return nodes
}

// flowMachines returns the machines to which a job's tasks may flow.
func flowMachines(in *Input, j *Job, free []api.Resources) []int {
	var eligible []int
	for machineIndex := range in.Machines {
		if m := &in.Machines[machineIndex]; j.Demand.Fits(free[machineIndex]) && m.Eligible(j) && ZoneFeasible(j.Spec, j.PlacedByZone, m.Zone) {
			eligible = append(eligible, machineIndex)
		}
	}
	if j.Spec.Kind == api.Service && j.StartSLO > 0 {
		return limitByFetchTime(in, j, free, eligible)
	}
	return eligible
}
