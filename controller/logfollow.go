package controller

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/relay"
)

// LogFollower follows the log of the key-value store and serves linearizable reads of it.
type LogFollower struct {
	core *core.Core
	c    *Controller

	loading          bool
	nextLoadAt       api.Time
	resumeLoad       func() // goes on with it; nil: from the beginning
	watching         bool
	nextWatchAt      api.Time
	readInFlight     bool
	nextReadAt       api.Time
	nextDirectReadAt api.Time // no read of our own before, where we have a relay
	readRequestedAt  api.Time // when a current read was last wanted
	readWaiters      []readWaiter
	lastReadAt       api.Time       // the changes were last read, 0 if not yet
	relayLink        relay.Selector // to the relays that we read the log through
	selectedRelays   relaySelection
	relayLog         relay.ChangeLog // what we pass on as one of them
	logFollowers     []logFollower
}

// LoadState reads everything under root, page by page, then the changes since the
// first page, and folds the result.
func (lf *LogFollower) LoadState() {
	if lf.loading || lf.core.Now < lf.nextLoadAt {
		return
	}
	if lf.resumeLoad != nil { // a page that did not come is asked for again, not all of them
		lf.loading = true
		lf.resumeLoad()
		return
	}
	lf.loading = true
	lf.core.State = lf.c.NewState()
	lf.core.State.BeginLoad()
	lf.loadPage("", 0)
}

// scheduleLoad goes on with reading the state after a pause. Pages come as seldom as current
// reads do: a process that ends and starts again and again must leave the others their
// requests.
func (lf *LogFollower) scheduleLoad(delay time.Duration, next func()) {
	lf.loading, lf.resumeLoad, lf.nextLoadAt = false, next, lf.core.Now.Add(delay)
}

func (lf *LogFollower) loadPage(after string, from api.Revision) {
	lf.core.CallStore(message.StoreCall{Page: &message.PageRequest{After: after}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			lf.scheduleLoad(core.RetryDelay, func() { lf.loadPage(after, from) })
			return
		}
		if from == 0 {
			from = a.Page.Revision
		}
		for _, p := range a.Page.Pairs {
			if err := lf.core.State.Put(p.Key, p.Value, p.Version); err != nil {
				slog.Error("state record could not be decoded", "err", err)
			}
		}
		if a.Page.More && len(a.Page.Pairs) > 0 {
			last := a.Page.Pairs[len(a.Page.Pairs)-1].Key
			lf.scheduleLoad(lf.PageReadInterval(), func() { lf.loadPage(last, from) })
			return
		}
		lf.loadChanges(from)
	})
}

// loadChanges reads what has changed since the first page and ends the reading.
func (lf *LogFollower) loadChanges(from api.Revision) {
	lf.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: from}}, func(a message.StoreResponse) {
		switch a.Status {
		case 200:
		case 410: // it took too long
			lf.scheduleLoad(core.RetryDelay, nil)
			return
		default:
			lf.scheduleLoad(core.RetryDelay, func() { lf.loadChanges(from) })
			return
		}
		lf.applyChanges(a.Changes)
		if err := lf.core.State.FinishLoad(); err != nil {
			slog.Error("state load failed", "err", err)
			lf.scheduleLoad(core.RetryDelay, nil)
			return
		}
		lf.loading, lf.resumeLoad, lf.core.Loaded = false, nil, true
		lf.relayLog.Reset(lf.core.State.Revision)
		lf.core.AddMachineTypes(lf.core.RecordedTypes.Types)
		slog.Info("state loaded", "revision", lf.core.State.Revision, "jobs", len(lf.core.State.Jobs))
	})
}

// applyChanges folds a log; changes that were folded before are skipped.
func (lf *LogFollower) applyChanges(c api.Changes) {
	lf.retainChanges(c)
	for _, ch := range c.Log {
		if ch.Version <= lf.core.State.Revision {
			continue
		}
		if ch.Drop != "" {
			lf.core.State.Delete(ch.Drop, ch.Version)
		} else if err := lf.core.State.Put(ch.Put, ch.Value, ch.Version); err != nil {
			slog.Error("change could not be decoded", "err", err)
		}
	}
	lf.core.State.Revision = max(lf.core.State.Revision, c.Revision)
	if !lf.core.Loaded {
		return
	}
	if len(c.Log) > 0 {
		if len(lf.core.RecordedTypes.Types) > 0 && len(lf.core.MachineTypes) == 0 {
			lf.core.AddMachineTypes(lf.core.RecordedTypes.Types)
		}
		for _, owned := range lf.core.Partitions {
			owned.Dirty = true
		}
		lf.c.membership.DropLostPartitions()
	}
}

