// Package relay decides which controllers read the key-value store's log for the others, and keeps
// what they pass on. Controllers beyond a number that follows from the key-value store's limit on
// requests read through a relay, so that a read takes no longer with each controller that is
// added. It does no input or output; docs/relays.md tells why nothing that is read through a relay
// can be older than what a read of one's own would tell.
package relay

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"basaltwall/api"
)

// ReadInterval is the time between two reads of a relay, and so about what a read through it takes.
const ReadInterval = 100 * time.Millisecond

// readShare is the share of the key-value store's requests that reads of the log may take.
const readShare = 1.0 / 3

// minReaders is how many controllers read for themselves whatever the limit: two may end at once and
// one still reads.
const minReaders = 3

// MaxRelays is how many relays the key-value store's limit on requests carries.
func MaxRelays(requestsPerSecond float64) int {
	return max(minReaders, int(requestsPerSecond*readShare*ReadInterval.Seconds()))
}

// Member is a living controller and the zone it is in.
type Member struct {
	ID   api.ControllerID
	Zone api.Zone
}

// weight is a member's weight for a purpose: the highest wins (rendezvous hashing), so that one
// member's end or return moves nothing but what was its own.
func weight(purpose, label api.ControllerID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	h.Write([]byte{0})
	h.Write([]byte(label))
	// FNV's low bits are spread better than its high ones, which decide here.
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h.Sum64())
	return binary.BigEndian.Uint64(b[:])
}

// byWeight orders members by weight for a purpose.
func byWeight(purpose api.ControllerID, members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(purpose, b.ID), weight(purpose, a.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// Select picks the relays among the living members, so many at most and over as many zones as
// possible. All controllers that see the same members pick the same.
func Select(members []Member, limit int) []Member {
	rest := byWeight("", members)
	if len(rest) <= limit {
		return rest
	}
	var out []Member
	for len(out) < limit {
		usedZones := map[api.Zone]bool{}
		var remaining []Member
		for _, m := range rest { // one of each zone, then again
			if len(out) < limit && !usedZones[m.Zone] {
				usedZones[m.Zone] = true
				out = append(out, m)
				continue
			}
			remaining = append(remaining, m)
		}
		rest = remaining
	}
	return out
}

// Contains reports whether a controller is among the members.
func Contains(members []Member, id api.ControllerID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id })
}

// PreferenceOrder is the order in which a controller asks the relays: those of its own zone first.
func PreferenceOrder(member Member, relays []Member) []api.ControllerID {
	var out []api.ControllerID
	for _, same := range []bool{true, false} {
		for _, r := range byWeight(member.ID, relays) {
			if (r.Zone == member.Zone) == same && r.ID != member.ID {
				out = append(out, r.ID)
			}
		}
	}
	return out
}

// Selector is which relay a controller reads through. One that fails is left alone for a while.
type Selector struct {
	backoffUntil map[api.ControllerID]api.Time
}

// failureBackoff is how long a relay that failed is not asked again.
const failureBackoff = 5 * time.Second

// MarkFailed notes that a relay did not answer in time, refused, or gave an answer that can't be.
func (l *Selector) MarkFailed(relay api.ControllerID, now api.Time) {
	if l.backoffUntil == nil {
		l.backoffUntil = map[api.ControllerID]api.Time{}
	}
	l.backoffUntil[relay] = now.Add(failureBackoff)
}

// Next is the relay to ask, of those in the given order; none if all have failed of late.
func (l *Selector) Next(order []api.ControllerID, now api.Time) (api.ControllerID, bool) {
	for _, r := range order {
		if l.backoffUntil[r] <= now {
			return r, true
		}
	}
	return "", false
}
