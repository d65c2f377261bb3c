package flow

import (
	"math/rand/v2"
	"testing"
)

// best tries every assignment of tasks to machines or to nothing.
func best(cost [][]int64, used []bool, i int) int64 {
	if i == len(cost) {
		return 0
	}
	least := best(cost, used, i+1)
	for m, c := range cost[i] {
		if c == far || used[m] {
			continue
		}
		used[m] = true
		least = min(least, c+best(cost, used, i+1))
		used[m] = false
	}
	return least
}

func TestAgainstBruteForce(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		n, m := 1+r.IntN(5), 1+r.IntN(5)
		cost := make([][]int64, n)
		g := New(n + m + 3)
		s, u, sink := n+m, n+m+1, n+m+2
		g.Edge(u, sink, n, 0)
		for j := range m {
			g.Edge(n+j, sink, 1, 0)
		}
		for i := range n {
			cost[i] = make([]int64, m)
			g.Edge(s, i, 1, 0)
			g.Edge(i, u, 1, 0)
			for j := range m {
				cost[i][j] = far
				if r.IntN(4) > 0 {
					cost[i][j] = -int64(r.IntN(20))
					g.Edge(i, n+j, 1, cost[i][j])
				}
			}
		}
		sent, got := g.Run(s, sink, n)
		if want := best(cost, make([]bool, m), 0); sent != n || got != want {
			t.Fatalf("sent %d of %d at %d, brute force finds %d: %v", sent, n, got, want, cost)
		}
	}
}
