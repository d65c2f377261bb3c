package tenant

// Window bounds how many of a tenant's jobs take part in a round: up to most of n, as
// indices into their order of importance. Half of them are the most important; the others
// take turns, so that none waits for ever behind jobs that find no room. Turn is how many
// turns there were, by which the choice differs from round to round.
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

// RoundsToCoverAll is how many rounds it takes at most until each of n jobs has taken part, most at a
// time.
func RoundsToCoverAll(n, limit int) int {
	if n <= limit {
		return 1
	}
	size := limit - (limit+1)/2
	return (n - (limit+1)/2 + size - 1) / size
}
