// Package zone owns what is known and decided of a zone as a whole: whether it is whole,
// cut off or coming back, by the evidence of all controllers; how long a cut is likely to
// last; and which machines of a lost zone are given up, and in which order. It is pure: the
// same evidence gives the same state and the same plan, in whatever order it came.
package zone

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
	Whole     State = ""          // as usual
	Doubtful  State = "doubtful"  // much of it is silent: nothing is started or rented there, nothing given up
	Lost      State = "lost"      // it has been so for long enough not to be chance
	Returning State = "returning" // much of it is heard again
)

// Record is a zone's durable state. It is written a few times for each change and by one
// writer, and all controllers act on it.
type Record struct {
	State State    `json:"state,omitempty"`
	Since api.Wall `json:"since,omitempty"` // when the state began
	Heard api.Wall `json:"heard,omitempty"` // when its silent machines were last heard
	// Parts whose owners sat in the zone and were lost with it: they may go on answering
	// their machines there, whose leases then do not end.
	Inside []api.PartID `json:"inside,omitempty"`
	Past   []float64    `json:"past,omitempty"` // how long it was silent each time of late, in seconds
}

// maxPast bounds the losses that are remembered.
const maxPast = 8

// Count is what the owner of parts sees of a zone's machines.
type Count struct {
	All, Silent int
	Heard       api.Wall // the last of the silent ones, 0: none was ever heard
}

// Mute reports whether so much is silent that the network is at fault more likely than the
// machines.
func (c Count) Mute() bool { return c.Silent >= 2 && c.Silent*3 >= c.All }

// Witness is what one controller sees of the zones.
type Witness map[api.Zone]Count

// Deaf reports whether a witness hears next to nobody, in no zone: then it is the
// witness who is cut off, and it says nothing of any zone.
func (w Witness) Deaf() bool {
	silent := 0
	for _, c := range w {
		if c.Silent*2 < c.All {
			return false
		}
		silent += c.Silent
	}
	return silent >= 2
}

// Sight is what all witnesses together see of a zone.
type Sight struct {
	Count
	Known bool // somebody who hears speaks of it
	Mute  bool
}

// Weigh sums what the witnesses see of a zone. Those who hear nobody are left out. Where
// witnesses differ, the zone is mute if at least half of those who see several of its
// machines say so: a zone that one controller alone does not hear is whole.
func Weigh(witnesses []Witness, zone api.Zone) Sight {
	var s Sight
	say, mute := 0, 0
	for _, w := range witnesses {
		c, ok := w[zone]
		if !ok || w.Deaf() {
			continue
		}
		s.Known = true
		s.All += c.All
		s.Silent += c.Silent
		s.Heard = max(s.Heard, c.Heard)
		if c.All >= enough {
			say++
			if c.Mute() {
				mute++
			}
		}
	}
	s.Mute = s.Count.Mute() && mute*2 >= say
	return s
}

// enough is how many machines a witness must see for its own word on a zone to count.
const enough = 3

// Times are how long the state of a zone takes to change.
type Times struct {
	Lost  time.Duration // silent for so long, counted from the last report: lost
	Calm  time.Duration // heard for so long: whole
	Empty time.Duration // lost and without machines for so long: it may be tried again
}

// Next is the record after what is seen now. Calm is for how long the zone has not been
// mute, as the writer saw it. It returns the record itself when nothing changes.
func (r Record) Next(now api.Wall, s Sight, calm time.Duration, t Times, inside []api.PartID) Record {
	if !s.Known && !(r.State == Lost && s.All == 0) {
		return r
	}
	since := r.Since
	to := r.State
	switch r.State {
	case Whole:
		if s.Mute {
			to = Doubtful
			r.Heard, r.Inside = cmp.Or(s.Heard, now), nil
		}
	case Doubtful:
		switch {
		case s.Mute && between(cmp.Or(s.Heard, r.Heard), now) >= t.Lost:
			to = Lost
			r.Heard = cmp.Or(s.Heard, r.Heard)
			r.Inside = slices.Sorted(slices.Values(inside))
		case !s.Mute && calm >= t.Calm && (s.All > s.Silent || s.All == 0):
			to = Whole
		}
	case Lost:
		switch {
		case s.All-s.Silent >= 2 && !s.Mute:
			to = Returning
		case s.All == 0 && between(r.Since, now) >= t.Empty:
			to = Returning // nothing is left there that could be heard: what is rented tells
		}
	case Returning:
		switch {
		case s.Mute && between(r.Since, now) >= t.Calm:
			to = Lost
			r.Heard = cmp.Or(s.Heard, now)
		case !s.Mute && calm >= t.Calm && s.All > s.Silent:
			to = Whole
		}
	}
	if to == r.State {
		return r
	}
	if to == Returning && s.All > 0 || to == Whole && r.State == Doubtful {
		r.Past = append(slices.Clone(r.Past), between(r.Heard, now).Seconds())
		r.Past = r.Past[max(0, len(r.Past)-maxPast):]
	}
	if to == Whole {
		r.Heard, r.Inside = 0, nil
	}
	if r.State, r.Since = to, now; now < since {
		r.Since = since // another clock; time does not go back
	}
	return r
}

// Same reports whether nothing would be written anew.
func (r Record) Same(o Record) bool { return r.State == o.State && r.Since == o.Since }

func between(from, to api.Wall) time.Duration { return time.Duration(to-from) * time.Millisecond }

// Outlasts is the chance that the zone stays silent for longer than some time if it has
// been so for a shorter one, in seconds. Without experience a silence that has lasted so
// long lasts as long again with an even chance; each past one counts as much as that.
func (r Record) Outlasts(longer, lasted float64) float64 {
	if lasted <= 0 || longer <= lasted {
		return 1
	}
	of, beyond := 1.0, lasted/longer
	for _, p := range r.Past {
		if p > lasted {
			of++
			if p > longer {
				beyond++
			}
		}
	}
	return beyond / of
}

// Remaining is how much longer the zone is likely to stay silent, in seconds, if it has
// been so for some time: as long again, or what past ones lasted beyond that.
func (r Record) Remaining(lasted float64) float64 {
	of, sum := 1.0, lasted
	for _, p := range r.Past {
		if p > lasted {
			of++
			sum += p - lasted
		}
	}
	return sum / of
}
