package controller

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/relay"
)

// Beyond a number of controllers that follows from the state service's limit on requests, most
// read the log through one of a few relays, so that a read takes no longer with each controller
// that is added (package relay, docs/relays.md). A relay begins a read of its own after the
// question has come, so what it answers is as current as a read that the asker had begun itself.
// A relay that is silent, refuses or answers what can't be is left alone for a while, and the
// asker reads for itself.

// relayTimeout is how long an answer to a question may take: a relay's gap between two reads, a
// read that takes long, and the way.
const relayTimeout = 600 * time.Millisecond

// relayPollTimeout is how long a relay keeps a question for what is new: shorter than a watch of our own,
// since a relay that stands still says nothing.
const relayPollTimeout = 2 * time.Second

// logReadResult is what a read of the log brought.
type logReadResult struct {
	status  int
	changes api.Changes
	via     api.ControllerID // the relay that it came through, or none
}

// logFollower is another controller that waits for changes after a revision.
type logFollower struct {
	req   message.ReqID
	since api.Revision
	until api.Time
}

// ZoneOfController is the zone that a controller is in.
func (lf *LogFollower) ZoneOfController(l api.ControllerID) api.Zone {
	if l == lf.core.Config.Label {
		return lf.core.Config.Zone
	}
	for _, p := range lf.core.Config.Peers {
		if p.Label == l {
			return p.Zone
		}
	}
	return ""
}

// UsesRelays reports whether there are so many controllers that most read through relays, and all
// that live know how: while versions change, everybody reads for itself as before.
func (lf *LogFollower) UsesRelays() bool {
	if len(lf.core.Controllers) <= lf.core.MaxRelays {
		return false
	}
	lf.selectRelays()
	return lf.selectedRelays.supported
}

// logReadInterval is the time between two reads of the log.
func (lf *LogFollower) logReadInterval() time.Duration {
	if lf.UsesRelays() {
		return lf.core.ReadInterval
	}
	return lf.PageReadInterval()
}

// PageReadInterval is the time between two reads of which each controller makes its own, pages of the state
// when it starts: a third of the requests for all together.
func (lf *LogFollower) PageReadInterval() time.Duration {
	if len(lf.core.Controllers) <= lf.core.MaxRelays {
		return lf.core.ReadInterval
	}
	return lf.core.DirectReadInterval / 2
}

// relaySelection are the relays for the members that live, kept until those change.
type relaySelection struct {
	memberFormats []int // of all controllers, in order, the form that they understand; noMember: none
	supported     bool  // all that live know of relays
	relays        []relay.Member
	preference    []api.ControllerID // in which we ask them
}

// notLive stands for a controller that does not live.
const notLive = -1

// formatOf is the form of records that a living controller understands.
func (lf *LogFollower) formatOf(l api.ControllerID) int {
	m, lives := lf.core.State.Members[l]
	if !lives {
		return notLive
	}
	return m.Format
}

// CurrentRelays are the controllers that are relays, as far as we know.
func (lf *LogFollower) CurrentRelays() []relay.Member {
	lf.selectRelays()
	return lf.selectedRelays.relays
}

// selectRelays chooses the relays anew when the living members are others.
func (lf *LogFollower) selectRelays() {
	selection := &lf.selectedRelays
	unchanged := selection.memberFormats != nil
	for i, l := range lf.core.Controllers {
		unchanged = unchanged && selection.memberFormats[i] == lf.formatOf(l)
	}
	if unchanged {
		return
	}
	selection.memberFormats, selection.supported = make([]int, len(lf.core.Controllers)), true
	var members []relay.Member
	for i, l := range lf.core.Controllers {
		if selection.memberFormats[i] = lf.formatOf(l); selection.memberFormats[i] != notLive {
			selection.supported = selection.supported && selection.memberFormats[i] >= clusterstate.FormatRelays
			members = append(members, relay.Member{ID: l, Zone: lf.ZoneOfController(l)})
		}
	}
	selection.relays = relay.Select(members, lf.core.MaxRelays)
	selection.preference = relay.PreferenceOrder(relay.Member{ID: lf.core.Config.Label, Zone: lf.core.Config.Zone}, selection.relays)
}

// isRelay reports whether a controller is among the relays.
func isRelay(relays []relay.Member, l api.ControllerID) bool {
	return slices.ContainsFunc(relays, func(m relay.Member) bool { return m.ID == l })
}

// IsRelay reports whether relays are in use and this controller is one.
func (lf *LogFollower) IsRelay() bool {
	return lf.UsesRelays() && isRelay(lf.CurrentRelays(), lf.core.Config.Label)
}

