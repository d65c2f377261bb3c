// Package modelcheck is for exhaustive models in tests: it looks at every state that can be reached.
package modelcheck

// Explore looks at the states that follow from the first in so many steps at most, 0: all there are.
// next calls do with each state that may follow one, and reports whether something goes wrong
// there; then the search ends.
func Explore[W comparable](first W, steps int, next func(w W, visit func(W)) (wrong bool)) (states int, wrong bool) {
	seen := map[W]bool{first: true}
	frontier := []W{first}
	for step := 0; len(frontier) > 0 && (steps == 0 || step < steps); step++ {
		var nextFrontier []W
		for _, w := range frontier {
			if next(w, func(n W) {
				if !seen[n] {
					seen[n] = true
					nextFrontier = append(nextFrontier, n)
				}
			}) {
				return len(seen), true
			}
		}
		frontier = nextFrontier
	}
	return len(seen), false
}
