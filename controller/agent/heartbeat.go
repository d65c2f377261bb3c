// Handling of heartbeats, and their redirection to the controllers that own the machines' partitions.

package agent

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// HTTP statuses of responses to heartbeats.
const (
	statusOK          = 200
	statusMisdirected = 421 // the agent must use another controller
	statusUnavailable = 503 // the agent must retry
)

// HandleHeartbeat processes an agent's heartbeat and responds with the commands for its machine.
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
	if am.deps.Autoscaler.IsDeleted(heartbeat.Machine) {
		am.core.ReplyError(c.Req, statusUnavailable, "machine was deleted")
		return
	}
	m := am.EnsureMachine(heartbeat.Machine)
	if m.Deleting {
		am.core.ReplyError(c.Req, statusUnavailable, "machine is being deleted")
		return
	}
	m.CommandToken = max(m.CommandToken, am.core.MinToken(owned, m.ID))
	m.HeartbeatForwarded = c.Forwarded
	if heartbeat.Token > m.CommandToken {
		// Another controller commands the machine under a later term, so this one no longer owns it.
		am.core.Reply(c.Req, statusMisdirected, api.Redirect{}, 0)
		am.deps.Follower.LinearizableRead(func() {}, func() {})
		return
	}
	newer := am.applyHeartbeat(m, heartbeat, owned)
	if newer {
		m.LeaseRenewedAt = am.core.Now
		am.raiseTokenForReaps(m, owned)
	}
	if c.Forwarded && am.recentDirectReply(m) {
		// A peer forwarded the heartbeat because the agent could not reach this controller. A direct
		// call has succeeded since, so the agent is redirected to this controller again.
		am.core.Reply(c.Req, statusMisdirected, api.Redirect{Owner: am.core.Config.Label}, 0)
		return
	}
	if c.Forwarded || m.SuspectSince != 0 {
		am.ScheduleDirectCall(m)
	} else if newer {
		// The response carries the same commands as a direct call. An older heartbeat may be a delayed
		// duplicate whose response nobody reads.
		m.DirectCallPending = false
	}
	am.core.Reply(c.Req, statusOK, am.composeCommands(m, owned, viaHeartbeatReply), 0)
}

// recentDirectReply reports whether the machine has answered a direct call within the last heartbeat
// interval.
func (am *Manager) recentDirectReply(m *core.Machine) bool {
	return m.LastDirectReply != 0 && am.core.Now.Sub(m.LastDirectReply) < am.core.Config.HeartbeatInterval()
}

// redirect is the latest redirection of a machine's heartbeat to another controller.
type redirect struct {
	to api.ControllerID
	at api.Time
}

// redirectHeartbeat redirects an agent to the owner of its partition. If the agent returns within
// RedirectTTL, it could not reach the owner, and its heartbeats are forwarded instead.
func (am *Manager) redirectHeartbeat(c message.WorkerHeartbeat, owner api.ControllerID) {
	if c.Forwarded || owner == am.core.Config.Label || owner == "" {
		am.core.ReplyError(c.Req, statusUnavailable, "partition is being handed over")
		return
	}
	machine := c.Heartbeat.Machine
	previous := am.redirects[machine]
	repeated := previous.to == owner && am.core.Now.Sub(previous.at) < am.core.RedirectTTL
	if (repeated || am.deps.Gossiper.ReportsUnreachable(owner, machine)) && am.deps.Gossiper.IsPeer(owner) {
		am.redirects[machine] = redirect{owner, am.core.Now}
		am.forwardHeartbeat(c, owner)
		return
	}
	if !am.core.IsLive(owner) {
		am.core.ReplyError(c.Req, statusUnavailable, "controller that owns the machine's partition is not live")
		return
	}
	am.redirects[machine] = redirect{owner, am.core.Now}
	am.core.Reply(c.Req, statusMisdirected, api.Redirect{Owner: owner}, 0)
}

// forwardHeartbeat forwards a heartbeat to the owner of the machine's partition and relays its
// response.
func (am *Manager) forwardHeartbeat(c message.WorkerHeartbeat, owner api.ControllerID) {
	forward := message.PeerMessage{Forward: &message.Forward{Kind: "checkin", Body: c.Body}}
	am.core.CallPeer(owner, core.PeerTimeout, forward, func(a message.PeerResponse) {
		if !a.OK || a.Reply.Status == 0 {
			am.core.ReplyError(c.Req, statusUnavailable, "controller that owns the machine's partition did not answer")
			return
		}
		am.core.Emit(message.Reply{Req: c.Req, Status: a.Reply.Status, Body: a.Reply.Body})
	})
}

// ExpireRedirects removes redirects that are older than RedirectTTL.
func (am *Manager) ExpireRedirects() {
	for id, r := range am.redirects {
		if am.core.Now.Sub(r.at) > am.core.RedirectTTL {
			delete(am.redirects, id)
		}
	}
}
