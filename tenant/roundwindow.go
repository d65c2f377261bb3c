// The window of a tenant's jobs that a round considers.

package tenant

// Window chooses which of a tenant's n jobs take part in a round: at most limit, as
// indices into their order of importance. Half of them are the most important; the others rotate, so
// that none waits for good behind jobs that fit nowhere. turn counts the rounds, by which the choice
// differs from round to round.
func Window(n, limit int, turn int) []int {
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

// RoundsToCoverAll is after how many rounds at most each of n jobs has taken part, with at most limit a
// round.
func RoundsToCoverAll(n, limit int) int {
	if n <= limit {
		return 1
	}
	size := limit - (limit+1)/2
	return (n - (limit+1)/2 + size - 1) / size
}
