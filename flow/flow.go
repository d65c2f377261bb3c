// Package flow implements a min-cost flow solver: successive shortest paths with node potentials,
// on integer costs that may be negative as long as the graph has no negative cycle. It is
// independent of tasks and machines.
package flow

// edge is an edge of the residual network.
type edge struct {
	to       int32
	residual int32 // capacity left
	cost     int64 // per unit
}

// Graph is a flow network. Edges come in pairs, an edge and its reverse, so that the index of one is
// that of the other with the lowest bit flipped. Not safe for concurrent use.
type Graph struct {
	edges     []edge
	adjacency [][]int32 // by node: indices of its outgoing edges
}

// New returns a network of n nodes without edges.
func New(n int) *Graph { return &Graph{adjacency: make([][]int32, n)} }

// EdgeID identifies an edge.
type EdgeID int32

// AddEdge adds an edge with a capacity and a cost per unit of flow.
func (g *Graph) AddEdge(from, to, capacity int, cost int64) EdgeID {
	id := EdgeID(len(g.edges))
	g.edges = append(g.edges, edge{to: int32(to), residual: int32(capacity), cost: cost}, edge{to: int32(from), cost: -cost})
	g.adjacency[from] = append(g.adjacency[from], int32(id))
	g.adjacency[to] = append(g.adjacency[to], int32(id)+1)
	return id
}

// Flow returns the flow through an edge.
func (g *Graph) Flow(id EdgeID) int { return int(g.edges[id+1].residual) }

// infinity is the distance of an unreachable node.
const infinity = int64(1) << 60

// potentials returns the shortest distances from the source. Costs may be negative.
func (g *Graph) potentials(source int) []int64 {
	dist := make([]int64, len(g.adjacency))
	for i := range dist {
		dist[i] = infinity
	}
	dist[source] = 0
	queued := make([]bool, len(g.adjacency))
	fifo := []int32{int32(source)}
	for len(fifo) > 0 {
		u := fifo[0]
		fifo = fifo[1:]
		queued[u] = false
		for _, id := range g.adjacency[u] {
			e := g.edges[id]
			if e.residual > 0 && dist[u]+e.cost < dist[e.to] {
				dist[e.to] = dist[u] + e.cost
				if !queued[e.to] {
					queued[e.to] = true
					fifo = append(fifo, e.to)
				}
			}
		}
	}
	return dist
}

// MinCostFlow sends at most limit units from source to sink at minimum cost. It returns the number
// of units sent and their total cost. It must be called only once per graph.
func (g *Graph) MinCostFlow(source, sink, limit int) (sent int, cost int64) {
	search := &pathSearch{
		graph:      g,
		potential:  g.potentials(source),
		dist:       make([]int64, len(g.adjacency)),
		parentEdge: make([]int32, len(g.adjacency)),
		queue:      make(priorityQueue, 0, len(g.adjacency)),
	}
	for sent < limit && search.shortestPath(source, sink) {
		amount, pathCost := g.augment(search.parentEdge, source, sink, limit-sent)
		sent += amount
		cost += pathCost
	}
	return sent, cost
}

// augment sends as much flow as a path can carry, at most limit, and returns the amount and its
// cost.
func (g *Graph) augment(parentEdge []int32, source, sink, limit int) (sent int, cost int64) {
	amount := int32(limit)
	for v := sink; v != source; v = int(g.edges[parentEdge[v]^1].to) {
		amount = min(amount, g.edges[parentEdge[v]].residual)
	}
	for v := sink; v != source; v = int(g.edges[parentEdge[v]^1].to) {
		g.edges[parentEdge[v]].residual -= amount
		g.edges[parentEdge[v]^1].residual += amount
		cost += int64(amount) * g.edges[parentEdge[v]].cost
	}
	return int(amount), cost
}

// pathSearch finds shortest paths by Dijkstra's algorithm on reduced costs, which node potentials
// keep non-negative. Its buffers are reused for all paths of a flow.
type pathSearch struct {
	graph      *Graph
	potential  []int64
	dist       []int64
	parentEdge []int32 // by node: the last edge of its shortest path
	queue      priorityQueue
}

// shortestPath finds the shortest path from source to sink and updates the potentials. It returns
// false if there is no path.
func (p *pathSearch) shortestPath(source, sink int) bool {
	p.searchUntil(source, sink)
	if p.dist[sink] >= infinity {
		return false
	}
	// Nodes at least as far as the sink are treated as equally far: reduced costs stay non-negative,
	// and the search can end at the sink.
	for i := range p.potential {
		if p.potential[i] < infinity {
			p.potential[i] += min(p.dist[i], p.dist[sink])
		}
	}
	return true
}

// searchUntil computes the distances of all nodes that are nearer to the source than the sink.
func (p *pathSearch) searchUntil(source, sink int) {
	dist, potential, edges := p.dist, p.potential, p.graph.edges
	for i := range dist {
		dist[i] = infinity
	}
	dist[source] = 0
	p.queue = append(p.queue[:0], heapItem{dist: 0, node: int32(source)})
	for len(p.queue) > 0 {
		nearest := p.queue.pop()
		if nearest.dist > dist[nearest.node] {
			continue
		}
		if int(nearest.node) == sink {
			return // farther nodes need no exact distance, see shortestPath
		}
		for _, id := range p.graph.adjacency[nearest.node] {
			e := edges[id]
			if e.residual == 0 || potential[e.to] >= infinity {
				continue
			}
			if d := nearest.dist + e.cost + potential[nearest.node] - potential[e.to]; d < dist[e.to] {
				dist[e.to] = d
				p.parentEdge[e.to] = id
				p.queue.push(heapItem{dist: d, node: e.to})
			}
		}
	}
}
