package controller

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
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
	req   ReqID
	since api.Revision
	until api.Time
}

// zoneOfController is the zone that a controller is in.
func (n *Controller) zoneOfController(l api.ControllerID) api.Zone {
	if l == n.config.Label {
		return n.config.Zone
	}
	for _, p := range n.config.Peers {
		if p.Label == l {
			return p.Zone
		}
	}
	return ""
}

// usesRelays reports whether there are so many controllers that most read through relays, and all
// that live know how: while versions change, everybody reads for itself as before.
func (n *Controller) usesRelays() bool {
	if len(n.controllers) <= n.maxRelays {
		return false
	}
	n.selectRelays()
	return n.selectedRelays.supported
}

// logReadInterval is the time between two reads of the log.
func (n *Controller) logReadInterval() time.Duration {
	if n.usesRelays() {
		return n.readInterval
	}
	return n.pageReadInterval()
}

// pageReadInterval is the time between two reads of which each controller makes its own, pages of the state
// when it starts: a third of the requests for all together.
func (n *Controller) pageReadInterval() time.Duration {
	if len(n.controllers) <= n.maxRelays {
		return n.readInterval
	}
	return n.directReadInterval / 2
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
func (n *Controller) formatOf(l api.ControllerID) int {
	m, lives := n.state.Members[l]
	if !lives {
		return notLive
	}
	return m.Format
}

// currentRelays are the controllers that are relays, as far as we know.
func (n *Controller) currentRelays() []relay.Member {
	n.selectRelays()
	return n.selectedRelays.relays
}

// selectRelays chooses the relays anew when the living members are others.
func (n *Controller) selectRelays() {
	selection := &n.selectedRelays
	unchanged := selection.memberFormats != nil
	for i, l := range n.controllers {
		unchanged = unchanged && selection.memberFormats[i] == n.formatOf(l)
	}
	if unchanged {
		return
	}
	selection.memberFormats, selection.supported = make([]int, len(n.controllers)), true
	var members []relay.Member
	for i, l := range n.controllers {
		if selection.memberFormats[i] = n.formatOf(l); selection.memberFormats[i] != notLive {
			selection.supported = selection.supported && selection.memberFormats[i] >= clusterstate.FormatRelays
			members = append(members, relay.Member{ID: l, Zone: n.zoneOfController(l)})
		}
	}
	selection.relays = relay.Select(members, n.maxRelays)
	selection.preference = relay.PreferenceOrder(relay.Member{ID: n.config.Label, Zone: n.config.Zone}, selection.relays)
}

// isRelay reports whether a controller is among the relays.
func isRelay(relays []relay.Member, l api.ControllerID) bool {
	return slices.ContainsFunc(relays, func(m relay.Member) bool { return m.ID == l })
}

// nextRelay is the relay to read through, none if we are to read for ourselves.
func (n *Controller) nextRelay() api.ControllerID {
	if !n.readsThroughRelay() {
		return ""
	}
	via, _ := n.relayLink.Next(n.selectedRelays.preference, n.now)
	return via
}

// readsThroughRelay reports whether we are one of those that read through relays.
func (n *Controller) readsThroughRelay() bool {
	return n.usesRelays() && !isRelay(n.currentRelays(), n.config.Label)
}

// readChanges reads the log after a revision, with wait once there is something, through a relay
// or from the state service.
func (n *Controller) readChanges(since api.Revision, wait bool, via api.ControllerID, done func(logReadResult)) {
	if via == "" {
		request, timeout := &ChangesRequest{Since: since}, time.Duration(0)
		if wait {
			request.Wait, timeout = watchPollTimeout, watchPollTimeout+2*time.Second
		}
		n.callStore(StoreCall{Changes: request, Timeout: timeout}, func(a StoreResponse) { done(logReadResult{status: a.Status, changes: a.Changes}) })
		return
	}
	timeout := relayTimeout
	if wait {
		timeout += relayPollTimeout
	}
	n.metrics.ReadsRelayed++
	n.callPeer(via, timeout, PeerMessage{ReadLog: &ReadLogRequest{Since: since, Wait: wait}}, func(a PeerResponse) {
		result := logReadResult{status: a.Reply.Status, via: via}
		if !a.OK {
			result.status = 0
		}
		if result.status == 200 {
			if err := relay.Validate(since, a.Reply.Log); err != nil {
				slog.Error("invalid relay response", "relay", via, "err", err)
				n.metrics.ReadsInvalid++
				result.status = 0
			} else {
				result.changes = *a.Reply.Log
			}
		}
		if result.status != 200 {
			n.relayLink.MarkFailed(via, n.now)
		}
		done(result)
	})
}

// retainChanges keeps changes for those who follow the log through us.
func (n *Controller) retainChanges(c api.Changes) {
	if len(n.controllers) > n.maxRelays {
		n.relayLog.Append(c.Log, c.Revision)
	}
}

// handleReadLog answers another controller's question for the log.
func (n *Controller) handleReadLog(c ReadLog) {
	if !n.loaded {
		n.replyError(c.Req, 503, "starting")
		return
	}
	since := c.Request.Since
	if !c.Request.Wait {
		n.readWaiters = append(n.readWaiters, readWaiter{func() { n.replyLog(c.Req, since) }, func() { n.replyError(c.Req, 503, "state service not reachable") }, true})
		n.readRequestedAt = n.now
		return
	}
	if since < n.state.Revision {
		n.replyLog(c.Req, since)
		return
	}
	n.logFollowers = append(n.logFollowers, logFollower{c.Req, since, n.now.Add(relayPollTimeout)})
}

// replyLog answers with what we retain after a revision.
func (n *Controller) replyLog(req ReqID, since api.Revision) {
	changes, ok := n.relayLog.Since(since)
	if !ok {
		n.replyError(req, 410, "the log does not reach back so far")
		return
	}
	n.metrics.ReadsServed++
	n.emit(Reply{Req: req, Status: 200, Log: &changes})
}

// replyToFollowers answers those who wait for changes.
func (n *Controller) replyToFollowers() {
	n.logFollowers = slices.DeleteFunc(n.logFollowers, func(f logFollower) bool {
		if f.since >= n.state.Revision && n.now < f.until {
			return false
		}
		n.replyLog(f.req, f.since)
		return true
	})
}

// rejectFollowers refuses those who wait: we begin anew.
func (n *Controller) rejectFollowers() {
	for _, f := range n.logFollowers {
		n.replyError(f.req, 503, "starting")
	}
	n.logFollowers = nil
}
