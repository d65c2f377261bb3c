// Resources: exact amounts of CPUs, GPUs and memory.

package api

import "math"

// Quantity is an amount of a resource in millionths of its unit (CPUs, GPUs, GB of memory), so
// that sums are exact.
type Quantity int64

// quantityScale is how many of a Quantity make one unit of the resource.
const quantityScale = 1e6

// ToQuantity converts a protocol number, rounded to the nearest millionth.
func ToQuantity(f float64) Quantity { return Quantity(math.Round(f * quantityScale)) }

// Float is the amount as a protocol number.
func (a Quantity) Float() float64 { return float64(a) / quantityScale }

// Resources is what a task requests or a machine offers.
type Resources struct {
	CPU, GPU, Mem Quantity
}

// Plus is the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, GPU: r.GPU + o.GPU, Mem: r.Mem + o.Mem}
}

// Minus is r less o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, GPU: r.GPU - o.GPU, Mem: r.Mem - o.Mem}
}

// Times is n times r.
func (r Resources) Times(n int) Resources {
	k := Quantity(n)
	return Resources{CPU: r.CPU * k, GPU: r.GPU * k, Mem: r.Mem * k}
}

// Fits reports whether r fits into a capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.GPU <= capacity.GPU && r.Mem <= capacity.Mem
}

// Slots counts how many of r fit into a capacity together; math.MaxInt32 if r requests nothing.
func (r Resources) Slots(capacity Resources) int {
	n := math.MaxInt32
	for _, p := range [3][2]Quantity{{r.CPU, capacity.CPU}, {r.GPU, capacity.GPU}, {r.Mem, capacity.Mem}} {
		if p[0] > 0 {
			n = min(n, int(max(p[1], 0)/p[0]))
		}
	}
	return n
}
