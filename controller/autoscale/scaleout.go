// This file decides when and which machines are requested, and sends the requests.

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

	// takeoverSettleTime is the time after a failover in which existing machines send
	// heartbeats to the new owner, before it scales out.
	takeoverSettleTime = 3 * time.Second
	// placementSettleTime is the time for which tasks must lack machines before machines
	// are requested, so that tasks can be placed on existing machines first.
	placementSettleTime = time.Second

	offerBackoff       = 20 * time.Second // after the cloud had no capacity for an offer
	scaleOutRetryDelay = time.Second
)

// scaleOutCalls is the state of the requests for machines.
type scaleOutCalls struct {
	inFlight     bool
	nextAt       api.Time
	lastUrgent   bool // the last request was for the most urgent job
	requestCount int
	backoffUntil map[core.MachineOffer]api.Time // by offer: the time until which it is not requested
	unmetSince   api.Time                       // time since which tasks lack machines; 0: none do
}

// scaleOut requests the cheapest machines for pending tasks that fit neither on existing nor on
// incoming machines, and for the capacity targets.
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
	// After a failover existing machines must first send heartbeats to the new owner.
	machinesExist := len(as.Listed) > 0 || len(as.core.Machines) > 0
	return !machinesExist || as.core.Now.Sub(owned.OwnedSince) >= takeoverSettleTime
}

// nextOffer chooses the offer to request: alternately the offer for the most urgent job and the
// one with the most planned machines. ok is false if no machines are needed, or not yet.
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

// requestMachines requests machines from the cloud.
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
			// The outcome is unknown. The request is not repeated under its name; machines
			// that it has created appear in the list, so wait for the list's lag.
			listLag := api.Seconds(as.core.Config.Deployment.Cloud.ListLag)
			calls.nextAt = as.core.Now.Add(max(scaleOutRetryDelay, listLag))
		default:
			calls.nextAt = as.core.Now.Add(scaleOutRetryDelay)
		}
	})
}

// noteScaleOut records the machines that a request has created.
func (as *Manager) noteScaleOut(offer core.MachineOffer, requested int, requestedAt api.Time, created []api.MachineID) {
	calls := &as.scaleOuts
	if requested == maxScaleOutBatch {
		calls.nextAt = requestedAt.Add(as.core.CloudCallInterval * 2 / 3) // many machines are needed: requests may use half of the cloud's limit
	}
	slog.Info("machines provisioned", "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "requested", requested, "created", len(created))
	if len(created) < requested {
		calls.backoffUntil[offer] = as.core.Now.Add(offerBackoff)
	}
	for _, id := range created {
		as.noteProvisioned(id, offer)
	}
}
