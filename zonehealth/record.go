// Package zonehealth owns what is known and decided of a zone as a whole: whether it is whole,
// cut off or coming back, by the evidence of all controllers; how long a cut is likely to
// last; and which machines of a lost zone are given up, and in which order. It is pure: the
// same evidence gives the same state and the same plan, in whatever order it came.
package zonehealth

import (
	"cmp"
	"slices"
	"time"

	"basaltwall/api"
)

// State is a zone's state. It bears on what is chosen, never on what is safe: that a task
// is over is proved by other means.
type State string

// A zone's states.
const (
	Healthy    State = ""          // as usual
	Suspect    State = "doubtful"  // much of it is silent: nothing is started or rented there, nothing given up
	Failed     State = "lost"      // it has been so for long enough not to be chance
	Recovering State = "returning" // much of it is heard again
)

// Record is a zone's durable state. It is written a few times for each change and by one
// writer, and all controllers act on it.
type Record struct {
	State         State        `json:"state,omitempty"`
	Since         api.WallTime `json:"since,omitempty"` // when the state began
	LastHeartbeat api.WallTime `json:"heard,omitempty"` // when its silent machines were last heard
	// Parts whose owners sat in the zone and were lost with it: they may go on answering
	// their machines there, whose leases then do not end.
	PartitionsInside []api.PartitionID `json:"inside,omitempty"`
	OutageHistory    []float64         `json:"past,omitempty"` // how long it was silent each time of late, in seconds
}

// maxOutageHistory bounds the losses that are remembered.
const maxOutageHistory = 8

// MachineCount is what the owner of partitions sees of a zone's machines.
type MachineCount struct {
	All, Silent int
	Heard       api.WallTime // the last of the silent ones, 0: none was ever heard
}

// Unreachable reports whether so much is silent that the network is at fault more likely than the
// machines.
func (c MachineCount) Unreachable() bool { return c.Silent >= 2 && c.Silent*3 >= c.All }

// Observation is what one controller sees of the zones.
type Observation map[api.Zone]MachineCount

// ObserverIsolated reports whether a witness hears next to nobody, in no zone: then it is the
// witness who is cut off, and it says nothing of any zone.
func (w Observation) ObserverIsolated() bool {
	silent := 0
	for _, c := range w {
		if c.Silent*2 < c.All {
			return false
		}
		silent += c.Silent
	}
	return silent >= 2
}

// Assessment is what all witnesses together see of a zone.
type Assessment struct {
	MachineCount
	Observed    bool // somebody who hears speaks of it
	Unreachable bool
}

// Assess sums what the witnesses see of a zone. Those who hear nobody are left out. Where
// witnesses differ, the zone is mute if at least half of those who see several of its
// machines say so: a zone that one controller alone does not hear is whole.
func Assess(observations []Observation, zone api.Zone) Assessment {
	var s Assessment
	voters, unreachable := 0, 0
	for _, w := range observations {
		c, ok := w[zone]
		if !ok || w.ObserverIsolated() {
			continue
		}
		s.Observed = true
		s.All += c.All
		s.Silent += c.Silent
		s.Heard = max(s.Heard, c.Heard)
		if c.All >= minObservedMachines {
			voters++
			if c.Unreachable() {
				unreachable++
			}
		}
	}
	s.Unreachable = s.MachineCount.Unreachable() && unreachable*2 >= voters
	return s
}

// minObservedMachines is how many machines a witness must see for its own word on a zone to count.
const minObservedMachines = 3

// Thresholds are how long the state of a zone takes to change.
type Thresholds struct {
	FailAfter       time.Duration // silent for so long, counted from the last report: lost
	HealthyAfter    time.Duration // heard for so long: whole
	RetryEmptyAfter time.Duration // lost and without machines for so long: it may be tried again
}

// Next is the record after what is seen now. Calm is for how long the zone has not been
// mute, as the writer saw it. It returns the record itself when nothing changes.
func (r Record) Next(now api.WallTime, s Assessment, healthyFor time.Duration, t Thresholds, partitionsInside []api.PartitionID) Record {
	if !s.Observed && !(r.State == Failed && s.All == 0) {
		return r
	}
	since := r.Since
	next := r.State
	switch r.State {
	case Healthy:
		if s.Unreachable {
			next = Suspect
			r.LastHeartbeat, r.PartitionsInside = cmp.Or(s.Heard, now), nil
		}
	case Suspect:
		switch {
		case s.Unreachable && elapsed(cmp.Or(s.Heard, r.LastHeartbeat), now) >= t.FailAfter:
			next = Failed
			r.LastHeartbeat = cmp.Or(s.Heard, r.LastHeartbeat)
			r.PartitionsInside = slices.Sorted(slices.Values(partitionsInside))
		case !s.Unreachable && healthyFor >= t.HealthyAfter && (s.All > s.Silent || s.All == 0):
			next = Healthy
		}
	case Failed:
		switch {
		case s.All-s.Silent >= 2 && !s.Unreachable:
			next = Recovering
		case s.All == 0 && elapsed(r.Since, now) >= t.RetryEmptyAfter:
			next = Recovering // nothing is left there that could be heard: what is rented tells
		}
	case Recovering:
		switch {
		case s.Unreachable && elapsed(r.Since, now) >= t.HealthyAfter:
			next = Failed
			r.LastHeartbeat = cmp.Or(s.Heard, now)
		case !s.Unreachable && healthyFor >= t.HealthyAfter && s.All > s.Silent:
			next = Healthy
		}
	}
	if next == r.State {
		return r
	}
	if next == Recovering && s.All > 0 || next == Healthy && r.State == Suspect {
		r.OutageHistory = append(slices.Clone(r.OutageHistory), elapsed(r.LastHeartbeat, now).Seconds())
		r.OutageHistory = r.OutageHistory[max(0, len(r.OutageHistory)-maxOutageHistory):]
	}
	if next == Healthy {
		r.LastHeartbeat, r.PartitionsInside = 0, nil
	}
	if r.State, r.Since = next, now; now < since {
		r.Since = since // another clock; time does not go back
	}
	return r
}

// SameState reports whether nothing would be written anew.
func (r Record) SameState(o Record) bool { return r.State == o.State && r.Since == o.Since }

func elapsed(from, to api.WallTime) time.Duration { return time.Duration(to-from) * time.Millisecond }

// OutlastProbability is the chance that the zone stays silent for longer than some time if it has
// been so for a shorter one, in seconds. Without experience a silence that has lasted so
// long lasts as long again with an even chance; each past one counts as much as that.
func (r Record) OutlastProbability(target, elapsedSeconds float64) float64 {
	if elapsedSeconds <= 0 || target <= elapsedSeconds {
		return 1
	}
	total, exceeded := 1.0, elapsedSeconds/target
	for _, p := range r.OutageHistory {
		if p > elapsedSeconds {
			total++
			if p > target {
				exceeded++
			}
		}
	}
	return exceeded / total
}

// ExpectedRemaining is how much longer the zone is likely to stay silent, in seconds, if it has
// been so for some time: as long again, or what past ones lasted beyond that.
func (r Record) ExpectedRemaining(elapsedSeconds float64) float64 {
	total, sum := 1.0, elapsedSeconds
	for _, p := range r.OutageHistory {
		if p > elapsedSeconds {
			total++
			sum += p - elapsedSeconds
		}
	}
	return sum / total
}
