package controller

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
)

// loadState reads everything under root, page by page, then the changes since the
// first page, and folds the result.
func (n *Controller) loadState() {
	if n.loading || n.now < n.nextLoadAt {
		return
	}
	if n.resumeLoad != nil { // a page that did not come is asked for again, not all of them
		n.loading = true
		n.resumeLoad()
		return
	}
	n.loading = true
	n.state = n.newState()
	n.state.BeginLoad()
	n.loadPage("", 0)
}

// scheduleLoad goes on with reading the state after a pause. Pages come as seldom as current
// reads do: a process that ends and starts again and again must leave the others their
// requests.
func (n *Controller) scheduleLoad(delay time.Duration, next func()) {
	n.loading, n.resumeLoad, n.nextLoadAt = false, next, n.now.Add(delay)
}

func (n *Controller) loadPage(after string, from api.Revision) {
	n.callStore(StoreCall{Page: &PageRequest{After: after}}, func(a StoreResponse) {
		if a.Status != 200 {
			n.scheduleLoad(retryDelay, func() { n.loadPage(after, from) })
			return
		}
		if from == 0 {
			from = a.Page.Revision
		}
		for _, p := range a.Page.Pairs {
			if err := n.state.Put(p.Key, p.Value, p.Version); err != nil {
				slog.Error("state record could not be decoded", "err", err)
			}
		}
		if a.Page.More && len(a.Page.Pairs) > 0 {
			last := a.Page.Pairs[len(a.Page.Pairs)-1].Key
			n.scheduleLoad(n.pageReadInterval(), func() { n.loadPage(last, from) })
			return
		}
		n.loadChanges(from)
	})
}

// loadChanges reads what has changed since the first page and ends the reading.
func (n *Controller) loadChanges(from api.Revision) {
	n.callStore(StoreCall{Changes: &ChangesRequest{Since: from}}, func(a StoreResponse) {
		switch a.Status {
		case 200:
		case 410: // it took too long
			n.scheduleLoad(retryDelay, nil)
			return
		default:
			n.scheduleLoad(retryDelay, func() { n.loadChanges(from) })
			return
		}
		n.applyChanges(a.Changes)
		if err := n.state.FinishLoad(); err != nil {
			slog.Error("state load failed", "err", err)
			n.scheduleLoad(retryDelay, nil)
			return
		}
		n.loading, n.resumeLoad, n.loaded = false, nil, true
		n.relayLog.Reset(n.state.Revision)
		n.addMachineTypes(n.recordedTypes.Types)
		slog.Info("state loaded", "revision", n.state.Revision, "jobs", len(n.state.Jobs))
	})
}

// applyChanges folds a log; changes that were folded before are skipped.
func (n *Controller) applyChanges(c api.Changes) {
	n.retainChanges(c)
	for _, ch := range c.Log {
		if ch.Version <= n.state.Revision {
			continue
		}
		if ch.Drop != "" {
			n.state.Delete(ch.Drop, ch.Version)
		} else if err := n.state.Put(ch.Put, ch.Value, ch.Version); err != nil {
			slog.Error("change could not be decoded", "err", err)
		}
	}
	n.state.Revision = max(n.state.Revision, c.Revision)
	if !n.loaded {
		return
	}
	if len(c.Log) > 0 {
		if len(n.recordedTypes.Types) > 0 && len(n.machineTypes) == 0 {
			n.addMachineTypes(n.recordedTypes.Types)
		}
		for _, owned := range n.partitions {
			owned.dirty = true
		}
		n.dropLostPartitions()
	}
}

// reloadState starts from nothing: the log no longer reaches back to where we are.
func (n *Controller) reloadState() {
	slog.Info("reloading state")
	n.loaded = false
	n.partitions = map[api.PartitionID]*ownedPartition{}
	for _, w := range n.readWaiters {
		w.onFailure()
	}
	n.readWaiters = nil
	n.rejectFollowers()
}

// followLog reads the changes. While current reads are wanted all the time, as many
// users' polls do, those reads carry the changes and no watch is opened beside
// them; each serves all who came since the one before. Both are spaced so that
// all nodes together stay well within the state service's limit; of many nodes most
// read through a relay, see relays.go.
func (n *Controller) followLog() {
	readsRequested := n.now.Sub(n.readRequestedAt) < time.Second && n.readRequestedAt != 0
	if !n.watching && !readsRequested && n.now >= n.nextWatchAt {
		n.watching = true
		since := n.state.Revision
		n.readChanges(since, true, n.nextRelay(), func(r logReadResult) {
			n.watching = false
			n.nextWatchAt = n.now.Add(n.logReadInterval())
			n.handleChanges(r, since)
		})
	}
	if n.readInFlight || n.now < n.nextReadAt || len(n.readWaiters) == 0 && !readsRequested {
		return
	}
	via := n.nextRelay()
	if slices.ContainsFunc(n.readWaiters, func(w readWaiter) bool { return w.direct }) {
		via = "" // others wait for a read that we begin ourselves
	}
	if via == "" && n.now < n.nextDirectReadAt {
		return
	}
	waiters := n.readWaiters
	n.readWaiters = nil
	n.readLatest(waiters, via)
}

// readLatest reads what is durable by now and tells those who wait. A relay that fails costs a
// read of our own.
func (n *Controller) readLatest(waiters []readWaiter, via api.ControllerID) {
	n.readInFlight, n.nextReadAt = true, n.now.Add(n.logReadInterval())
	if via == "" && n.readsThroughRelay() {
		n.nextDirectReadAt = n.now.Add(n.directReadInterval)
	}
	since := n.state.Revision
	n.readChanges(since, false, via, func(r logReadResult) {
		n.readInFlight = false
		if via != "" && r.status != 200 && n.loaded {
			n.metrics.ReadFallbacks++
			n.readLatest(waiters, "")
			return
		}
		ok := n.handleChanges(r, since)
		if !ok {
			n.nextReadAt = n.now.Add(n.logReadInterval())
			if len(waiters) == 0 {
				n.readRequestedAt = 0 // a watch outlasts an outage, such reads do not
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

func (n *Controller) handleChanges(r logReadResult, since api.Revision) bool {
	switch {
	case !n.loaded || since > n.state.Revision:
		return false // asked before a reload
	case r.status == 200:
		n.lastReadAt = n.now
		n.applyChanges(r.changes)
		return true
	case r.status == 410 && r.via == "":
		n.reloadState()
	default:
		n.nextWatchAt = n.now.Add(retryDelay)
	}
	return false
}

// linearizableRead calls ok once everything that was durable when it was called is
// folded, or fail when that can't be had.
func (n *Controller) linearizableRead(onRead, onFailure func()) {
	if !n.loaded {
		onFailure()
		return
	}
	n.readWaiters = append(n.readWaiters, readWaiter{onRead: onRead, onFailure: onFailure})
	n.readRequestedAt = n.now
}
