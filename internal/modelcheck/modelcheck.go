// Package modelcheck explores the states of a model exhaustively in tests, by breadth-first search.
package modelcheck

// Explore visits the states that are reachable from the first one in at most maxSteps steps, or all
// reachable states if maxSteps is 0. The function next calls visit with each successor of a state and
// reports whether the state violates an invariant, which ends the search. Explore returns the number of
// visited states and whether one violates an invariant.
func Explore[State comparable](first State, maxSteps int, next func(state State, visit func(State)) (violated bool)) (states int, violated bool) {
	seen := map[State]bool{first: true}
	frontier := []State{first}
	for step := 0; len(frontier) > 0 && (maxSteps == 0 || step < maxSteps); step++ {
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
