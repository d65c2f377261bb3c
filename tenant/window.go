package tenant

// Window bounds how many of a tenant's jobs take part in a round: up to most of n, as
// indices into their order of importance. Half of them are the most important; the others
// take turns, so that none waits for ever behind jobs that find no room. Turn is how many
// turns there were, by which the choice differs from round to round.
func Window(n, most int, turn int) []int {
	if n <= most {
		most = n
	}
	out := make([]int, 0, most)
	first := most
	if n > most {
		first = (most + 1) / 2
	}
	for i := range first {
		out = append(out, i)
	}
	if rest := n - first; rest > 0 {
		size := most - first
		from := turn * size % rest
		for i := range size {
			out = append(out, first+(from+i)%rest)
		}
	}
	return out
}

// Turns is how many rounds it takes at most until each of n jobs has taken part, most at a
// time.
func Turns(n, most int) int {
	if n <= most {
		return 1
	}
	size := most - (most+1)/2
	return (n - (most+1)/2 + size - 1) / size
}
