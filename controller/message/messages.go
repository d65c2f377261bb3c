package message

import (
	"time"

	"basaltwall/api"
	"basaltwall/sched"
	"basaltwall/tenant"
	"basaltwall/zonehealth"
)

// ReqID names a request from outside that waits for a Reply.
type ReqID uint64

// CallID names a call to outside that will be answered by a command.
type CallID uint64

// Command is something the owner is told. Each call is answered exactly once,
// with status 0 when no answer came in time.
type Command any

// Commands from users, workers and peers.
type (
	// Submit is a user's submission.
	Submit struct {
		Req       ReqID
		Body      []byte
		Forwarded bool
		Caller    Caller // these are looked at by a hosted service only
	}
	// Poll asks for a job's state.
	Poll struct {
		Req       ReqID
		Ref       string
		Forwarded bool
		Caller    Caller
	}
	// Cancel asks for a job's end.
	Cancel struct {
		Req       ReqID
		Ref       string
		Forwarded bool
		Caller    Caller
	}
	// ReadinessProbe is the balancer's probe.
	ReadinessProbe struct{ Req ReqID }
	// WorkerHeartbeat is a worker's report.
	WorkerHeartbeat struct {
		Req       ReqID
		Heartbeat *api.Heartbeat
		Body      []byte // as it came, for passing on
		Forwarded bool
	}
	// AdminRequest is an operator's question or order; What says which.
	AdminRequest struct {
		Req   ReqID
		What  string
		ID    string
		Team  string // jobs: only this team's
		Limit int    // jobs: so many at most
		Body  []byte

		Sub    string // of ID, the name of a key
		After  string // audit: what comes after
		Caller Caller
		Random *[tenant.RandomBytes]byte // for a new key

		Forwarded bool // by a peer, which has looked at the key

		KeyID tenant.KeyID `json:"-"` // never forwarded: the operators' key that came with it
	}
	// MalformedMessage is a message of another controller that can't be understood.
	MalformedMessage struct {
		Req  ReqID
		From string
	}
	// PeerGossip is another controller's news.
	PeerGossip struct {
		Req    ReqID
		Gossip *Gossip
	}
	// ReadLog is another controller's question for what follows a revision of the log.
	ReadLog struct {
		Req     ReqID
		Request *ReadLogRequest
	}
)

// Answers to calls.
type (
	// StoreResponse answers a StateCall.
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

// Effect is something the owner wants done.
type Effect any

// Effects.
type (
	// Reply answers a request.
	Reply struct {
		Req        ReqID
		Status     int
		Body       []byte
		RetryAfter int
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

// PeerMessage is what controllers send each other; one field is set.
type PeerMessage struct {
	Gossip  *Gossip
	Forward *Forward
	ReadLog *ReadLogRequest
}

// ReadLogRequest asks a controller that reads the state service's log for what follows a revision. With
// Wait the answer comes when there is something; without, it holds all that was durable when the
// question came.
type ReadLogRequest struct {
	Since api.Revision
	Wait  bool
}

// Forward passes on a request that another node can answer better.
type Forward struct {
	Kind string // submit, poll, cancel or checkin
	Ref  string
	Body []byte
}

// PeerReply answers a PeerMessage.
type PeerReply struct {
	Status     int
	Body       []byte
	RetryAfter int
	Log        *api.Changes // answers a LogAsk
}

// Gossip is what a controller tells the others of itself. It is advice only:
// nothing that safety needs rests on it.
type Gossip struct {
	From    api.ControllerID
	Born    int64  // which run of the process tells it
	Number  uint64 // grows with each that this run tells
	StateOK bool
	Parts   []PartitionStatus
	Rented  []RecentScaleOut
	Passed  []*Gossip // what others told of themselves lately, which a relay passes on
}

// RecentScaleOut names machines that were rented lately: whoever rents next must count on
// them before the list shows them.
type RecentScaleOut struct {
	Type     api.MachineTypeName
	Zone     api.Zone
	Spot     bool
	Machines []api.MachineID
}

// PartitionStatus describes a part to the nodes that do not own it.
type PartitionStatus struct {
	Part        api.PartitionID
	Kinds       []MachineClass // that Rooms refer to
	Rooms       []FreeCapacity
	Accelerated map[AcceleratorKind]AcceleratorCount
	Zones       map[api.Zone]zonehealth.MachineCount
	Silent      []api.MachineID            // that do not report to their owner
	Fresh       []api.MachineID            // that have come up lately
	Want        map[api.Team]api.Resources // share it could use
	Due         map[api.Team]api.Resources // of that, what jobs lack that must begin
	Starved     map[api.Team]api.Resources // of that, what jobs lack that have machines and nothing of the limit
	Short       []api.MachineTypeName      // on which work found no room
	Spare       map[api.Team]api.Resources // share it does not use
	Waiting     int                        // tasks that found no room
	Lack        []UnmetDemand              // jobs that this part can't hold whole
}

// MachineClass is what machines may have in common.
type MachineClass struct {
	Type   api.MachineTypeName
	Zone   api.Zone
	Spot   bool
	Usable bool // gets new tasks
	Closed bool // only for work that needs its accelerators
}

// FreeCapacity is what is free on a number of machines that are alike, and what would be
// if all work made way that urgent work may stop.
type FreeCapacity struct {
	Kind  int
	Free  api.Resources
	Could api.Resources
	Count int
}

// MaxSilentMachines bounds the machines that a part names.
const MaxSilentMachines = 500

// UnmetDemand is a job whose tasks must lie in one part, and don't fit there.
type UnmetDemand struct {
	Spec  *api.JobSpec
	Zones map[api.Zone]int // where some of its tasks are
	Zone  api.Zone         // where it should be, when they must be together
	Stage sched.AgingStage // whether it must begin
	// Lenders are other parts with room for it, once it has waited for long: they may lend
	// machines with the tasks that run there.
	Lenders []api.PartitionID
}

// MaxUnmetDemands bounds the lacks a part tells of.
const MaxUnmetDemands = 4
