// Package zonehealth decides the state of zones (healthy, suspect, failed or recovering) from the
// observations of all controllers. It estimates the duration of outages, computes the capacity floors of
// classes and teams, and plans the evacuation of machines in failed zones. It has no side effects:
// results do not depend on the order of observations.
package zonehealth

import (
	"cmp"
	"slices"
	"time"

	"basaltwall/api"
)

// State is a zone's state. It affects scheduling decisions only, never safety: no task is considered
// ended because of it.
type State string

// The states of a zone.
const (
	Healthy    State = ""
	Suspect    State = "doubtful"  // many machines are unreachable: no starts, scale-out or evacuation there
	Failed     State = "lost"      // many machines have been unreachable for longer than Thresholds.FailAfter
	Recovering State = "returning" // machines are reachable again, but not yet long enough to be healthy
)

// Record is a zone's durable state. A single writer updates it, a few times per outage, and all
// controllers follow it.
type Record struct {
	State         State        `json:"state,omitempty"`
	Since         api.WallTime `json:"since,omitempty"` // start of the state
	LastHeartbeat api.WallTime `json:"heard,omitempty"` // latest heartbeat of its unreachable machines
	// IsolatedPartitions lists the partitions whose owners were in the zone and were lost with it. These
	// owners may still be running and renewing the leases of their machines in the zone.
	IsolatedPartitions []api.PartitionID `json:"inside,omitempty"`
	OutageHistory      []float64         `json:"past,omitempty"` // durations of recent outages, in seconds, oldest first
}

// maxOutageHistory is the maximum length of Record.OutageHistory.
const maxOutageHistory = 8

// Thresholds are the durations that conditions must last before the state of a zone changes.
type Thresholds struct {
	FailAfter                 time.Duration // since the last heartbeat, before a suspect zone fails
	HealthyAfter              time.Duration // reachable, before a zone is healthy again
	RetryWithoutMachinesAfter time.Duration // failed and without machines, before scale-out there is tried again
}

// Next returns the record after an assessment, unchanged if the state stays the same. healthyFor is the
// time since the writer last assessed the zone as unreachable, and partitionsInside is the new
// IsolatedPartitions if the zone fails now.
func (r Record) Next(now api.WallTime, a Assessment, healthyFor time.Duration, t Thresholds, partitionsInside []api.PartitionID) Record {
	next := r.nextState(now, a, healthyFor, t)
	if next == r.State {
		return r
	}
	switch {
	case next == Suspect:
		r.LastHeartbeat, r.IsolatedPartitions = cmp.Or(a.Heard, now), nil
	case next == Failed && r.State == Suspect:
		r.LastHeartbeat = cmp.Or(a.Heard, r.LastHeartbeat)
		r.IsolatedPartitions = slices.Sorted(slices.Values(partitionsInside))
	case next == Failed:
		r.LastHeartbeat = cmp.Or(a.Heard, now)
	}
	if next == Recovering && a.All > 0 || next == Healthy && r.State == Suspect {
		r.OutageHistory = append(slices.Clone(r.OutageHistory), elapsed(r.LastHeartbeat, now).Seconds())
		r.OutageHistory = r.OutageHistory[max(0, len(r.OutageHistory)-maxOutageHistory):]
	}
	if next == Healthy {
		r.LastHeartbeat, r.IsolatedPartitions = 0, nil
	}
	r.State, r.Since = next, max(now, r.Since) // a previous writer's clock may have been ahead
	return r
}

// nextState returns the state after an assessment.
func (r Record) nextState(now api.WallTime, a Assessment, healthyFor time.Duration, t Thresholds) State {
	empty := a.All == 0
	if !a.Observed && (r.State != Failed || !empty) {
		return r.State
	}
	responding := a.All - a.Silent
	recovered := !a.Unreachable && healthyFor >= t.HealthyAfter
	switch r.State {
	case Healthy:
		if a.Unreachable {
			return Suspect
		}
	case Suspect:
		switch {
		case a.Unreachable && elapsed(cmp.Or(a.Heard, r.LastHeartbeat), now) >= t.FailAfter:
			return Failed
		case recovered && (responding > 0 || empty):
			return Healthy
		}
	case Failed:
		switch {
		case responding >= minRespondingMachines && !a.Unreachable:
			return Recovering
		case empty && elapsed(r.Since, now) >= t.RetryWithoutMachinesAfter:
			return Recovering // no machine is left to send heartbeats; a scale-out shows whether the zone works
		}
	case Recovering:
		switch {
		case a.Unreachable && elapsed(r.Since, now) >= t.HealthyAfter:
			return Failed
		case recovered && responding > 0:
			return Healthy
		}
	}
	return r.State
}

// minRespondingMachines is the minimum number of reachable machines for a failed zone to be recovering.
const minRespondingMachines = 2

// SameState reports whether two records have the same state since the same time, so that no write is
// needed.
func (r Record) SameState(o Record) bool { return r.State == o.State && r.Since == o.Since }

// elapsed returns the duration between two wall-clock times.
func elapsed(from, to api.WallTime) time.Duration { return time.Duration(to-from) * time.Millisecond }
