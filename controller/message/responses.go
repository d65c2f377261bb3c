package message

// This file holds the commands that are responses to calls.

import "basaltwall/api"

// CallID identifies a call, which gets exactly one response: with status 0 (a PeerResponse: OK false)
// if it times out.
type CallID uint64

// Responses to calls.
type (
	// StoreResponse is the response to a StoreCall.
	StoreResponse struct {
		ID      CallID
		Status  int
		Txn     api.TxnResponse
		Changes api.Changes
		Page    api.KeyPage
		Pair    api.KeyValue
		Lease   api.LeaseID
	}
	// WorkerResponse is the response to a WorkerCall.
	WorkerResponse struct {
		ID        CallID
		Status    int
		Heartbeat *api.Heartbeat
		Repeated  bool // the call was sent twice, and the first copy may still arrive
	}
	// CloudResponse is the response to a CloudCall.
	CloudResponse struct {
		ID          CallID
		Status      int
		Types       []api.MachineType
		MachineList api.InstanceList
		Machines    []api.MachineID

		NoCapacity bool // the cloud has no capacity for the requested machines
	}
	// PeerResponse is the response to a PeerCall.
	PeerResponse struct {
		ID    CallID
		OK    bool
		Reply PeerReply
	}
)
