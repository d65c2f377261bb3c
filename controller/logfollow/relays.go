package logfollow

import (
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
	"basaltwall/relay"
)

// This file selects relays and reads through them. A relay starts its own read after it has received a
// request, so its response is as current as a direct read. A relay that times out, rejects a request or
// gives an invalid response is avoided for a while, and the client reads directly.

const (
	// relayTimeout is the timeout of a read through a relay. It covers the relay's read interval, a
	// slow read of the store and the network latency.
	relayTimeout = 600 * time.Millisecond
	// relayPollTimeout is the maximum duration of a watch through a relay. It is shorter than that of
	// a watch of the store, so that an unresponsive relay is detected early.
	relayPollTimeout = 2 * time.Second
	// watchGracePeriod is the additional time that a call to the store may take beyond the watch's
	// own timeout.
	watchGracePeriod = 2 * time.Second
)

// relaySelection is the relays selected for the live members, cached until the members change.
type relaySelection struct {
	memberFormats []int // record format, or notLive, of each controller in core.Core.Controllers
	supported     bool  // whether all live members support relays
	relays        []relay.Member
	preference    []api.ControllerID // relays in this controller's order of preference
}

// notLive replaces the record format of a controller that is not live.
const notLive = -1

// UsesRelays reports whether relays are in use: there are more controllers than may read directly, and
// all live ones support relays. During a rolling upgrade from a version without relays all read
// directly.
func (f *Follower) UsesRelays() bool {
	if len(f.core.Controllers) <= f.core.MaxRelays {
		return false
	}
	f.selectRelays()
	return f.relays.supported
}

// CurrentRelays returns the controllers that are relays, according to this controller's state.
func (f *Follower) CurrentRelays() []relay.Member {
	f.selectRelays()
	return f.relays.relays
}

// IsRelay reports whether relays are in use and this controller is one.
func (f *Follower) IsRelay() bool {
	return f.UsesRelays() && relay.Contains(f.CurrentRelays(), f.core.Config.Label)
}

// readsThroughRelay reports whether this controller reads through relays.
func (f *Follower) readsThroughRelay() bool {
	return f.UsesRelays() && !relay.Contains(f.CurrentRelays(), f.core.Config.Label)
}

// NextRelay returns the relay to read through, empty for a direct read.
func (f *Follower) NextRelay() api.ControllerID {
	if !f.readsThroughRelay() {
		return ""
	}
	via, _ := f.relaySelector.Next(f.relays.preference, f.core.Now)
	return via
}

// MarkRelayFailed records that a relay did not answer, so that others are used for a while.
func (f *Follower) MarkRelayFailed(id api.ControllerID) {
	f.relaySelector.MarkFailed(id, f.core.Now)
}

// ReadInterval returns the time between two reads of the log.
func (f *Follower) ReadInterval() time.Duration {
	if f.UsesRelays() {
		return f.core.ReadInterval
	}
	return f.PageReadInterval()
}

// PageReadInterval returns the time between two direct reads if every controller reads directly, as it
// does when it loads the state. All controllers together then use a third of the store's limit on
// requests.
func (f *Follower) PageReadInterval() time.Duration {
	if len(f.core.Controllers) <= f.core.MaxRelays {
		return f.core.ReadInterval
	}
	return f.core.DirectReadInterval / 2
}

// ZoneOfController returns the zone of a controller, empty if the controller is unknown.
func (f *Follower) ZoneOfController(id api.ControllerID) api.Zone {
	if id == f.core.Config.Label {
		return f.core.Config.Zone
	}
	for _, peer := range f.core.Config.Peers {
		if peer.Label == id {
			return peer.Zone
		}
	}
	return ""
}

// formatOf returns the record format that a controller supports, or notLive.
func (f *Follower) formatOf(id api.ControllerID) int {
	member, live := f.core.State.Members[id]
	if !live {
		return notLive
	}
	return member.Format
}

// selectRelays updates the selected relays if the live members or their formats have changed.
func (f *Follower) selectRelays() {
	if f.relaysUpToDate() {
		return
	}
	selection := relaySelection{memberFormats: make([]int, len(f.core.Controllers)), supported: true}
	var members []relay.Member
	for i, id := range f.core.Controllers {
		format := f.formatOf(id)
		selection.memberFormats[i] = format
		if format != notLive {
			selection.supported = selection.supported && format >= clusterstate.FormatRelays
			members = append(members, relay.Member{ID: id, Zone: f.ZoneOfController(id)})
		}
	}
	self := relay.Member{ID: f.core.Config.Label, Zone: f.core.Config.Zone}
	selection.relays = relay.Select(members, f.core.MaxRelays)
	selection.preference = relay.PreferenceOrder(self, selection.relays)
	f.relays = selection
}

// relaysUpToDate reports whether the relays were selected for the current live members.
func (f *Follower) relaysUpToDate() bool {
	if f.relays.memberFormats == nil {
		return false
	}
	for i, id := range f.core.Controllers {
		if f.relays.memberFormats[i] != f.formatOf(id) {
			return false
		}
	}
	return true
}

// readFromRelay reads the log after a revision through a relay, and avoids the relay for a while if it
// fails.
func (f *Follower) readFromRelay(since api.Revision, wait bool, via api.ControllerID, done func(readResult)) {
	timeout := relayTimeout
	if wait {
		timeout += relayPollTimeout
	}
	f.core.Metrics.ReadsRelayed++
	request := message.PeerMessage{ReadLog: &message.ReadLogRequest{Since: since, Wait: wait}}
	f.core.CallPeer(via, timeout, request, func(response message.PeerResponse) {
		result := f.validateRelayResponse(response, since, via)
		if result.status != api.StatusOK {
			f.relaySelector.MarkFailed(via, f.core.Now)
		}
		done(result)
	})
}

// validateRelayResponse returns the result of a read through a relay. Its status is 0 if the response is
// missing or invalid.
func (f *Follower) validateRelayResponse(response message.PeerResponse, since api.Revision, via api.ControllerID) readResult {
	result := readResult{status: response.Reply.Status, via: via}
	if !response.OK {
		result.status = 0
	}
	if result.status != api.StatusOK {
		return result
	}
	if err := relay.Validate(since, response.Reply.Log); err != nil {
		slog.Error("invalid relay response", "relay", via, "err", err)
		f.core.Metrics.ReadsInvalid++
		result.status = 0
		return result
	}
	result.changes = *response.Reply.Log
	return result
}