// reloadState starts from nothing: the log no longer reaches back to where we are.
func (lf *LogFollower) reloadState() {
	slog.Info("reloading state")
	lf.core.Loaded = false
	lf.core.Partitions = map[api.PartitionID]*core.OwnedPartition{}
	for _, w := range lf.readWaiters {
		w.onFailure()
	}
	lf.readWaiters = nil
	lf.rejectFollowers()
}

// FollowLog reads the changes. While current reads are wanted all the time, as many
// users' polls do, those reads carry the changes and no watch is opened beside
// them; each serves all who came since the one before. Both are spaced so that
// all nodes together stay well within the state service's limit; of many nodes most
// read through a relay, see relays.go.
func (lf *LogFollower) FollowLog() {
	readsRequested := lf.core.Now.Sub(lf.readRequestedAt) < time.Second && lf.readRequestedAt != 0
	if !lf.watching && !readsRequested && lf.core.Now >= lf.nextWatchAt {
		lf.watching = true
		since := lf.core.State.Revision
		lf.readChanges(since, true, lf.NextRelay(), func(r logReadResult) {
			lf.watching = false
			lf.nextWatchAt = lf.core.Now.Add(lf.logReadInterval())
			lf.handleChanges(r, since)
		})
	}
	if lf.readInFlight || lf.core.Now < lf.nextReadAt || len(lf.readWaiters) == 0 && !readsRequested {
		return
	}
	via := lf.NextRelay()
	if slices.ContainsFunc(lf.readWaiters, func(w readWaiter) bool { return w.direct }) {
		via = "" // others wait for a read that we begin ourselves
	}
	if via == "" && lf.core.Now < lf.nextDirectReadAt {
		return
	}
	waiters := lf.readWaiters
	lf.readWaiters = nil
	lf.readLatest(waiters, via)
}

// readLatest reads what is durable by now and tells those who wait. A relay that fails costs a
// read of our own.
func (lf *LogFollower) readLatest(waiters []readWaiter, via api.ControllerID) {
	lf.readInFlight, lf.nextReadAt = true, lf.core.Now.Add(lf.logReadInterval())
	if via == "" && lf.readsThroughRelay() {
		lf.nextDirectReadAt = lf.core.Now.Add(lf.core.DirectReadInterval)
	}
	since := lf.core.State.Revision
	lf.readChanges(since, false, via, func(r logReadResult) {
		lf.readInFlight = false
		if via != "" && r.status != 200 && lf.core.Loaded {
			lf.core.Metrics.ReadFallbacks++
			lf.readLatest(waiters, "")
			return
		}
		ok := lf.handleChanges(r, since)
		if !ok {
			lf.nextReadAt = lf.core.Now.Add(lf.logReadInterval())
			if len(waiters) == 0 {
				lf.readRequestedAt = 0 // a watch outlasts an outage, such reads do not
			}
		}
		for _, w := range waiters {
			if ok {
				w.onRead()
			} else {
				w.onFailure()
			}
		}
	})
}

func (lf *LogFollower) handleChanges(r logReadResult, since api.Revision) bool {
	switch {
	case !lf.core.Loaded || since > lf.core.State.Revision:
		return false // asked before a reload
	case r.status == 200:
		lf.lastReadAt = lf.core.Now
		lf.applyChanges(r.changes)
		return true
	case r.status == 410 && r.via == "":
		lf.reloadState()
	default:
		lf.nextWatchAt = lf.core.Now.Add(core.RetryDelay)
	}
	return false
}

// LinearizableRead calls ok once everything that was durable when it was called is
// folded, or fail when that can't be had.
func (lf *LogFollower) LinearizableRead(onRead, onFailure func()) {
	if !lf.core.Loaded {
		onFailure()
		return
	}
	lf.readWaiters = append(lf.readWaiters, readWaiter{onRead: onRead, onFailure: onFailure})
	lf.readRequestedAt = lf.core.Now
}

// LastReadAt is when the log was last read up to its end, 0 if it never was.
func (lf *LogFollower) LastReadAt() api.Time { return lf.lastReadAt }
