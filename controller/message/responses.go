package message

// This file holds the commands that answer calls.

import "basaltwall/api"

// CallID names a call to outside, which is answered by exactly one command: with status 0 (of a
// PeerResponse: not OK) when no answer came in time.
type CallID uint64

// Answers to calls.
type (
	// StoreResponse answers a StoreCall.
	StoreResponse struct {
		ID      CallID
		Status  int
		Txn     api.TxnResponse
		Changes api.Changes
		Page    api.KeyPage
		Pair    api.KeyValue
		Lease   api.LeaseID
	}
	// WorkerResponse answers a WorkerCall.
	WorkerResponse struct {
		ID        CallID
		Status    int
		Heartbeat *api.Heartbeat
	}
	// CloudResponse answers a CloudCall.
	CloudResponse struct {
		ID       CallID
		Status   int
		Types    []api.MachineType
		Hosts    api.InstanceList
		Machines []api.MachineID

		NoCapacity bool // refused for want of machines, not of time
	}
	// PeerResponse answers a PeerCall.
	PeerResponse struct {
		ID    CallID
		OK    bool
		Reply PeerReply
	}
)
