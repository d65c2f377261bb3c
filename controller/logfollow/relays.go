package logfollow

import (
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
	"basaltwall/relay"
)

// This file chooses the relays and reads through them. A relay begins a read of its own after the
// request has come, so what it answers is as current as a read that the client had begun itself. A
// relay that is silent, refuses or gives an invalid answer is avoided for a while, and the client
// reads directly.

const (
	// relayTimeout is how long a relay may take for a read: its interval between two reads, a
	// slow read, and the way.
	relayTimeout = 600 * time.Millisecond
	// relayPollTimeout is how long a relay keeps a watch open: shorter than a watch of the store,
	// since a relay that hangs says nothing.
	relayPollTimeout = 2 * time.Second
	// watchGracePeriod is how much longer than its own timeout a watch of the store may take.
	watchGracePeriod = 2 * time.Second
)

// relaySelection is the relays for the members that are live, kept until those change.
type relaySelection struct {
	memberFormats []int // by controller, as core.Core.Controllers lists them: its record format or notLive
	supported     bool  // all live members know of relays
	relays        []relay.Member
	preference    []api.ControllerID // the order in which this controller asks them
}

// notLive stands in for the record format of a controller that is not live.
const notLive = -1

// UsesRelays reports whether there are so many controllers that most read through relays, and all
// live ones support it: during a rolling upgrade each reads for itself.
func (f *Follower) UsesRelays() bool {
	if len(f.core.Controllers) <= f.core.MaxRelays {
		return false
	}
	f.selectRelays()
	return f.relays.supported
}

// CurrentRelays are the controllers that are relays, as far as this one knows.
func (f *Follower) CurrentRelays() []relay.Member {
	f.selectRelays()
	return f.relays.relays
}

// IsRelay reports whether relays are in use and this controller is one.
func (f *Follower) IsRelay() bool {
	return f.UsesRelays() && relay.Contains(f.CurrentRelays(), f.core.Config.Label)
}

// readsThroughRelay reports whether this controller is one of those that read through relays.
func (f *Follower) readsThroughRelay() bool {
	return f.UsesRelays() && !relay.Contains(f.CurrentRelays(), f.core.Config.Label)
}

// NextRelay is the relay to read through, none for a direct read.
func (f *Follower) NextRelay() api.ControllerID {
	if !f.readsThroughRelay() {
		return ""
	}
	via, _ := f.relaySelector.Next(f.relays.preference, f.core.Now)
	return via
}

// MarkRelayFailed notes that a relay did not answer, so that others are preferred for a while.
func (f *Follower) MarkRelayFailed(id api.ControllerID) {
	f.relaySelector.MarkFailed(id, f.core.Now)
}

// ReadInterval is the time between two reads of the log.
func (f *Follower) ReadInterval() time.Duration {
	if f.UsesRelays() {
		return f.core.ReadInterval
	}
	return f.PageReadInterval()
}

// PageReadInterval is the time between two reads that each controller sends directly, such as pages
// of the state when it starts: a third of the store's requests for all together.
func (f *Follower) PageReadInterval() time.Duration {
	if len(f.core.Controllers) <= f.core.MaxRelays {
		return f.core.ReadInterval
	}
	return f.core.DirectReadInterval / 2
}

// ZoneOfController is the zone that a controller is in, empty if the controller is unknown.
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

// formatOf is the record format that a live controller understands, or notLive.
func (f *Follower) formatOf(id api.ControllerID) int {
	member, live := f.core.State.Members[id]
	if !live {
		return notLive
	}
	return member.Format
}

// selectRelays selects the relays anew if the live members or their formats have changed.
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

// relaysUpToDate reports whether the relays were selected for the members that are live now.
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

// readFromRelay reads the log after a revision through a relay, which is avoided for a while if it
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

// validateRelayResponse is the result of a read through a relay: status 0 if there is no answer or
// an invalid one.
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
