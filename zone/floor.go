package zone

// Held is what the work of a class or team holds on machines that can be used, and what it
// holds and wants together, in CPUs.
type Held struct{ Has, Wants float64 }

// Floor is the share of its fair part of the room that is left for a class or team while a
// zone is lost, whatever more urgent work there is.
const Floor = 0.5

// Due is what a class or team may give way by, and what it may still take, in CPUs.
type Due struct{ Spare, May float64 }

// Floors reckons for each class or team what it may give way by while a zone is lost, and
// what it may take of the room that is left. Its fair part of that is as large as its part
// of all that is wanted; half of it is its floor. None may take what would leave less than
// the floors of the others: work that never ends would else take all that comes free, and
// can't be made to give it back to less urgent work. That is what the floors cost.
func Floors[K comparable](held map[K]Held, room float64) map[K]Due {
	wanted := 0.0
	for _, h := range held {
		wanted += max(h.Has, h.Wants)
	}
	floor := func(h Held) float64 {
		if wanted <= 0 {
			return 0
		}
		return Floor * min(room, wanted) * max(h.Has, h.Wants) / wanted
	}
	floors := 0.0
	for _, h := range held {
		floors += floor(h)
	}
	out := make(map[K]Due, len(held))
	for k, h := range held {
		f := floor(h)
		out[k] = Due{max(0, h.Has-f), max(0, room-(floors-f)-h.Has)}
	}
	return out
}
