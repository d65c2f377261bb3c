package message

// This file holds what controllers send each other. The fields' names are the wire (encoding/gob).

import (
	"basaltwall/api"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// PeerMessage is what controllers send each other; one field is set.
type PeerMessage struct {
	Gossip  *Gossip
	Forward *Forward
	ReadLog *ReadLogRequest
}

// PeerReply answers a PeerMessage.
type PeerReply struct {
	Status     int
	Body       []byte
	RetryAfter int
	Log        *api.Changes // answers a ReadLogRequest
}

// ReadLogRequest asks a controller that reads the state service's log for what follows a revision. With
// Wait the answer comes when there is something; without, it holds all that was durable when the
// request came.
type ReadLogRequest struct {
	Since api.Revision
	Wait  bool
}

// Forward passes on a request that another controller can answer better.
type Forward struct {
	Kind string // one of the Forward constants, or a hosted service's
	Ref  string
	Body []byte
}

// Kinds of a Forward, by what its fields hold.
const (
	ForwardSubmit    = "submit"  // Body: a job's specification
	ForwardPoll      = "poll"    // Ref: the job's reference
	ForwardCancel    = "cancel"  // Ref: the job's reference
	ForwardHeartbeat = "checkin" // Body: a worker's heartbeat, as it came
	ForwardSkips     = "skips"   // Body: an AdminRequest about reservations, as JSON
)

// Gossip is what a controller tells the others of itself. It is advice only:
// nothing that safety needs rests on it.
type Gossip struct {
	From    api.ControllerID
	Born    int64  // the sender's incarnation: which run of the process sends it
	Number  uint64 // grows with each that this incarnation sends
	StateOK bool   // the sender reaches the state service
	Parts   []PartitionStatus
	Rented  []RecentScaleOut
	Passed  []*Gossip // what others sent of themselves lately, which a relay passes on
}

// RecentScaleOut names machines that were created lately: whoever scales out next must count on
// them before the cloud's list shows them.
type RecentScaleOut struct {
	Type     api.MachineTypeName
	Zone     api.Zone
	Spot     bool
	Machines []api.MachineID
}

// PartitionStatus describes a partition to the controllers that do not own it.
type PartitionStatus struct {
	Part        api.PartitionID
	Kinds       []MachineClass // that Rooms refer to
	Rooms       []FreeCapacity
	Accelerated map[AcceleratorKind]AcceleratorCount
	Zones       map[api.Zone]zonehealth.MachineCount
	Silent      []api.MachineID            // that send no heartbeats to their owner
	Fresh       []api.MachineID            // that have come up lately
	Want        map[api.Team]api.Resources // quota share it could use
	Due         map[api.Team]api.Resources // of that, what jobs lack that must begin
	Starved     map[api.Team]api.Resources // of that, what jobs lack that have machines and nothing of the limit
	Short       []api.MachineTypeName      // on which work found no free capacity
	Spare       map[api.Team]api.Resources // quota share it does not use
	Waiting     int                        // tasks that found no free capacity
	Lack        []UnmetDemand              // jobs that this partition can't hold whole
}

// MaxSilentMachines bounds the silent machines that a partition names.
const MaxSilentMachines = 500

// MachineClass is what machines may have in common.
type MachineClass struct {
	Type   api.MachineTypeName
	Zone   api.Zone
	Spot   bool
	Usable bool // gets new tasks
	Closed bool // only for work that needs its accelerators
}

// FreeCapacity is what is free on a number of machines that are alike, and what would be
// if all work were preempted that urgent work may preempt.
type FreeCapacity struct {
	Kind  int // index into PartitionStatus.Kinds
	Free  api.Resources
	Could api.Resources
	Count int
}

// UnmetDemand is a job whose tasks must lie in one partition, and don't fit there.
type UnmetDemand struct {
	Spec  *api.JobSpec
	Zones map[api.Zone]int // where some of its tasks are
	Zone  api.Zone         // where it should be, when they must be together
	Stage sched.AgingStage // whether it must begin
	// Lenders are other partitions with free capacity for it, once it has waited for long: they may lend
	// machines with the tasks that run there.
	Lenders []api.PartitionID
}

// MaxUnmetDemands bounds the unmet demands that a partition names.
const MaxUnmetDemands = 4
