package logfollow

import (
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file follows the log once the state is loaded: a watch while nobody asks for the latest
// state, linearizable reads while somebody does.

// FollowLog sends the watch or the read that is due. While linearizable reads are requested all the
// time, as many users' polls do, those reads carry the changes and no watch is opened beside them;
// each serves all callers that came since the one before. Both are spaced so that all controllers
// together stay well within the store's limit on requests; of many controllers most read through a
// relay, see relays.go.
func (f *Follower) FollowLog() {
	readsRequested := f.core.Now.Sub(f.readRequestedAt) < readRequestWindow && f.readRequestedAt != 0
	if !f.watching && !readsRequested && f.core.Now >= f.nextWatchAt {
		f.watchLog()
	}
	if f.readInFlight || f.core.Now < f.NextReadAt || len(f.waiters) == 0 && !readsRequested {
		return
	}
	via := f.NextRelay()
	if slices.ContainsFunc(f.waiters, func(w Waiter) bool { return w.direct }) {
		via = "" // a relay's clients wait for a read that it sends itself
	}
	if via == "" && f.core.Now < f.nextDirectReadAt {
		return
	}
	f.readLatest(f.TakeWaiters(), via)
}

// watchLog asks for the changes after our revision once there are any.
func (f *Follower) watchLog() {
	f.watching = true
	since := f.core.State.Revision
	f.readChanges(since, true, f.NextRelay(), func(result readResult) {
		f.watching = false
		f.nextWatchAt = f.core.Now.Add(f.ReadInterval())
		f.handleResult(result, since)
	})
}

// readLatest reads what is durable by now and answers the waiters. If a relay fails, a direct read
// follows.
func (f *Follower) readLatest(waiters []Waiter, via api.ControllerID) {
	f.readInFlight, f.NextReadAt = true, f.core.Now.Add(f.ReadInterval())
	if via == "" && f.readsThroughRelay() {
		f.nextDirectReadAt = f.core.Now.Add(f.core.DirectReadInterval)
	}
	since := f.core.State.Revision
	f.readChanges(since, false, via, func(result readResult) {
		f.readInFlight = false
		if via != "" && result.status != api.StatusOK && f.core.Loaded {
			f.core.Metrics.ReadFallbacks++
			f.readLatest(waiters, "")
			return
		}
		ok := f.handleResult(result, since)
		if !ok {
			f.NextReadAt = f.core.Now.Add(f.ReadInterval())
			if len(waiters) == 0 {
				f.readRequestedAt = 0 // a watch outlasts an outage, such reads do not
			}
		}
		answerWaiters(waiters, ok)
	})
}

func answerWaiters(waiters []Waiter, ok bool) {
	for _, w := range waiters {
		if ok {
			w.OnRead()
		} else {
			w.OnFailure()
		}
	}
}

// handleResult applies what a read of the log after a revision brought and reports whether it did.
func (f *Follower) handleResult(result readResult, since api.Revision) bool {
	switch {
	case !f.core.Loaded || since > f.core.State.Revision:
		return false // asked before a reload
	case result.status == api.StatusOK:
		f.RecordRead()
		f.applyChanges(result.changes)
		return true
	case result.status == api.StatusGone && result.via == "":
		f.reloadState()
	default:
		f.nextWatchAt = f.core.Now.Add(core.RetryDelay)
	}
	return false
}

// applyChanges applies changes to the cluster state; those that were applied before are skipped.
func (f *Follower) applyChanges(changes api.Changes) {
	f.retainChanges(changes)
	for _, change := range changes.Log {
		if change.Version <= f.core.State.Revision {
			continue
		}
		if change.Drop != "" {
			f.core.State.Delete(change.Drop, change.Version)
		} else if err := f.core.State.Put(change.Put, change.Value, change.Version); err != nil {
			slog.Error("change could not be decoded", "err", err)
		}
	}
	f.core.State.Revision = max(f.core.State.Revision, changes.Revision)
	if !f.core.Loaded || len(changes.Log) == 0 {
		return
	}
	if len(f.core.RecordedTypes.Types) > 0 && len(f.core.MachineTypes) == 0 {
		f.core.AddMachineTypes(f.core.RecordedTypes.Types)
	}
	for _, owned := range f.core.Partitions {
		owned.Dirty = true
	}
	f.siblings.Ownership.DropLostPartitions()
}

// readResult is what a read of the log brought.
type readResult struct {
	status  int // as the store has it, 0 without an answer
	changes api.Changes
	via     api.ControllerID // the relay that was asked, none for a direct read
}

// readChanges reads the log after a revision, through a relay or directly. With wait the answer
// comes once there is something, or after the time that a watch may take.
func (f *Follower) readChanges(since api.Revision, wait bool, via api.ControllerID, done func(readResult)) {
	if via != "" {
		f.readFromRelay(since, wait, via, done)
		return
	}
	call := message.StoreCall{Changes: &message.ChangesRequest{Since: since}}
	if wait {
		call.Changes.Wait, call.Timeout = core.WatchPollTimeout, core.WatchPollTimeout+watchGracePeriod
	}
	f.core.CallStore(call, func(response message.StoreResponse) {
		done(readResult{status: response.Status, changes: response.Changes})
	})
}
