package logfollow

import (
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file loads the whole cluster state when a controller starts, or when the log no longer
// reaches back to its revision: pages of all records, then the changes since the first page.

// LoadState takes the next step of the load if it is due and none is under way.
func (f *Follower) LoadState() {
	if f.loading || f.core.Now < f.nextLoadAt {
		return
	}
	f.loading = true
	if f.resumeLoad != nil { // a page that did not come is asked for again, not all of them
		f.resumeLoad()
		return
	}
	f.core.State = f.siblings.State.NewState()
	f.core.State.BeginLoad()
	f.loadPage("", 0)
}

// scheduleLoad continues the load after a pause with the given step, or from its beginning if that
// is nil. Pages are as rare as linearizable reads: a process that crashes in a loop must leave the
// others their requests.
func (f *Follower) scheduleLoad(delay time.Duration, resume func()) {
	f.loading, f.resumeLoad, f.nextLoadAt = false, resume, f.core.Now.Add(delay)
}

// loadPage reads the page after a key. firstRevision is that of the first page, 0 if this is it.
func (f *Follower) loadPage(after string, firstRevision api.Revision) {
	f.core.CallStore(message.StoreCall{Page: &message.PageRequest{After: after}}, func(response message.StoreResponse) {
		if response.Status != api.StatusOK {
			f.scheduleLoad(core.RetryDelay, func() { f.loadPage(after, firstRevision) })
			return
		}
		if firstRevision == 0 {
			firstRevision = response.Page.Revision
		}
		f.applyPage(response.Page.Pairs)
		if response.Page.More && len(response.Page.Pairs) > 0 {
			last := response.Page.Pairs[len(response.Page.Pairs)-1].Key
			f.scheduleLoad(f.PageReadInterval(), func() { f.loadPage(last, firstRevision) })
			return
		}
		f.loadChanges(firstRevision)
	})
}

func (f *Follower) applyPage(pairs []api.KeyValue) {
	for _, pair := range pairs {
		if err := f.core.State.Put(pair.Key, pair.Value, pair.Version); err != nil {
			slog.Error("state record could not be decoded", "err", err)
		}
	}
}

// loadChanges reads what has changed since the first page and finishes the load.
func (f *Follower) loadChanges(since api.Revision) {
	f.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: since}}, func(response message.StoreResponse) {
		switch response.Status {
		case api.StatusOK:
			f.finishLoad(response.Changes)
		case api.StatusGone: // the load took so long that the log no longer reaches back
			f.scheduleLoad(core.RetryDelay, nil)
		default:
			f.scheduleLoad(core.RetryDelay, func() { f.loadChanges(since) })
		}
	})
}

func (f *Follower) finishLoad(changes api.Changes) {
	f.applyChanges(changes)
	if err := f.core.State.FinishLoad(); err != nil {
		slog.Error("state load failed", "err", err)
		f.scheduleLoad(core.RetryDelay, nil)
		return
	}
	f.loading, f.resumeLoad, f.core.Loaded = false, nil, true
	f.retainedLog.Reset(f.core.State.Revision)
	f.core.AddMachineTypes(f.core.RecordedTypes.Types)
	slog.Info("state loaded", "revision", f.core.State.Revision, "jobs", len(f.core.State.Jobs))
}

// reloadState starts over with an empty state: the log no longer reaches back to our revision.
func (f *Follower) reloadState() {
	slog.Info("reloading state")
	f.core.Loaded = false
	f.core.Partitions = map[api.PartitionID]*core.OwnedPartition{}
	for _, w := range f.waiters {
		w.OnFailure()
	}
	f.waiters = nil
	f.rejectSubscribers()
}
