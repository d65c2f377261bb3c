// Metric of the jobs that have been pending for long.

package jobs

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// longPendingThreshold is the pending time from which a job is counted.
	longPendingThreshold = time.Minute
	// maxLongPendingJobs bounds the pairs of job and partition whose reason is computed.
	maxLongPendingJobs = 200
)

// LongPendingJobs counts, by category of the pending reason, the jobs that have been pending in an owned partition
// for at least longPendingThreshold without a placement there.
func (s *Service) LongPendingJobs() map[string]int {
	counts, capacityGroups, budget := map[string]int{}, s.deps.Capacity.FreeCapacityGroups(), maxLongPendingJobs
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

// pendingReasonCategories are the metric labels of the pending reasons, by the prefix of the reason.
var pendingReasonCategories = []struct{ prefix, category string }{
	{"quota:", "limit"},
	{"no free capacity:", "no room"},
	{"pool ", "pool"},
	{"retry backoff", "backs off after failures"},
	{"machines are reserved", "room is gathered"},
	{"the gang's previous attempt", "the gang's last attempt ends"},
}

// pendingReasonCategory returns the metric label of a pending reason.
func pendingReasonCategory(reason string) string {
	for _, c := range pendingReasonCategories {
		if strings.HasPrefix(reason, c.prefix) {
			return c.category
		}
	}
	return "has room"
}
