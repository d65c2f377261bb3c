package logfollow

import (
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file follows the log once the state is loaded: by a watch while no linearizable reads are
// requested, otherwise by linearizable reads.

// FollowLog sends the watch or read that is due. While linearizable reads are requested continuously,
// for example by users' polls, the reads return the changes and no watch is needed. Each read serves all
// callers since the previous one. Watches and reads are spaced so that all controllers together stay
// within the store's limit on requests.
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
		via = "" // clients of a relay need a direct read
	}
	if via == "" && f.core.Now < f.nextDirectReadAt {
		return
	}
	f.readLatest(f.TakeWaiters(), via)
}

// watchLog waits for changes after the replica's revision.
func (f *Follower) watchLog() {
	f.watching = true
	since := f.core.State.Revision
	f.readChanges(since, true, f.NextRelay(), func(result readResult) {
		f.watching = false
		f.nextWatchAt = f.core.Now.Add(f.ReadInterval())
		f.handleResult(result, since)
	})
}

// readLatest reads all durable changes and answers the waiters. If a relay fails, it retries by a direct
// read.
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
				f.readRequestedAt = 0 // without waiters, a watch replaces the failed periodic reads
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

// handleResult applies the result of a read of the log after a revision and reports whether the read
// succeeded.
func (f *Follower) handleResult(result readResult, since api.Revision) bool {
	switch {
	case !f.core.Loaded || since > f.core.State.Revision:
		return false // the read was sent before a reload
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

// applyChanges applies changes to the cluster state and skips those already applied.
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
		owned.NeedsRound = true
	}
	f.deps.Ownership.DropLostPartitions()
}

// readResult is the result of a read of the log.
type readResult struct {
	status  int // HTTP status of the store or relay, 0 without a valid response
	changes api.Changes
	via     api.ControllerID // relay that was used, empty for a direct read
}

// readChanges reads the log after a revision, through the relay via or, if that is empty, directly. With
// wait, the response arrives once there are changes or the watch times out.
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
