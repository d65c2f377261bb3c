package book

import "math/bits"

// Set is a set of task numbers.
type Set []uint64

// Set adds a number, and reports whether it was not in before.
func (b *Set) Set(i int) bool {
	for len(*b) <= i/64 {
		*b = append(*b, 0)
	}
	old := (*b)[i/64]
	(*b)[i/64] |= 1 << (i % 64)
	return old != (*b)[i/64]
}

// Has reports whether a number is in.
func (b Set) Has(i int) bool { return i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0 }

// Count is how many members lie from one number up to another.
func (b Set) Count(from, to int) int {
	n := 0
	for w := from / 64; w < len(b) && w*64 < to; w++ {
		word := b[w]
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

func (b Set) bytes() []byte {
	out := make([]byte, 0, len(b)*8)
	for _, w := range b {
		for k := range 8 {
			out = append(out, byte(w>>(8*k)))
		}
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

func (b *Set) addBytes(in []byte, limit int) {
	for i, c := range in {
		for k := range 8 {
			if c&(1<<k) != 0 && i*8+k < limit {
				b.Set(i*8 + k)
			}
		}
	}
}
