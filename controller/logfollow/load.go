package logfollow

import (
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file loads the whole cluster state when a controller starts, or when the log no longer contains
// the changes after its revision. It reads all records in pages, then the changes since the first page.

// LoadState starts the next step of the load if it is due and no step is in flight.
func (f *Follower) LoadState() {
	if f.loading || f.core.Now < f.nextLoadAt {
		return
	}
	f.loading = true
	if f.resumeLoad != nil { // continues with the current page instead of the first one
		f.resumeLoad()
		return
	}
	f.core.State = f.deps.State.NewState()
	f.core.State.BeginLoad()
	f.loadPage("", 0)
}

// scheduleLoad schedules the next step of the load after a delay; a nil step restarts the load.
func (f *Follower) scheduleLoad(delay time.Duration, resume func()) {
	f.loading, f.resumeLoad, f.nextLoadAt = false, resume, f.core.Now.Add(delay)
}

// loadPage reads the page after a key. firstRevision is the revision of the first page, 0 if this is the
// first.
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
			// Pages are spaced like linearizable reads, so that a crash loop does not use up the
			// store's limit on requests.
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

// loadChanges reads the changes since the first page and finishes the load.
func (f *Follower) loadChanges(since api.Revision) {
	f.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: since}}, func(response message.StoreResponse) {
		switch response.Status {
		case api.StatusOK:
			f.finishLoad(response.Changes)
		case api.StatusGone: // the log no longer contains the changes since the first page
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

// reloadState discards the state, so that it is loaded again, because the log no longer contains the
// changes after its revision.
func (f *Follower) reloadState() {
	slog.Info("reloading state: log no longer contains the next changes")
	f.core.Loaded = false
	f.core.Partitions = map[api.PartitionID]*core.OwnedPartition{}
	for _, w := range f.waiters {
		w.OnFailure()
	}
	f.waiters = nil
	f.rejectSubscribers()
}
