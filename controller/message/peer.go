package message

// This file holds the messages between controllers. They are sent as encoding/gob, so renaming a field
// breaks the protocol.

import (
	"basaltwall/api"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// PeerMessage is a message to another controller; exactly one field is set.
type PeerMessage struct {
	Gossip  *Gossip
	Forward *Forward
	ReadLog *ReadLogRequest
}

// PeerReply is the reply to a PeerMessage.
type PeerReply struct {
	Status     int
	Body       []byte
	RetryAfter int
	Log        *api.Changes // answers a ReadLogRequest
}

// ReadLogRequest asks a controller that reads the state service's log, a relay, for the entries after a
// revision. With Wait the reply is sent once there are entries; without, it holds all entries that were
// durable when the request arrived.
type ReadLogRequest struct {
	Since api.Revision
	Wait  bool
}

// Forward is a request that a controller forwards to one that can answer it.
type Forward struct {
	Kind string // one of the Forward constants, or the kind of a hosted service's requests
	Ref  string
	Body []byte
}

// Kinds of a Forward, with the fields that they use.
const (
	ForwardSubmit    = "submit"  // Body: a job's specification
	ForwardPoll      = "poll"    // Ref: the job's reference
	ForwardCancel    = "cancel"  // Ref: the job's reference
	ForwardHeartbeat = "checkin" // Body: a worker's encoded heartbeat
	ForwardSkips     = "skips"   // Body: an AdminRequest about skips, as JSON
)

// Gossip is a controller's status for the other controllers. It is advisory: safety never depends on
// it.
type Gossip struct {
	From    api.ControllerID
	Born    int64             // the sender's incarnation
	Number  uint64            // sequence number within the incarnation
	StateOK bool              // the sender reaches the state service
	Parts   []PartitionStatus // the partitions that the sender owns
	Rented  []RecentScaleOut  // machines that the cloud's list may not show yet
	Passed  []*Gossip         // recent gossip of other controllers, forwarded by a relay
}

// RecentScaleOut lists recently created machines, so that the next scale-out counts them before the
// cloud's list shows them.
type RecentScaleOut struct {
	Type     api.MachineTypeName
	Zone     api.Zone
	Spot     bool
	Machines []api.MachineID
}

// PartitionStatus describes a partition to the controllers that do not own it.
type PartitionStatus struct {
	Part        api.PartitionID
	Kinds       []MachineClass                       // classes that Rooms refers to by index
	Rooms       []FreeCapacity                       // free capacity by groups of equal machines
	Accelerated map[AcceleratorKind]AcceleratorCount // machines with accelerators
	Zones       map[api.Zone]zonehealth.MachineCount // machines and those without a recent heartbeat, by zone
	Silent      []api.MachineID                      // machines without heartbeats to their owner
	Fresh       []api.MachineID                      // machines that have booted recently
	Want        map[api.Team]api.Resources           // quota that pending jobs could use
	Due         map[api.Team]api.Resources           // of Want: quota for aged jobs, which must start
	Starved     map[api.Team]api.Resources           // of Want: quota for jobs that have free capacity but quota for no task
	Short       []api.MachineTypeName                // types without free capacity for pending tasks
	Spare       map[api.Team]api.Resources           // unused quota
	Waiting     int                                  // tasks without free capacity
	Lack        []UnmetDemand                        // jobs that do not fit in this partition as a whole
}

// MaxUnreachableMachines is the maximum number of machines in PartitionStatus.Silent.
const MaxUnreachableMachines = 500

// MachineClass is the attributes by which machines are grouped.
type MachineClass struct {
	Type   api.MachineTypeName
	Zone   api.Zone
	Spot   bool
	Usable bool // gets new tasks
	Closed bool // only for tasks that need its accelerators
}

// FreeCapacity is the free capacity of each machine in a group of equal machines, now and after the
// preemption of all tasks that urgent jobs may preempt.
type FreeCapacity struct {
	Kind  int           // index into PartitionStatus.Kinds
	Free  api.Resources // free now
	Could api.Resources // free after preemption
	Count int           // number of machines
}

// UnmetDemand is a job whose tasks must be in one partition, and do not fit there.
type UnmetDemand struct {
	Spec  *api.JobSpec
	Zones map[api.Zone]int // number of placed tasks by zone
	Zone  api.Zone         // the zone for a job whose tasks must be in one zone
	Stage sched.AgingStage // NotAged, or how far it takes precedence over other jobs
	// Lenders are partitions with free capacity for the job, set once it has been pending for long. They
	// may lend machines together with the tasks that run there.
	Lenders []api.PartitionID
}

// MaxUnmetDemands is the maximum number of jobs in PartitionStatus.Lack.
const MaxUnmetDemands = 4
