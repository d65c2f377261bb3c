package logfollow

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// This file is a relay's side: it serves the log to controllers that read through this one.

// subscriber is a controller that waits for changes after a revision.
type subscriber struct {
	req   message.ReqID
	since api.Revision
	until api.Time // it is answered by then, with or without changes
}

// retainChanges keeps changes for controllers that read through this one.
func (f *Follower) retainChanges(changes api.Changes) {
	if len(f.core.Controllers) > f.core.MaxRelays {
		f.retainedLog.Append(changes.Log, changes.Revision)
	}
}

// HandleReadLog answers another controller's read of the log. Without Wait the answer comes after a
// direct read that starts later than the request, so that it holds all that was durable by then.
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

// replyLog answers with the changes after a revision, 410 if they are no longer retained.
func (f *Follower) replyLog(req message.ReqID, since api.Revision) {
	changes, ok := f.retainedLog.Since(since)
	if !ok {
		f.core.ReplyError(req, api.StatusGone, "the log does not reach back so far")
		return
	}
	f.core.Metrics.ReadsServed++
	f.core.Emit(message.Reply{Req: req, Status: api.StatusOK, Log: &changes})
}

// ReplyToSubscribers answers the controllers that wait for changes, if there are any or the time is up.
func (f *Follower) ReplyToSubscribers() {
	f.subscribers = slices.DeleteFunc(f.subscribers, func(s subscriber) bool {
		if s.since >= f.core.State.Revision && f.core.Now < s.until {
			return false
		}
		f.replyLog(s.req, s.since)
		return true
	})
}

// rejectSubscribers refuses the controllers that wait for changes: the state is loaded anew.
func (f *Follower) rejectSubscribers() {
	for _, s := range f.subscribers {
		f.core.ReplyError(s.req, api.StatusServiceUnavailable, "starting")
	}
	f.subscribers = nil
}
