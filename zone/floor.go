package zone

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Held is what the work of a class or team holds on machines that can be used, and what it
// holds and wants together, in CPUs. Patient is one that its floor is not kept for.
type Held struct {
	Has, Wants float64
	Patient    bool
	Share      float64 // of its fair part that is its floor; 0: as usual
}

// Floor is the share of its fair part of the room that is left for a class or team while a
// zone is lost, or once it has lacked that for long, whatever more urgent work there is.
const Floor = 0.5

// Due is what a class or team may give way by, and what it may still take (infinite: all it
// finds), in CPUs.
// Lacks is what it has less than its floor.
type Due struct{ Spare, May, Lacks float64 }

// Floors reckons for each class or team what it may give way by while a zone is lost, and
// what it may take of the room that is left. Its fair part of that is as large as its part
// of all that is wanted; half of it is its floor. While some lack to their floors, none of
// the others takes what comes free and they lack: work that never ends would else take all
// of it, and can't be made to give it back to less urgent work. That is what the floors cost.
// What may be given way by is a share of it: the rest is other owners'.
func Floors[K cmp.Ordered](held map[K]Held, room, share float64) map[K]Due {
	wanted, has, lacked := 0.0, 0.0, 0.0
	names := slices.Sorted(maps.Keys(held)) // sums depend on the order
	for _, k := range names {
		wanted += max(held[k].Has, held[k].Wants)
		has += held[k].Has
	}
	floor := func(h Held) float64 {
		if wanted <= 0 {
			return 0
		}
		share := Floor
		if h.Share > 0 {
			share = h.Share
		}
		return share * min(room, wanted) * max(h.Has, h.Wants) / wanted
	}
	lack := func(h Held) float64 {
		if h.Patient {
			return 0
		}
		return max(0, floor(h)-h.Has)
	}
	for _, k := range names {
		lacked += lack(held[k])
	}
	out := make(map[K]Due, len(held))
	for k, h := range held {
		d := Due{Spare: share * max(0, h.Has-floor(h)), May: math.Inf(1), Lacks: max(0, floor(h)-h.Has)}
		if h.Patient {
			d.Spare = math.Inf(1)
		}
		if others := lacked - lack(h); others > 1e-9 {
			d.May = max(0, room-has-others)
		}
		out[k] = d
	}
	return out
}

// Patience is how long work may wait before a floor is kept for its class and team while no
// zone is out.
const Patience = 2 * time.Minute

// Starved reports whether a floor is kept for work of which some has waited so long: after some
// patience three quarters of the time, as what is kept from others may be of no use to it for a
// reason that nobody counts. It follows from ages, so all controllers agree, and whoever begins
// anew does too.
func Starved(waited time.Duration) bool {
	kept := waited - Patience
	return kept >= 0 && kept%Patience < Patience*3/4
}
