package core

// This file makes calls to the state service and monitors its health.

import (
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// StoreSlowAfter is the time without a response after which the state service counts as unreachable
// until it responds.
const StoreSlowAfter = 150 * time.Millisecond

// statusUnknown is the status of a call that timed out: it may have taken effect.
const statusUnknown = 0

// storeLatency is the name of the state service's latency in Metrics.
const storeLatency = "state"

// CallStore calls the state service. It sets the ID of the call, and StoreTimeout unless the call
// has a timeout.
func (o *Outbox) CallStore(call message.StoreCall, callback func(message.StoreResponse)) {
	if call.Timeout == 0 {
		call.Timeout = StoreTimeout
	}
	isTxn := call.Txn != nil
	var id message.CallID
	id = o.registerCall(func(response any) {
		storeResponse := response.(message.StoreResponse)
		o.observeStoreResponse(id, storeResponse.Status, isTxn)
		if isTxn && storeResponse.Status == api.StatusBadRequest && !usesLease(call.Txn) {
			o.ReportRejectedTxn(call.Txn)
		}
		callback(storeResponse)
	})
	call.ID = id
	o.metrics.StoreRequests++
	if isTxn {
		o.metrics.StoreWrites += uint64(len(call.Txn.Writes))
	}
	if call.Changes == nil || call.Changes.Wait == 0 {
		o.pendingStoreCalls[id] = o.clock.Now
	}
	o.Emit(call)
}

// usesLease reports whether a transaction attaches a key to a lease. It is refused when the lease has
// expired, whatever its size.
func usesLease(txn *api.Txn) bool {
	return slices.ContainsFunc(txn.Writes, func(write api.Write) bool { return write.Lease != 0 })
}

// CallStoreTxn sends a transaction to the state service.
func (o *Outbox) CallStoreTxn(txn api.Txn, callback func(message.StoreResponse)) {
	o.CallStore(message.StoreCall{Txn: &txn}, callback)
}

// observeStoreResponse updates metrics and health after a response of the state service. A refusal
// because of the rate limit (api.StatusTooManyRequests) does not change the health.
func (o *Outbox) observeStoreResponse(id message.CallID, status int, isTxn bool) {
	if calledAt, ok := o.pendingStoreCalls[id]; ok {
		delete(o.pendingStoreCalls, id)
		o.metrics.ObserveLatency(storeLatency, o.clock.Now.Sub(calledAt))
	}
	if status == statusUnknown && isTxn {
		o.metrics.IndeterminateWrites++
	}
	switch status {
	case statusUnknown, api.StatusServiceUnavailable:
		o.metrics.StoreFailures++
		o.StoreHealthy = false
	case api.StatusTooManyRequests:
		o.metrics.StoreFailures++
	default:
		o.StoreHealthy = true
	}
}

// storeCallOverdue reports whether a call that should be answered at once has been pending for
// longer than StoreSlowAfter.
func (o *Outbox) storeCallOverdue() bool {
	for _, calledAt := range o.pendingStoreCalls {
		if o.clock.Now.Sub(calledAt) > StoreSlowAfter {
			return true
		}
	}
	return false
}
