// Answers to heartbeats, and their redirection to the owners of other partitions.

package agent

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// HTTP statuses of the answers to heartbeats.
const (
	statusOK          = 200
	statusMisdirected = 421 // another controller is to be asked
	statusUnavailable = 503 // to be retried
)

// HandleHeartbeat answers an agent's heartbeat with the commands for its machine.
func (am *Manager) HandleHeartbeat(c message.WorkerHeartbeat) {
	heartbeat := c.Heartbeat
	am.core.Metrics.WorkerHeartbeats++
	if !am.core.Loaded {
		am.core.ReplyError(c.Req, statusUnavailable, "starting")
		return
	}
	p := am.core.PartitionOf(heartbeat.Machine)
	owned := am.core.Partitions[p]
	if owned == nil {
		am.redirectHeartbeat(c, am.core.State.Partitions[p].Owner)
		return
	}
	if am.siblings.Autoscaler.IsDeleted(heartbeat.Machine) {
		am.core.ReplyError(c.Req, statusUnavailable, "machine was returned")
		return
	}
	m := am.EnsureMachine(heartbeat.Machine)
	if m.Deleting {
		am.core.ReplyError(c.Req, statusUnavailable, "machine is being returned")
		return
	}
	m.CommandToken = max(m.CommandToken, am.core.MinToken(owned, m.ID))
	m.HeartbeatForwarded = c.Forwarded
	if heartbeat.Token > m.CommandToken {
		// Another controller commands it under a later term: this one was deposed for it.
		am.core.Reply(c.Req, statusMisdirected, api.Redirect{}, 0)
		am.siblings.Follower.LinearizableRead(func() {}, func() {})
		return
	}
	newer := am.applyHeartbeat(m, heartbeat, owned)
	if newer {
		m.LeaseRenewedAt = am.core.Now
	}
	if c.Forwarded && am.recentDirectReply(m) {
		// It was forwarded by a peer because the agent could not reach this controller. Now that a
		// direct call gets through again, the agent is sent back here.
		am.core.Reply(c.Req, statusMisdirected, api.Redirect{Owner: am.core.Config.Label}, 0)
		return
	}
	if c.Forwarded || m.SuspectSince != 0 {
		am.ContactNow(m)
	} else if newer {
		// The answer carries all that a direct call would. An older heartbeat may be a copy that
		// comes late, whose answer nobody waits for.
		m.ContactPending = false
	}
	am.core.Reply(c.Req, statusOK, api.CommandBatch{Token: m.CommandToken, Commands: am.CommandsFor(m, owned)}, 0)
}

// recentDirectReply reports whether the machine has answered a direct call within the last interval
// between heartbeats.
func (am *Manager) recentDirectReply(m *core.Machine) bool {
	return m.LastDirectReply != 0 && am.core.Now.Sub(m.LastDirectReply) < am.core.Config.HeartbeatInterval()
}

// redirect is the controller to which a machine's heartbeat was last directed.
type redirect struct {
	to api.ControllerID
	at api.Time
}

// redirectHeartbeat directs an agent to the owner of its partition. An agent that comes back soon
// can't reach the owner; its heartbeats are then forwarded.
func (am *Manager) redirectHeartbeat(c message.WorkerHeartbeat, owner api.ControllerID) {
	if c.Forwarded || owner == am.core.Config.Label || owner == "" {
		am.core.ReplyError(c.Req, statusUnavailable, "part is changing hands")
		return
	}
	machine := c.Heartbeat.Machine
	previous := am.redirects[machine]
	repeated := previous.to == owner && am.core.Now.Sub(previous.at) < am.core.RedirectTTL
	if (repeated || am.siblings.Gossiper.ReportsSilent(owner, machine)) && am.siblings.Gossiper.IsPeer(owner) {
		am.redirects[machine] = redirect{owner, am.core.Now}
		am.forwardHeartbeat(c, owner)
		return
	}
	if !am.core.IsLive(owner) {
		am.core.ReplyError(c.Req, statusUnavailable, "the machine's owner is gone")
		return
	}
	am.redirects[machine] = redirect{owner, am.core.Now}
	am.core.Reply(c.Req, statusMisdirected, api.Redirect{Owner: owner}, 0)
}

// forwardHeartbeat has the owner of the machine's partition answer a heartbeat.
func (am *Manager) forwardHeartbeat(c message.WorkerHeartbeat, owner api.ControllerID) {
	forward := message.PeerMessage{Forward: &message.Forward{Kind: "checkin", Body: c.Body}}
	am.core.CallPeer(owner, core.PeerTimeout, forward, func(a message.PeerResponse) {
		if !a.OK || a.Reply.Status == 0 {
			am.core.ReplyError(c.Req, statusUnavailable, "the machine's owner does not answer")
			return
		}
		am.core.Emit(message.Reply{Req: c.Req, Status: a.Reply.Status, Body: a.Reply.Body})
	})
}

// ExpireRedirects forgets heartbeats that were redirected long ago.
func (am *Manager) ExpireRedirects() {
	for id, r := range am.redirects {
		if am.core.Now.Sub(r.at) > am.core.RedirectTTL {
			delete(am.redirects, id)
		}
	}
}
