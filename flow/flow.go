// Package flow owns the min-cost flow solver: successive shortest paths with
// node potentials, on integer costs that may be negative as long as the graph
// has no negative cycle. It knows nothing of tasks and machines.
package flow

type edge struct {
	to   int32
	cap  int32
	cost int64
}

// Graph is a flow network. Edges come in pairs: an edge and its reverse.
type Graph struct {
	edges []edge
	adj   [][]int32
}

// New returns a network of n nodes without edges.
func New(n int) *Graph { return &Graph{adj: make([][]int32, n)} }

// EdgeID names an edge for asking its flow.
type EdgeID int32

// Edge adds an edge.
func (g *Graph) Edge(from, to, capacity int, cost int64) EdgeID {
	id := EdgeID(len(g.edges))
	g.edges = append(g.edges, edge{int32(to), int32(capacity), cost}, edge{int32(from), 0, -cost})
	g.adj[from] = append(g.adj[from], int32(id))
	g.adj[to] = append(g.adj[to], int32(id)+1)
	return id
}

// Flow is what an edge carries.
func (g *Graph) Flow(id EdgeID) int { return int(g.edges[id+1].cap) }

const far = int64(1) << 60

type item struct {
	dist int64
	node int32
}

// queue is a binary heap of items. It is typed, since an interface would cost
// an allocation for each of the many items of a round.
type queue []item

func (q *queue) push(x item) {
	h := append(*q, x)
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if h[up].dist <= h[i].dist {
			break
		}
		h[up], h[i] = h[i], h[up]
		i = up
	}
	*q = h
}

func (q *queue) pop() item {
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
func (g *Graph) potentials(s int) []int64 {
	dist := make([]int64, len(g.adj))
	for i := range dist {
		dist[i] = far
	}
	dist[s] = 0
	waiting := make([]bool, len(g.adj))
	line := []int32{int32(s)}
	for len(line) > 0 {
		u := line[0]
		line = line[1:]
		waiting[u] = false
		for _, id := range g.adj[u] {
			e := g.edges[id]
			if e.cap > 0 && dist[u]+e.cost < dist[e.to] {
				dist[e.to] = dist[u] + e.cost
				if !waiting[e.to] {
					waiting[e.to] = true
					line = append(line, e.to)
				}
			}
		}
	}
	return dist
}

// Run sends up to limit units from s to t at least cost and returns how many
// were sent and what they cost.
func (g *Graph) Run(s, t, limit int) (sent int, cost int64) {
	pot := g.potentials(s)
	dist := make([]int64, len(g.adj))
	via := make([]int32, len(g.adj))
	q := make(queue, 0, len(g.adj))
	for sent < limit {
		for i := range dist {
			dist[i] = far
		}
		dist[s] = 0
		q = append(q[:0], item{0, int32(s)})
		for len(q) > 0 {
			it := q.pop()
			if it.dist > dist[it.node] {
				continue
			}
			if int(it.node) == t {
				break // what is farther needs no exact distance, see below
			}
			for _, id := range g.adj[it.node] {
				e := g.edges[id]
				if e.cap == 0 || pot[e.to] >= far {
					continue
				}
				if d := it.dist + e.cost + pot[it.node] - pot[e.to]; d < dist[e.to] {
					dist[e.to] = d
					via[e.to] = id
					q.push(item{d, e.to})
				}
			}
		}
		if dist[t] >= far {
			return sent, cost
		}
		// Nodes at least as far as the sink move with it: reduced costs stay
		// above zero, and the search can end at the sink.
		for i := range pot {
			if pot[i] < far {
				pot[i] += min(dist[i], dist[t])
			}
		}
		push := int32(limit - sent)
		for v := t; v != s; v = int(g.edges[via[v]^1].to) {
			push = min(push, g.edges[via[v]].cap)
		}
		for v := t; v != s; v = int(g.edges[via[v]^1].to) {
			g.edges[via[v]].cap -= push
			g.edges[via[v]^1].cap += push
			cost += int64(push) * g.edges[via[v]].cost
		}
		sent += int(push)
	}
	return sent, cost
}
