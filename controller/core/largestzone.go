package core

// This file selects a zone by count.

import (
	"maps"
	"slices"

	"basaltwall/api"
)

// LargestZone returns the zone with the highest count, or the empty zone if there is none. Of zones
// with equal counts it returns the first by name.
func LargestZone(count map[api.Zone]int) api.Zone {
	var best api.Zone
	for _, z := range slices.Sorted(maps.Keys(count)) {
		if best == "" || count[z] > count[best] {
			best = z
		}
	}
	return best
}
