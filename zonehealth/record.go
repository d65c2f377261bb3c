// Package zonehealth owns what is known and decided of a zone as a whole: whether it is healthy,
// failed or recovering, by the observations of all controllers; how long an outage is likely to
// last; which capacity is kept for less urgent work meanwhile; and which machines of a failed zone
// are evacuated, and in which order. It is pure: the same observations give the same state and the
// same plan, in whatever order they came.
package zonehealth

import (
	"cmp"
	"slices"
	"time"

	"basaltwall/api"
)

// State is a zone's state. It affects choices only, never safety: that a task has ended is proved by
// other means.
type State string

// The states of a zone.
const (
	Healthy    State = ""
	Suspect    State = "doubtful"  // many of its machines are unreachable: no starts, scale-outs or evacuations there
	Failed     State = "lost"      // unreachable for longer than chance explains
	Recovering State = "returning" // many of its machines are reachable again
)

// Record is a zone's durable state. One writer writes it, a few times for each outage, and all
// controllers act on it.
type Record struct {
	State         State        `json:"state,omitempty"`
	Since         api.WallTime `json:"since,omitempty"` // when the state began
	LastHeartbeat api.WallTime `json:"heard,omitempty"` // latest heartbeat of its unreachable machines
	// PartitionsInside are the partitions whose owners were in the zone and were lost with it. They
	// may go on answering their machines there, whose leases then do not expire.
	PartitionsInside []api.PartitionID `json:"inside,omitempty"`
	OutageHistory    []float64         `json:"past,omitempty"` // durations of recent outages, in seconds, oldest first
}

// maxOutageHistory bounds the outages that are remembered.
const maxOutageHistory = 8

// Thresholds are how long conditions must last before the state of a zone changes.
type Thresholds struct {
	FailAfter       time.Duration // unreachable, counted from the last heartbeat, until it has failed
	HealthyAfter    time.Duration // reachable until it is healthy
	RetryEmptyAfter time.Duration // failed and without machines until it is tried again
}

// Next is the record after an assessment; the record itself if nothing changes. healthyFor is for
// how long the writer has not assessed the zone as unreachable, and partitionsInside are the
// partitions to note if the zone fails now.
func (r Record) Next(now api.WallTime, a Assessment, healthyFor time.Duration, t Thresholds, partitionsInside []api.PartitionID) Record {
	next := r.nextState(now, a, healthyFor, t)
	if next == r.State {
		return r
	}
	switch {
	case next == Suspect:
		r.LastHeartbeat, r.PartitionsInside = cmp.Or(a.Heard, now), nil
	case next == Failed && r.State == Suspect:
		r.LastHeartbeat = cmp.Or(a.Heard, r.LastHeartbeat)
		r.PartitionsInside = slices.Sorted(slices.Values(partitionsInside))
	case next == Failed:
		r.LastHeartbeat = cmp.Or(a.Heard, now)
	}
	if next == Recovering && a.All > 0 || next == Healthy && r.State == Suspect {
		r.OutageHistory = append(slices.Clone(r.OutageHistory), elapsed(r.LastHeartbeat, now).Seconds())
		r.OutageHistory = r.OutageHistory[max(0, len(r.OutageHistory)-maxOutageHistory):]
	}
	if next == Healthy {
		r.LastHeartbeat, r.PartitionsInside = 0, nil
	}
	r.State, r.Since = next, max(now, r.Since) // another writer's clock may be ahead; time does not go back
	return r
}

// nextState is the state after an assessment.
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
		case empty && elapsed(r.Since, now) >= t.RetryEmptyAfter:
			return Recovering // no machine is left to send heartbeats: a scale-out there finds out
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

// minRespondingMachines is how many machines of a failed zone must respond before it recovers.
const minRespondingMachines = 2

// SameState reports whether two records need no write to replace one another.
func (r Record) SameState(o Record) bool { return r.State == o.State && r.Since == o.Since }

// elapsed is the time from one reading to another.
func elapsed(from, to api.WallTime) time.Duration { return time.Duration(to-from) * time.Millisecond }
