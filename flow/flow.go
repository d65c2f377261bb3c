// Package flow owns the min-cost flow solver: successive shortest paths with
// node potentials, on integer costs that may be negative as long as the graph
// has no negative cycle. It knows nothing of tasks and machines.
package flow

type edge struct {
	to       int32
	residual int32
	cost     int64
}

// Graph is a flow network. Edges come in pairs: an edge and its reverse.
type Graph struct {
	edges     []edge
	adjacency [][]int32
}

// New returns a network of n nodes without edges.
func New(n int) *Graph { return &Graph{adjacency: make([][]int32, n)} }

// EdgeID names an edge for asking its flow.
type EdgeID int32

// AddEdge adds an edge.
func (g *Graph) AddEdge(from, to, capacity int, cost int64) EdgeID {
	id := EdgeID(len(g.edges))
	g.edges = append(g.edges, edge{int32(to), int32(capacity), cost}, edge{int32(from), 0, -cost})
	g.adjacency[from] = append(g.adjacency[from], int32(id))
	g.adjacency[to] = append(g.adjacency[to], int32(id)+1)
	return id
}

// Flow is what an edge carries.
func (g *Graph) Flow(id EdgeID) int { return int(g.edges[id+1].residual) }

const infinity = int64(1) << 60

type heapItem struct {
	dist int64
	node int32
}

// priorityQueue is a binary heap of items. It is typed, since an interface would cost
// an allocation for each of the many items of a round.
type priorityQueue []heapItem

func (q *priorityQueue) push(x heapItem) {
	h := append(*q, x)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if h[parent].dist <= h[i].dist {
			break
		}
		h[parent], h[i] = h[i], h[parent]
		i = parent
	}
	*q = h
}

func (q *priorityQueue) pop() heapItem {
	h := *q
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h[c].dist < h[least].dist {
				least = c
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*q = h
	return top
}

// potentials finds shortest distances from s with negative costs allowed.
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

// MinCostFlow sends up to limit units from s to t at least cost and returns how many
// were sent and what they cost.
func (g *Graph) MinCostFlow(source, sink, limit int) (sent int, cost int64) {
	potential := g.potentials(source)
	dist := make([]int64, len(g.adjacency))
	parentEdge := make([]int32, len(g.adjacency))
	q := make(priorityQueue, 0, len(g.adjacency))
	for sent < limit {
		for i := range dist {
			dist[i] = infinity
		}
		dist[source] = 0
		q = append(q[:0], heapItem{0, int32(source)})
		for len(q) > 0 {
			it := q.pop()
			if it.dist > dist[it.node] {
				continue
			}
			if int(it.node) == sink {
				break // what is farther needs no exact distance, see checkServiceLevels
			}
			for _, id := range g.adjacency[it.node] {
				e := g.edges[id]
				if e.residual == 0 || potential[e.to] >= infinity {
					continue
				}
				if d := it.dist + e.cost + potential[it.node] - potential[e.to]; d < dist[e.to] {
					dist[e.to] = d
					parentEdge[e.to] = id
					q.push(heapItem{d, e.to})
				}
			}
		}
		if dist[sink] >= infinity {
			return sent, cost
		}
		// Nodes at least as far as the sink move with it: reduced costs stay
		// above zero, and the search can end at the sink.
		for i := range potential {
			if potential[i] < infinity {
				potential[i] += min(dist[i], dist[sink])
			}
		}
		amount := int32(limit - sent)
		for v := sink; v != source; v = int(g.edges[parentEdge[v]^1].to) {
			amount = min(amount, g.edges[parentEdge[v]].residual)
		}
		for v := sink; v != source; v = int(g.edges[parentEdge[v]^1].to) {
			g.edges[parentEdge[v]].residual -= amount
			g.edges[parentEdge[v]^1].residual += amount
			cost += int64(amount) * g.edges[parentEdge[v]].cost
		}
		sent += int(amount)
	}
	return sent, cost
}
