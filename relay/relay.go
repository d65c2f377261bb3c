// Package relay selects the controllers that read the log of the key-value store for others (relays), and
// stores the changes that they forward. If there are more controllers than the store's limit on requests
// allows to read directly, the others read through a relay, so that read latency does not grow with the
// number of controllers. The package does no input or output. docs/relays.md explains why reads through a
// relay are linearizable.
package relay

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"basaltwall/api"
)

// ReadInterval is the time between two reads of a relay, and approximately the latency that a relay adds.
const ReadInterval = 100 * time.Millisecond

// readShare is the fraction of the key-value store's limit on requests that reads of the log may use.
const readShare = 1.0 / 3

// minReaders is the minimum number of controllers that read directly, so that one still reads after two
// failures.
const minReaders = 3

// MaxRelays returns the number of relays that the key-value store's limit on requests allows.
func MaxRelays(requestsPerSecond float64) int {
	return max(minReaders, int(requestsPerSecond*readShare*ReadInterval.Seconds()))
}

// Member is a live controller and its zone.
type Member struct {
	ID   api.ControllerID
	Zone api.Zone
}

// weight returns the rendezvous hash of a member for a key. The member with the highest weight is
// selected, so that the failure or return of a member does not change the selection of others.
func weight(key, member api.ControllerID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(member))
	// The byte order is reversed because FNV's low bits are distributed better than its high bits,
	// which decide the comparison.
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h.Sum64())
	return binary.BigEndian.Uint64(b[:])
}

// byWeight returns the members ordered by weight for a key, highest first.
func byWeight(key api.ControllerID, members []Member) []Member {
	return slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(key, b.ID), weight(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// Select selects at most limit relays among the live members, in as many zones as possible. Controllers
// with the same view of the members select the same relays.
func Select(members []Member, limit int) []Member {
	rest := byWeight("", members)
	if len(rest) <= limit {
		return rest
	}
	var out []Member
	for len(out) < limit {
		usedZones := map[api.Zone]bool{}
		var remaining []Member
		for _, m := range rest { // selects one member per zone in each pass
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

// PreferenceOrder returns the relays in a controller's order of preference, those of its own zone first.
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

// Selector selects the relay that a controller reads through, and skips relays that failed recently. The
// zero value is ready to use.
type Selector struct {
	backoffUntil map[api.ControllerID]api.Time
}

// failureBackoff is the time for which a relay is skipped after a failure.
const failureBackoff = 5 * time.Second

// MarkFailed records that a relay timed out, rejected a request or sent an invalid response.
func (s *Selector) MarkFailed(relay api.ControllerID, now api.Time) {
	if s.backoffUntil == nil {
		s.backoffUntil = map[api.ControllerID]api.Time{}
	}
	s.backoffUntil[relay] = now.Add(failureBackoff)
}

// Next returns the first relay in the given order that has not failed recently; false if all have.
func (s *Selector) Next(order []api.ControllerID, now api.Time) (api.ControllerID, bool) {
	for _, r := range order {
		if s.backoffUntil[r] <= now {
			return r, true
		}
	}
	return "", false
}
