// Package explore is for exhaustive models in tests: it looks at every state that can be reached.
package explore

// All looks at the states that follow from the first in so many steps at most, 0: all there are.
// next calls do with each state that may follow one, and reports whether something goes wrong
// there; then the search ends.
func All[W comparable](first W, steps int, next func(w W, do func(W)) (wrong bool)) (states int, wrong bool) {
	seen := map[W]bool{first: true}
	now := []W{first}
	for step := 0; len(now) > 0 && (steps == 0 || step < steps); step++ {
		var after []W
		for _, w := range now {
			if next(w, func(n W) {
				if !seen[n] {
					seen[n] = true
					after = append(after, n)
				}
			}) {
				return len(seen), true
			}
		}
		now = after
	}
	return len(seen), false
}
