// Package fragmentation owns the fragmentation of accelerators: how much of the free capacity of a
// machine typical work can't use, and how a placement changes that. The measure is that of
// fragmentation gradient descent (Weng et al., USENIX ATC 2023): free accelerators count as lost to
// a demand that does not fit, in proportion to how common that demand is. It is pure.
package fragmentation

import (
	"cmp"
	"slices"

	"basaltwall/api"
)

// Demand is what tasks request, with its share of all accelerators that are requested.
type Demand struct {
	Resources api.Resources
	Share     float64 // between 0 and 1
}

// maxDemands bounds the typical demands: the rarest are left out.
const maxDemands = 8

// TypicalDemands are the most common demands for accelerators, by their share of the accelerators
// requested. demandCounts is the number of tasks by what they request.
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

// Measure is how many of the free accelerators of a machine a typical demand can't use.
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

// Increase is how many more accelerators become unusable when a task is placed on a machine with that
// free capacity; below 0 it uses up fragments.
func Increase(free, task api.Resources, typical []Demand) float64 {
	return Measure(free.Minus(task), typical) - Measure(free, typical)
}

// MayStrand reports whether smaller typical demands may leave a demand without a machine although there
// is enough free capacity in fragments.
func MayStrand(demand api.Resources, typical []Demand) bool {
	return slices.ContainsFunc(typical, func(d Demand) bool { return 2*d.Resources.GPU <= demand.GPU })
}
