// Package fragmentation measures the fragmentation of accelerators: the free accelerators of a machine
// that typical demands can't use, and how a placement changes their number. It uses the measure of
// fragmentation gradient descent (Weng et al., USENIX ATC 2023): if a demand does not fit a machine,
// the machine's free accelerators count as unusable in proportion to the share of that demand.
package fragmentation

import (
	"cmp"
	"slices"

	"basaltwall/api"
)

// Demand is the resources that a kind of task requests, with its share of all requested accelerators.
type Demand struct {
	Resources api.Resources
	Share     float64 // between 0 and 1
}

// maxDemands is the maximum number of typical demands.
const maxDemands = 8

// TypicalDemands returns the most common demands for accelerators, ordered by their share of the
// requested accelerators. demandCounts is the number of tasks by requested resources.
func TypicalDemands(demandCounts map[api.Resources]int) []Demand {
	var out []Demand
	sum := 0.0
	for res, count := range demandCounts {
		if res.GPU > 0 && count > 0 {
			out = append(out, Demand{Resources: res, Share: res.GPU.Float() * float64(count)})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(
			cmp.Compare(b.Share, a.Share),
			cmp.Compare(a.Resources.GPU, b.Resources.GPU),
			cmp.Compare(a.Resources.CPU, b.Resources.CPU),
			cmp.Compare(a.Resources.Mem, b.Resources.Mem))
	})
	out = out[:min(len(out), maxDemands)]
	for _, d := range out {
		sum += d.Share
	}
	for i := range out {
		out[i].Share /= sum
	}
	return out
}

// Measure returns the number of unusable accelerators on a machine, given its free capacity: the free
// accelerators weighted by the share of typical demands that do not fit.
func Measure(free api.Resources, typical []Demand) float64 {
	if free.GPU <= 0 {
		return 0
	}
	unusable := 0.0
	for _, d := range typical {
		if !d.Resources.Fits(free) {
			unusable += d.Share * free.GPU.Float()
		}
	}
	return unusable
}

// Increase returns the change in the number of unusable accelerators when a task is placed on a machine
// with that free capacity. It is negative if the task uses fragments.
func Increase(free, task api.Resources, typical []Demand) float64 {
	return Measure(free.Minus(task), typical) - Measure(free, typical)
}

// MayFragment reports whether tasks with smaller typical demands may fragment the free capacity so that a
// demand fits no machine. That requires a typical demand of at most half as many accelerators.
func MayFragment(demand api.Resources, typical []Demand) bool {
	return slices.ContainsFunc(typical, func(d Demand) bool { return 2*d.Resources.GPU <= demand.GPU })
}
