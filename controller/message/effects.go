package message

// This file holds the effects: what a controller wants done.

import (
	"time"

	"basaltwall/api"
)

// Effect is something the controller wants done: a Reply or a call.
type Effect any

// Effects.
type (
	// Reply answers a request.
	Reply struct {
		Req        ReqID
		Status     int
		Body       []byte
		RetryAfter int          // seconds; 0: none is named
		Log        *api.Changes // answers a ReadLog
	}
	// StoreCall is a request to the state service; one of its fields is set.
	StoreCall struct {
		ID         CallID
		Txn        *api.Txn
		Changes    *ChangesRequest
		Page       *PageRequest
		Get        string
		GrantLease time.Duration
		RenewLease api.LeaseID
		Timeout    time.Duration
	}
	// ChangesRequest asks for the changes under root.
	ChangesRequest struct {
		Since  api.Revision
		Wait   time.Duration
		Prefix string // or under another prefix
	}
	// PageRequest asks for keys under root, or under another prefix where one is named.
	PageRequest struct {
		After  string
		Prefix string
		Limit  int // so many at most; 0: as many as a page holds
	}
	// WorkerCall sends commands straight to a worker.
	WorkerCall struct {
		ID       CallID
		Address  string
		Commands api.CommandBatch
		Timeout  time.Duration
	}
	// CloudCall is a request to the cloud; one of its fields is set.
	CloudCall struct {
		ID      CallID
		Types   bool
		List    *ListRequest
		Create  *api.ScaleOutRequest
		Delete  []api.MachineID
		Timeout time.Duration
	}
	// ListRequest asks for a page of machines.
	ListRequest struct{ Since api.MachineID }
	// PeerCall is a message to another controller.
	PeerCall struct {
		ID      CallID
		To      api.ControllerID
		Message PeerMessage
		Timeout time.Duration
	}
)
