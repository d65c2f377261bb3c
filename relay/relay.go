// Package relay owns which controllers read the log of the key-value store for the others, and the
// changes that they pass on. Controllers beyond a number that follows from the key-value store's
// request limit read through a relay, so that a read does not slow down with each controller that is
// added. It does no input or output; docs/relays.md explains why nothing that is read through a relay
// can be older than what a direct read would return.
package relay

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"basaltwall/api"
)

// ReadInterval is the time between two reads of a relay, and so about the delay that it adds.
const ReadInterval = 100 * time.Millisecond

// readShare is the share of the key-value store's request limit that reads of the log may use.
const readShare = 1.0 / 3

// minReaders is how many controllers read for themselves whatever the limit: two may fail at once and
// one still reads.
const minReaders = 3

// MaxRelays is how many relays the key-value store's limit on requests allows.
func MaxRelays(requestsPerSecond float64) int {
	return max(minReaders, int(requestsPerSecond*readShare*ReadInterval.Seconds()))
}

// Member is a live controller and its zone.
type Member struct {
	ID   api.ControllerID
	Zone api.Zone
}

// weight is the weight of a member for a purpose. The highest wins (rendezvous hashing), so that the
// failure or return of one member moves nothing but what was its own.
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

// byWeight orders members by weight for a purpose, highest first.
func byWeight(purpose api.ControllerID, members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(purpose, b.ID), weight(purpose, a.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// Select chooses the relays among the live members: at most limit, over as many zones as
// possible. All controllers that see the same members choose the same.
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

// PreferenceOrder is the order in which a controller tries the relays: those of its own zone first.
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

// Selector chooses the relay that a controller reads through; a relay that fails is skipped for a
// while. The zero value is ready to use.
type Selector struct {
	backoffUntil map[api.ControllerID]api.Time
}

// failureBackoff is for how long a relay that failed is skipped.
const failureBackoff = 5 * time.Second

// MarkFailed notes that a relay timed out, refused, or gave an invalid response.
func (s *Selector) MarkFailed(relay api.ControllerID, now api.Time) {
	if s.backoffUntil == nil {
		s.backoffUntil = map[api.ControllerID]api.Time{}
	}
	s.backoffUntil[relay] = now.Add(failureBackoff)
}

// Next is the first relay of the order that has not failed recently; false if all have.
func (s *Selector) Next(order []api.ControllerID, now api.Time) (api.ControllerID, bool) {
	for _, r := range order {
		if s.backoffUntil[r] <= now {
			return r, true
		}
	}
	return "", false
}
