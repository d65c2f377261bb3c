// This file selects the window of a tenant's jobs that a scheduling round considers.

package tenant

// SelectRoundJobs returns which of a tenant's n jobs take part in a round, as at most limit indices into their
// order of importance. Half of the window holds the most important jobs. The other half rotates with
// turn, the number of the round, so that no job starves behind jobs that can't be placed.
func SelectRoundJobs(n, limit int, turn int) []int {
	if n <= limit {
		limit = n
	}
	out := make([]int, 0, limit)
	fixed := limit
	if n > limit {
		fixed = (limit + 1) / 2
	}
	for i := range fixed {
		out = append(out, i)
	}
	if rotating := n - fixed; rotating > 0 {
		size := limit - fixed
		from := turn * size % rotating
		for i := range size {
			out = append(out, fixed+(from+i)%rotating)
		}
	}
	return out
}

// RoundsToCoverAll returns the maximum number of rounds until each of n jobs has taken part, with at most
// limit jobs per round.
func RoundsToCoverAll(n, limit int) int {
	if n <= limit {
		return 1
	}
	size := limit - (limit+1)/2
	return (n - (limit+1)/2 + size - 1) / size
}
