package logfollow

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// This file serves the log, as a relay, to the controllers that read through this one.

// subscriber is a pending request of a controller that waits for changes after a revision.
type subscriber struct {
	req   message.ReqID
	since api.Revision
	until api.Time // deadline of the response, with or without changes
}

// retainChanges retains changes for controllers that read through this one.
func (f *Follower) retainChanges(changes api.Changes) {
	if len(f.core.Controllers) > f.core.MaxRelays {
		f.retainedLog.Append(changes.Log, changes.Revision)
	}
}

// HandleReadLog answers another controller's read of the log. Without Wait, the response follows a direct
// read that starts after the request, so that it contains all changes that were durable at the request.
func (f *Follower) HandleReadLog(c message.ReadLog) {
	if !f.core.Loaded {
		f.core.ReplyError(c.Req, api.StatusServiceUnavailable, "starting")
		return
	}
	since := c.Request.Since
	if !c.Request.Wait {
		f.addWaiter(Waiter{
			OnRead:    func() { f.replyLog(c.Req, since) },
			OnFailure: func() { f.core.ReplyError(c.Req, api.StatusServiceUnavailable, "state service not reachable") },
			direct:    true,
		})
		return
	}
	if since < f.core.State.Revision {
		f.replyLog(c.Req, since)
		return
	}
	f.subscribers = append(f.subscribers, subscriber{req: c.Req, since: since, until: f.core.Now.Add(relayPollTimeout)})
}

// replyLog responds with the changes after a revision, or with status 410 if they are no longer
// retained.
func (f *Follower) replyLog(req message.ReqID, since api.Revision) {
	changes, ok := f.retainedLog.Since(since)
	if !ok {
		f.core.ReplyError(req, api.StatusGone, "changes after the requested revision are no longer retained")
		return
	}
	f.core.Metrics.ReadsServed++
	f.core.Emit(message.Reply{Req: req, Status: api.StatusOK, Log: &changes})
}

// ReplyToSubscribers answers the controllers that wait for changes, if there are changes or the deadline
// has passed.
func (f *Follower) ReplyToSubscribers() {
	f.subscribers = slices.DeleteFunc(f.subscribers, func(s subscriber) bool {
		if s.since >= f.core.State.Revision && f.core.Now < s.until {
			return false
		}
		f.replyLog(s.req, s.since)
		return true
	})
}

// rejectSubscribers rejects the pending requests of subscribers before the state is reloaded.
func (f *Follower) rejectSubscribers() {
	for _, s := range f.subscribers {
		f.core.ReplyError(s.req, api.StatusServiceUnavailable, "starting")
	}
	f.subscribers = nil
}
