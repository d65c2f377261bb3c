// Scale-out: when machines are requested, which ones, and the calls that request them.

package autoscale

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	// maxScaleOutBatch is the cloud protocol's limit of machines in one request.
	maxScaleOutBatch = 50

	// takeoverSettleTime is how long after a takeover the machines that there are may
	// take to send their heartbeats.
	takeoverSettleTime = 3 * time.Second
	// placementSettleTime is how long tasks must have been short of machines: what is
	// about to be placed is placed first.
	placementSettleTime = time.Second

	offerBackoff       = 20 * time.Second // for offers of which the cloud has no more
	scaleOutRetryDelay = time.Second
)

// scaleOutCalls is the state of the requests for machines.
type scaleOutCalls struct {
	inFlight     bool
	nextAt       api.Time
	lastUrgent   bool // the last request was for the most urgent work
	requestCount int
	backoffUntil map[core.MachineOffer]api.Time // no requests of an offer before
	unmetSince   api.Time                       // since when tasks are short of machines, 0: they are not
}

// scaleOut finds the waiting tasks that fit nowhere, neither on machines that are up nor
// on those that are coming, and requests the cheapest machines for them.
func (as *Manager) scaleOut(owned *core.OwnedPartition) {
	if !as.scaleOutDue(owned) {
		return
	}
	as.scaleOuts.nextAt = as.core.Now.Add(as.core.CloudCallInterval)
	plan := as.newScaleOutPlan()
	for _, j := range as.jobsByUrgency() {
		plan.addJob(j)
	}
	plan.addCapacityTargets()
	if offer, ok := as.nextOffer(plan); ok {
		as.requestMachines(owned, offer, min(plan.requests[offer], maxScaleOutBatch))
	}
}

// scaleOutDue reports whether machines may be requested now.
func (as *Manager) scaleOutDue(owned *core.OwnedPartition) bool {
	calls := &as.scaleOuts
	if as.core.Settings.DisableScaleOut || calls.inFlight || as.core.Now < calls.nextAt || as.listedAt == 0 {
		return false
	}
	// After a takeover the existing machines must send heartbeats first; where none
	// exist there is nothing to wait for.
	machinesExist := len(as.Listed) > 0 || len(as.core.Machines) > 0
	return !machinesExist || as.core.Now.Sub(owned.OwnedSince) >= takeoverSettleTime
}

// nextOffer chooses the offer to request: the most urgent work's and the one that is
// needed most, by turns. ok is false if none is needed, or not for long enough.
func (as *Manager) nextOffer(plan *scaleOutPlan) (offer core.MachineOffer, ok bool) {
	calls := &as.scaleOuts
	if len(plan.requests) == 0 {
		calls.unmetSince = 0
		return offer, false
	}
	if calls.unmetSince == 0 {
		calls.unmetSince = as.core.Now
	}
	if as.core.Now.Sub(calls.unmetSince) < placementSettleTime {
		return offer, false
	}
	calls.lastUrgent = !calls.lastUrgent
	if calls.lastUrgent && len(plan.requestOrder) > 0 {
		return plan.requestOrder[0], true
	}
	offers := slices.SortedFunc(maps.Keys(plan.requests), compareOffers)
	return slices.MaxFunc(offers, func(a, b core.MachineOffer) int { return plan.requests[a] - plan.requests[b] }), true
}

// requestMachines asks the cloud for machines.
func (as *Manager) requestMachines(owned *core.OwnedPartition, offer core.MachineOffer, count int) {
	calls := &as.scaleOuts
	calls.requestCount++
	request := &api.ScaleOutRequest{Name: fmt.Sprintf("r-%d-%d", owned.Term, calls.requestCount), Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Count: count}
	calls.inFlight = true
	requestedAt := as.core.Now
	as.core.CallCloud(message.CloudCall{Create: request}, func(response message.CloudResponse) {
		calls.inFlight = false
		switch {
		case response.Status == statusOK:
			as.noteScaleOut(offer, request.Count, requestedAt, response.Machines)
		case response.NoCapacity:
			calls.backoffUntil[offer] = as.core.Now.Add(offerBackoff)
		case response.Status == 0:
			// The name is not used again: should the request be carried out late, its
			// machines appear by themselves. The list may show them meanwhile.
			listLag := api.Seconds(as.core.Config.Deployment.Cloud.ListLag)
			calls.nextAt = as.core.Now.Add(max(scaleOutRetryDelay, listLag))
		default:
			calls.nextAt = as.core.Now.Add(scaleOutRetryDelay)
		}
	})
}

// noteScaleOut accounts for the machines that a request has created.
func (as *Manager) noteScaleOut(offer core.MachineOffer, requested int, requestedAt api.Time, created []api.MachineID) {
	calls := &as.scaleOuts
	if requested == maxScaleOutBatch {
		calls.nextAt = requestedAt.Add(as.core.CloudCallInterval * 2 / 3) // much is needed: half of the cloud's calls
	}
	slog.Info("machines provisioned", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "asked", requested, "got", len(created))
	if len(created) < requested {
		calls.backoffUntil[offer] = as.core.Now.Add(offerBackoff)
	}
	for _, id := range created {
		as.noteProvisioned(id, offer)
	}
}
