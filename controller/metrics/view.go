// Package metrics composes the metrics for operators from the counters of the core and the current state of the
// other components. It owns no state.
package metrics

// This file declares the metrics view.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
)

// View is the metrics of a controller as shown to operators. The JSON names of the fields are the wire format.
type View struct {
	UpSeconds                        float64                        `json:"up_s"`
	Rounds                           uint64                         `json:"rounds"`
	Starts                           uint64                         `json:"starts"`
	Ends                             uint64                         `json:"ends"`
	Completions                      uint64                         `json:"completions"`
	Takeovers                        uint64                         `json:"takeovers"`
	PreemptedTasks                   uint64                         `json:"preempted"`
	MachinesReserved                 uint64                         `json:"machines_kept"` // for jobs that have waited too long
	ReplicasMoved                    uint64                         `json:"replicas_moved"`
	PollsDeferred                    uint64                         `json:"polls_not_in_turn"`
	TaskMoves                        uint64                         `json:"moves"`
	MachinesLoaned                   uint64                         `json:"machines_lent"`
	MachinesTransferred              uint64                         `json:"machines_transferred"` // lent with running tasks
	StoreRequests                    uint64                         `json:"state_requests"`
	StoreWrites                      uint64                         `json:"state_writes"`
	StoreFailures                    uint64                         `json:"state_failures"`
	StoreRPSLimit                    float64                        `json:"state_rps_limit"`
	StoreWriteRPSLimit               float64                        `json:"state_write_rps_limit"`
	ReadsRelayed                     uint64                         `json:"log_reads_relayed"` // sent to relays
	ReadsServed                      uint64                         `json:"log_reads_served"`  // as a relay
	ReadFallbacks                    uint64                         `json:"log_read_fallbacks"`
	ReadsInvalid                     uint64                         `json:"log_reads_impossible"`
	IsRelay                          bool                           `json:"relay"` // reads the log for other controllers
	CloudRequests                    uint64                         `json:"cloud_requests"`
	CloudRPSLimit                    float64                        `json:"cloud_rps_limit"`
	WorkerCalls                      uint64                         `json:"worker_calls"`
	WorkerHeartbeats                 uint64                         `json:"worker_reports"`
	MachinesNotResumed               int                            `json:"machines_not_resumed"` // agents that have not reported the current fencing token
	FlowTasks                        int                            `json:"flow_tasks_last"`
	FlowMachines                     int                            `json:"flow_machines_last"`
	Jobs                             int                            `json:"jobs"`
	PendingTasks                     int                            `json:"waiting_tasks"`
	PendingCancellations             int                            `json:"cancellations_waiting"`   // recorded but not acknowledged
	OldestPendingCancellationSeconds float64                        `json:"cancellations_waiting_s"` // age of the oldest of them
	PendingCalls                     int                            `json:"calls_open"`
	RequestsWithoutRead              uint64                         `json:"requests_without_read"`   // users' requests refused because no linearizable read was possible
	IndeterminateWrites              uint64                         `json:"indeterminate_writes"`    // writes without an answer
	IndeterminateWritten             uint64                         `json:"indeterminate_written"`   // rounds of these that were later found written
	IndeterminateUnwritten           uint64                         `json:"indeterminate_unwritten"` // rounds of these that can no longer be written
	LongPendingJobs                  map[string]int                 `json:"jobs_waiting_over_60s"`   // in owned partitions, by reason
	MalformedMessages                uint64                         `json:"peer_messages_not_understood"`
	Latencies                        map[string]core.LatencySummary `json:"times"`

	// Time spent since the process started: by kind of work, and processor time of the whole
	// process, which includes messaging and the runtime.
	WorkSeconds      map[string]float64 `json:"work_s"`
	ProcessSeconds   float64            `json:"processor_s"`
	QueueLength      int                `json:"commands_waiting"`
	OptionalWorkShed uint64             `json:"optional_work_put_off"`

	// Unhealthy zones.
	Zones map[api.Zone]ZoneView `json:"zones,omitempty"`

	// Fragmented free accelerators of owned partitions, by type.
	Fragmentation []core.FragmentationView `json:"accelerators_in_pieces,omitempty"`

	// Ledger of skips, once this controller has loaded it.
	Skips *core.SkipMetrics `json:"skips,omitempty"`

	// Only for a hosted service: the first MaxPools pools by name, and the changes of shares that
	// this controller has written.
	Pools          map[api.PoolName]PoolView `json:"pools,omitempty"`
	PoolShareMoves uint64                    `json:"pool_share_moves,omitempty"`

	// Direct calls that the HTTP client sent twice, and transactions that the state service has refused for
	// good.
	WorkerCallsRepeated uint64 `json:"worker_calls_repeated,omitempty"`
	StoreRejections     uint64 `json:"state_rejections,omitempty"`

	// Tasks that machines report although the cluster state has no placement for them.
	UnplacedTasks uint64 `json:"tasks_without_placement,omitempty"`
}

// ZoneView is an unhealthy zone as shown to operators.
type ZoneView struct {
	State               string            `json:"state"`    // doubtful, lost or returning
	UnreachableSeconds  float64           `json:"silent_s"` // since the last heartbeat of its unreachable machines
	Machines            int               `json:"machines"` // known machines, summed over the gossip of all controllers
	UnreachableMachines int               `json:"machines_silent"`
	IsolatedPartitions  []api.PartitionID `json:"parts_inside,omitempty"` // partitions whose owners were lost with the zone
	PendingTasks        int               `json:"tasks_waiting"`          // on machines with expired leases
}

// PoolView is a pool as shown to operators, in units.
type PoolView struct {
	Size              int     `json:"size"`
	Held              int     `json:"held"`
	PendingUnits      int     `json:"waiting_units"`
	OldestWaitSeconds float64 `json:"oldest_wait_s"`
}
