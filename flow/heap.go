// The priority queue of the shortest-path search.

package flow

// heapItem is a node with its distance from the source in reduced costs.
type heapItem struct {
	dist int64
	node int32
}

// priorityQueue is a binary heap, nearest first. container/heap would allocate an interface value
// for every item.
type priorityQueue []heapItem

func (q *priorityQueue) push(x heapItem) {
	h := append(*q, x)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if h[parent].dist <= h[i].dist {
			break
		}
		h[parent], h[i] = h[i], h[parent]
		i = parent
	}
	*q = h
}

func (q *priorityQueue) pop() heapItem {
	h := *q
	top, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h[c].dist < h[least].dist {
				least = c
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*q = h
	return top
}
