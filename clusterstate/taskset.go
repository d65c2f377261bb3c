// Bit sets of a job's tasks.

package clusterstate

import "math/bits"

// TaskSet is a bit set of task indexes.
type TaskSet []uint64

// Add adds an index, and reports whether it was absent before.
func (s *TaskSet) Add(i int) bool {
	for len(*s) <= i/64 {
		*s = append(*s, 0)
	}
	old := (*s)[i/64]
	(*s)[i/64] |= 1 << (i % 64)
	return old != (*s)[i/64]
}

// Has reports whether an index is in the set.
func (s TaskSet) Has(i int) bool { return i/64 < len(s) && s[i/64]&(1<<(i%64)) != 0 }

// Count returns the number of members in the range [from, to).
func (s TaskSet) Count(from, to int) int {
	n := 0
	for w := from / 64; w < len(s) && w*64 < to; w++ {
		word := s[w]
		if w*64 < from {
			word &= ^uint64(0) << (from % 64)
		}
		if to-w*64 < 64 {
			word &= 1<<(to%64) - 1
		}
		n += bits.OnesCount64(word)
	}
	return n
}

// bytes returns the encoded set, lowest index first, without trailing zero bytes.
func (s TaskSet) bytes() []byte {
	out := make([]byte, 0, len(s)*8)
	for _, w := range s {
		for k := range 8 {
			out = append(out, byte(w>>(8*k)))
		}
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

// addBytes adds the members of an encoded set that are smaller than limit.
func (s *TaskSet) addBytes(in []byte, limit int) {
	for i, c := range in {
		for k := range 8 {
			if c&(1<<k) != 0 && i*8+k < limit {
				s.Add(i*8 + k)
			}
		}
	}
}
