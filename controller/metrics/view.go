// Package metrics composes the metrics that operators are shown: what the core has counted, and what the other
// components know at the moment. It owns no state.
package metrics

// This file holds the view.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
)

// View is what an operator is shown of a controller's work. The fields' JSON names are the wire, so that
// all of them stand in one struct.
type View struct {
	UpSeconds                        float64                        `json:"up_s"`
	Rounds                           uint64                         `json:"rounds"`
	Starts                           uint64                         `json:"starts"`
	Ends                             uint64                         `json:"ends"`
	Completions                      uint64                         `json:"completions"`
	Takeovers                        uint64                         `json:"takeovers"`
	PreemptedTasks                   uint64                         `json:"preempted"`
	MachinesReserved                 uint64                         `json:"machines_kept"` // for jobs that must begin
	ReplicasMoved                    uint64                         `json:"replicas_moved"`
	PollsDeferred                    uint64                         `json:"polls_not_in_turn"`
	TaskMoves                        uint64                         `json:"moves"`
	MachinesLoaned                   uint64                         `json:"machines_lent"`
	MachinesTransferred              uint64                         `json:"machines_transferred"` // lent with the tasks that run there
	StoreRequests                    uint64                         `json:"state_requests"`
	StoreWrites                      uint64                         `json:"state_writes"`
	StoreFailures                    uint64                         `json:"state_failures"`
	StoreRPSLimit                    float64                        `json:"state_rps_limit"`
	StoreWriteRPSLimit               float64                        `json:"state_write_rps_limit"`
	ReadsRelayed                     uint64                         `json:"log_reads_relayed"` // asked of relays
	ReadsServed                      uint64                         `json:"log_reads_served"`  // for others
	ReadFallbacks                    uint64                         `json:"log_read_fallbacks"`
	ReadsInvalid                     uint64                         `json:"log_reads_impossible"`
	IsRelay                          bool                           `json:"relay"` // reads the log for others
	CloudRequests                    uint64                         `json:"cloud_requests"`
	CloudRPSLimit                    float64                        `json:"cloud_rps_limit"`
	WorkerCalls                      uint64                         `json:"worker_calls"`
	WorkerHeartbeats                 uint64                         `json:"worker_reports"`
	MachinesNotResumed               int                            `json:"machines_not_resumed"` // whose agents do not know the partition's term yet
	FlowTasks                        int                            `json:"flow_tasks_last"`
	FlowMachines                     int                            `json:"flow_machines_last"`
	Jobs                             int                            `json:"jobs"`
	PendingTasks                     int                            `json:"waiting_tasks"`
	PendingCancellations             int                            `json:"cancellations_waiting"`   // recorded, and not confirmed yet
	OldestPendingCancellationSeconds float64                        `json:"cancellations_waiting_s"` // the oldest of them
	PendingCalls                     int                            `json:"calls_open"`
	RequestsWithoutRead              uint64                         `json:"requests_without_read"`   // users', refused for want of a current read
	IndeterminateWrites              uint64                         `json:"indeterminate_writes"`    // that were not answered
	IndeterminateWritten             uint64                         `json:"indeterminate_written"`   // rounds of these that were found to be written
	IndeterminateUnwritten           uint64                         `json:"indeterminate_unwritten"` // and that were not, and never can be
	LongPendingJobs                  map[string]int                 `json:"jobs_waiting_over_60s"`   // in owned partitions, by reason; see jobs for each
	MalformedMessages                uint64                         `json:"peer_messages_not_understood"`
	Latencies                        map[string]core.LatencySummary `json:"times"`

	// Seconds since the process began, by kind of work, and of the whole process:
	// the rest of that is messages and the runtime.
	WorkSeconds      map[string]float64 `json:"work_s"`
	ProcessSeconds   float64            `json:"processor_s"`
	QueueLength      int                `json:"commands_waiting"`
	OptionalWorkShed uint64             `json:"optional_work_put_off"`

	// Zones that are not healthy.
	Zones map[api.Zone]ZoneView `json:"zones,omitempty"`

	// Free accelerators of owned partitions that typical demands can't use, by type.
	Fragmentation []core.FragmentationView `json:"accelerators_in_pieces,omitempty"`

	// Reservations, once somebody asked this controller for one.
	Reservations *core.ReservationMetrics `json:"skips,omitempty"`

	// Of a hosted service: pools, the first 200 by name, and how often this controller
	// moved shares of any.
	Pools          map[api.PoolName]PoolView `json:"pools,omitempty"`
	PoolShareMoves uint64                    `json:"pool_share_moves,omitempty"`
}

// ZoneView is what an operator is shown of a zone that is not healthy.
type ZoneView struct {
	State            string            `json:"state"`    // doubtful, lost or returning
	SilentSeconds    float64           `json:"silent_s"` // since its silent machines' last heartbeat
	Machines         int               `json:"machines"` // that are known, of all controllers that send gossip
	SilentMachines   int               `json:"machines_silent"`
	PartitionsInside []api.PartitionID `json:"parts_inside,omitempty"` // whose owners were lost with it
	PendingTasks     int               `json:"tasks_waiting"`          // on its machines past their leases, for free capacity or for the zone
}

// PoolView is what an operator is shown of a pool: units.
type PoolView struct {
	Size              int     `json:"size"`
	Held              int     `json:"held"`
	PendingUnits      int     `json:"waiting_units"`
	OldestWaitSeconds float64 `json:"oldest_wait_s"`
}
