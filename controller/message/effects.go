package message

// This file holds the effects: the output of a controller.

import (
	"time"

	"basaltwall/api"
)

// Effect is an output of the controller: a Reply or a call.
type Effect any

// Kinds of effects.
type (
	// Reply answers a request.
	Reply struct {
		Req        ReqID
		Status     int
		Body       []byte
		RetryAfter int          // in seconds; 0: no Retry-After header
		Log        *api.Changes // answers a ReadLog
	}
	// StoreCall is a request to the state service. Besides ID and Timeout exactly one field is set.
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
	// ChangesRequest requests the changes after a revision.
	ChangesRequest struct {
		Since  api.Revision
		Wait   time.Duration
		Prefix string // of the keys; empty: the root of the cluster state
	}
	// PageRequest requests a page of key-value pairs.
	PageRequest struct {
		After  string
		Prefix string // of the keys; empty: the root of the cluster state
		Limit  int    // maximum number of pairs; 0: a full page
	}
	// WorkerCall sends commands directly to a worker.
	WorkerCall struct {
		ID       CallID
		Address  string
		Commands api.CommandBatch
		Timeout  time.Duration
	}
	// CloudCall is a request to the cloud. Besides ID and Timeout exactly one field is set.
	CloudCall struct {
		ID      CallID
		Types   bool
		List    *ListRequest
		Create  *api.ScaleOutRequest
		Delete  []api.MachineID
		Timeout time.Duration
	}
	// ListRequest requests the page of machines after Since.
	ListRequest struct{ Since api.MachineID }
	// PeerCall is a message to another controller.
	PeerCall struct {
		ID      CallID
		To      api.ControllerID
		Message PeerMessage
		Timeout time.Duration
	}
)
