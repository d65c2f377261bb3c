package flow

import (
	"math/rand/v2"
	"testing"
)

// bruteForce returns the minimum cost over all assignments of tasks to machines or to none.
func bruteForce(cost [][]int64, used []bool, i int) int64 {
	if i == len(cost) {
		return 0
	}
	least := bruteForce(cost, used, i+1)
	for m, c := range cost[i] {
		if c == infinity || used[m] {
			continue
		}
		used[m] = true
		least = min(least, c+bruteForce(cost, used, i+1))
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
		source, unscheduled, sink := n+m, n+m+1, n+m+2
		g.AddEdge(unscheduled, sink, n, 0)
		for j := range m {
			g.AddEdge(n+j, sink, 1, 0)
		}
		for i := range n {
			cost[i] = make([]int64, m)
			g.AddEdge(source, i, 1, 0)
			g.AddEdge(i, unscheduled, 1, 0)
			for j := range m {
				cost[i][j] = infinity
				if r.IntN(4) > 0 {
					cost[i][j] = -int64(r.IntN(20))
					g.AddEdge(i, n+j, 1, cost[i][j])
				}
			}
		}
		sent, got := g.MinCostFlow(source, sink, n)
		if want := bruteForce(cost, make([]bool, m), 0); sent != n || got != want {
			t.Fatalf("sent %d of %d at %d, brute force finds %d: %v", sent, n, got, want, cost)
		}
	}
}
