// The count of jobs that wait for long, for the metrics.

package jobs

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// longPendingThreshold is from when on a job that waits is counted by its reason.
	longPendingThreshold = time.Minute
	// maxLongPendingJobs bounds the jobs that are looked into, each in each partition.
	maxLongPendingJobs = 200
)

// LongPendingJobs counts the jobs of the owned partitions that have waited for long without a task there, by the
// reason's category.
func (s *Service) LongPendingJobs() map[string]int {
	counts, capacityGroups, budget := map[string]int{}, s.siblings.Capacity.FreeCapacityGroups(), maxLongPendingJobs
	for _, ref := range slices.Sorted(maps.Keys(s.core.State.PendingJobs)) {
		j := s.core.State.PendingJobs[ref]
		waited := time.Duration(s.core.WallClock-j.AcceptedAt) * time.Millisecond
		for _, p := range slices.Sorted(maps.Keys(s.core.Partitions)) {
			if waited < longPendingThreshold || j.PlacementCounts[p] > 0 || j.PendingTasks(p) == 0 {
				continue
			}
			if budget--; budget < 0 {
				return counts
			}
			counts[pendingReasonCategory(s.PendingReason(j, p, capacityGroups))]++
		}
	}
	return counts
}

// pendingReasonCategories are the metrics' names of reasons, by how the reasons begin.
var pendingReasonCategories = []struct{ prefix, category string }{
	{"limit:", "limit"},
	{"no room:", "no room"},
	{"pool ", "pool"},
	{"backs off", "backs off after failures"},
	{"room is gathered", "room is gathered"},
	{"the gang's last attempt", "the gang's last attempt ends"},
}

// pendingReasonCategory is a reason for waiting without its figures.
func pendingReasonCategory(reason string) string {
	for _, c := range pendingReasonCategories {
		if strings.HasPrefix(reason, c.prefix) {
			return c.category
		}
	}
	return "has room"
}
