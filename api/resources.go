// This file holds resource amounts of CPUs, GPUs and memory.

package api

import "math"

// Quantity is an amount of a resource in millionths of its unit (CPUs, GPUs, GB of memory), so
// that sums are exact.
type Quantity int64

// quantityScale is the Quantity of one unit of a resource.
const quantityScale = 1e6

// ToQuantity converts an amount in units, rounded to the nearest millionth.
func ToQuantity(f float64) Quantity { return Quantity(math.Round(f * quantityScale)) }

// Float returns the amount in units.
func (a Quantity) Float() float64 { return float64(a) / quantityScale }

// Resources is the demand of a task or the capacity of a machine.
type Resources struct {
	CPU, GPU, Mem Quantity
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, GPU: r.GPU + o.GPU, Mem: r.Mem + o.Mem}
}

// Minus returns r minus o; the amounts may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, GPU: r.GPU - o.GPU, Mem: r.Mem - o.Mem}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	k := Quantity(n)
	return Resources{CPU: r.CPU * k, GPU: r.GPU * k, Mem: r.Mem * k}
}

// Fits reports whether a demand r fits into a capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.GPU <= capacity.GPU && r.Mem <= capacity.Mem
}

// Slots returns how many times a demand r fits into a capacity, or math.MaxInt32 if r is zero.
func (r Resources) Slots(capacity Resources) int {
	n := math.MaxInt32
	for _, p := range [3][2]Quantity{{r.CPU, capacity.CPU}, {r.GPU, capacity.GPU}, {r.Mem, capacity.Mem}} {
		if p[0] > 0 {
			n = min(n, int(max(p[1], 0)/p[0]))
		}
	}
	return n
}
