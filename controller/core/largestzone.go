package core

import (
	"maps"
	"slices"

	"basaltwall/api"
)

// LargestZone is the zone with the highest count, the first by name of several, and empty
// if there is none.
func LargestZone(count map[api.Zone]int) api.Zone {
	var best api.Zone
	for _, z := range slices.Sorted(maps.Keys(count)) {
		if best == "" || count[z] > count[best] {
			best = z
		}
	}
	return best
}