// NextRelay is the relay to read through, none if we are to read for ourselves.
func (lf *LogFollower) NextRelay() api.ControllerID {
	if !lf.readsThroughRelay() {
		return ""
	}
	via, _ := lf.relayLink.Next(lf.selectedRelays.preference, lf.core.Now)
	return via
}

// readsThroughRelay reports whether we are one of those that read through relays.
func (lf *LogFollower) readsThroughRelay() bool {
	return lf.UsesRelays() && !isRelay(lf.CurrentRelays(), lf.core.Config.Label)
}

// readChanges reads the log after a revision, with wait once there is something, through a relay
// or from the state service.
func (lf *LogFollower) readChanges(since api.Revision, wait bool, via api.ControllerID, done func(logReadResult)) {
	if via == "" {
		request, timeout := &message.ChangesRequest{Since: since}, time.Duration(0)
		if wait {
			request.Wait, timeout = core.WatchPollTimeout, core.WatchPollTimeout+2*time.Second
		}
		lf.core.CallStore(message.StoreCall{Changes: request, Timeout: timeout}, func(a message.StoreResponse) { done(logReadResult{status: a.Status, changes: a.Changes}) })
		return
	}
	timeout := relayTimeout
	if wait {
		timeout += relayPollTimeout
	}
	lf.core.Metrics.ReadsRelayed++
	lf.core.CallPeer(via, timeout, message.PeerMessage{ReadLog: &message.ReadLogRequest{Since: since, Wait: wait}}, func(a message.PeerResponse) {
		result := logReadResult{status: a.Reply.Status, via: via}
		if !a.OK {
			result.status = 0
		}
		if result.status == 200 {
			if err := relay.Validate(since, a.Reply.Log); err != nil {
				slog.Error("invalid relay response", "relay", via, "err", err)
				lf.core.Metrics.ReadsInvalid++
				result.status = 0
			} else {
				result.changes = *a.Reply.Log
			}
		}
		if result.status != 200 {
			lf.relayLink.MarkFailed(via, lf.core.Now)
		}
		done(result)
	})
}

// retainChanges keeps changes for those who follow the log through us.
func (lf *LogFollower) retainChanges(c api.Changes) {
	if len(lf.core.Controllers) > lf.core.MaxRelays {
		lf.relayLog.Append(c.Log, c.Revision)
	}
}

// HandleReadLog answers another controller's question for the log.
func (lf *LogFollower) HandleReadLog(c message.ReadLog) {
	if !lf.core.Loaded {
		lf.core.ReplyError(c.Req, 503, "starting")
		return
	}
	since := c.Request.Since
	if !c.Request.Wait {
		lf.readWaiters = append(lf.readWaiters, readWaiter{func() { lf.replyLog(c.Req, since) }, func() { lf.core.ReplyError(c.Req, 503, "state service not reachable") }, true})
		lf.readRequestedAt = lf.core.Now
		return
	}
	if since < lf.core.State.Revision {
		lf.replyLog(c.Req, since)
		return
	}
	lf.logFollowers = append(lf.logFollowers, logFollower{c.Req, since, lf.core.Now.Add(relayPollTimeout)})
}

// replyLog answers with what we retain after a revision.
func (lf *LogFollower) replyLog(req message.ReqID, since api.Revision) {
	changes, ok := lf.relayLog.Since(since)
	if !ok {
		lf.core.ReplyError(req, 410, "the log does not reach back so far")
		return
	}
	lf.core.Metrics.ReadsServed++
	lf.core.Emit(message.Reply{Req: req, Status: 200, Log: &changes})
}

// ReplyToFollowers answers those who wait for changes.
func (lf *LogFollower) ReplyToFollowers() {
	lf.logFollowers = slices.DeleteFunc(lf.logFollowers, func(f logFollower) bool {
		if f.since >= lf.core.State.Revision && lf.core.Now < f.until {
			return false
		}
		lf.replyLog(f.req, f.since)
		return true
	})
}

// rejectFollowers refuses those who wait: we begin anew.
func (lf *LogFollower) rejectFollowers() {
	for _, f := range lf.logFollowers {
		lf.core.ReplyError(f.req, 503, "starting")
	}
	lf.logFollowers = nil
}

// MarkRelayFailed notes that a relay did not answer.
func (lf *LogFollower) MarkRelayFailed(relay api.ControllerID) {
	lf.relayLink.MarkFailed(relay, lf.core.Now)
}
