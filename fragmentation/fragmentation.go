// Package fragmentation owns accelerators that are left over in pieces: how much of what is free on a
// machine work can't use, and how a placement changes that. The measure is that of fragmentation
// gradient descent (Weng et al., USENIX ATC 2023, as published): what is free counts as lost to a
// demand that does not fit into it, by how usual that demand is. It is pure.
package fragmentation

import (
	"cmp"
	"slices"

	"basaltwall/api"
)

// Demand is what tasks ask for, and which share of all the accelerators that are asked for they
// make.
type Demand struct {
	Resources api.Resources
	Share     float64
}

// maxDemands bounds the demands that are looked at: the rarest are left out.
const maxDemands = 8

// TypicalDemands makes the usual demands of what tasks ask for, counted by how many ask: only what
// needs accelerators counts.
func TypicalDemands(demandCounts map[api.Resources]int) []Demand {
	var out []Demand
	sum := 0.0
	for res, count := range demandCounts {
		if res.GPU > 0 && count > 0 {
			out = append(out, Demand{res, res.GPU.Float() * float64(count)})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Resources.GPU, b.Resources.GPU), cmp.Compare(a.Resources.CPU, b.Resources.CPU), cmp.Compare(a.Resources.Mem, b.Resources.Mem))
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

// Measure is how many accelerators of what is free on a machine a usual demand can't use.
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

// Increase is by how many accelerators a task makes more pieces on a machine; below 0 it uses up such
// as there are.
func Increase(free, task api.Resources, typical []Demand) float64 {
	return Measure(free.Minus(task), typical) - Measure(free, typical)
}

// MayStrand reports whether smaller usual demands may leave a demand without a machine though
// there is room for it in pieces.
func MayStrand(demand api.Resources, typical []Demand) bool {
	return slices.ContainsFunc(typical, func(d Demand) bool { return 2*d.Resources.GPU <= demand.GPU })
}
