// Package modelcheck explores models in tests exhaustively: it visits every reachable state, breadth first.
package modelcheck

// Explore visits the states that are reachable from the first in at most so many steps; with 0 steps,
// all. next calls visit with each successor of a state, and reports whether the state violates an
// invariant; then the search ends. Explore returns how many states it has seen.
func Explore[State comparable](first State, steps int, next func(state State, visit func(State)) (wrong bool)) (states int, wrong bool) {
	seen := map[State]bool{first: true}
	frontier := []State{first}
	for step := 0; len(frontier) > 0 && (steps == 0 || step < steps); step++ {
		var nextFrontier []State
		visit := func(successor State) {
			if !seen[successor] {
				seen[successor] = true
				nextFrontier = append(nextFrontier, successor)
			}
		}
		for _, state := range frontier {
			if next(state, visit) {
				return len(seen), true
			}
		}
		frontier = nextFrontier
	}
	return len(seen), false
}
