package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Paths of the protocol.
const (
	PathJobs            = "/v1/jobs"
	PathHistory         = "/v1/history" // of a hosted service only
	PathUsage           = "/v1/usage"   // the same
	PathReady           = "/ready"
	PathHeartbeat       = "/checkin"
	PathCommands        = "/commands"
	PathMachineTypes    = "/machine_types"
	PathInstances       = "/hosts"
	PathDeleteInstances = "/hosts/delete"
	PathKeys            = "/keys"
	PathTxn             = "/multi"
	PathLeases          = "/leases"
	PathChanges         = "/changes"
	PathSuffixCancel    = "withdraw"
	PathSuffixRenew     = "extend"
)

// Kind says how a job's tasks belong together.
type Kind string

// Priority orders jobs.
type Priority string

// JobState is what a user is told.
type JobState string

// TaskState is what a worker reports of a task.
type TaskState string

// Reason is why a task ended.
type Reason string

// Op is a command to a worker.
type Op string

// MachineState is the cloud's word on a machine.
type MachineState string

// Values of the protocol.
const (
	Array   Kind = "sweep"
	Gang    Kind = "ensemble"
	Service Kind = "daemon"

	Production Priority = "critical"
	High       Priority = "high"
	Normal     Priority = "normal"
	Low        Priority = "idle"

	JobPending   JobState = "pending"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"

	TaskFetching      TaskState = "fetching"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "ended"

	ReasonDone           Reason = "done"
	ReasonStopped        Reason = "halted"
	ReasonGangPeersLost  Reason = "mates_gone"
	ReasonGangIncomplete Reason = "incomplete"
	ReasonError          Reason = "error"
	ReasonNoCapacity     Reason = "full"
	ReasonBusy           Reason = "in_use"
	ReasonUnknown        Reason = "no_such"

	OpStart Op = "launch"
	OpStop  Op = "halt"
	OpReap  Op = "reap"

	MachineBooting MachineState = "starting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// Rank orders priorities, higher first served.
func (p Priority) Rank() int {
	return slices.Index([]Priority{Low, Normal, High, Production}, p)
}

// JobSpec is a job as submitted and as kept in the key-value store.
type JobSpec struct {
	Ref        JobID             `json:"ref"`
	Class      Class             `json:"mestiere"`
	Team       Team              `json:"bottega"`
	Kind       Kind              `json:"forma"`
	Priority   Priority          `json:"urgenza"`
	Tasks      int               `json:"pezzi"`
	CPUs       float64           `json:"cores"`
	GPUs       float64           `json:"gpus"`
	MemGB      float64           `json:"ram_gb"`
	Image      Image             `json:"stampo"`
	ImageGB    float64           `json:"image_gb"`
	Types      []MachineTypeName `json:"banchi,omitempty"`
	Zone       Zone              `json:"cortile,omitempty"`
	OneZone    bool              `json:"together,omitempty"`
	Spread     bool              `json:"scatter,omitempty"`
	Spot       bool              `json:"avanzi,omitempty"`
	Estimate   float64           `json:"stima_s"`
	Checkpoint float64           `json:"tappa_s,omitempty"`
	Save       float64           `json:"salvo_s,omitempty"`
	Deadline   *float64          `json:"consegna_s,omitempty"`
	Needs      []PoolRequest     `json:"gettoni,omitempty"` // of pools, in a hosted service
}

// PoolName names a pool of counted resources.
type PoolName string

// PoolRequest is what a job takes of a pool: so many units with each of its tasks, from its start to
// its end, and so many as long as any of its tasks is on a machine.
type PoolRequest struct {
	Pool PoolName `json:"nome"`
	Task int      `json:"a_pezzo,omitempty"`
	Job  int      `json:"a_lavoro,omitempty"`
}

// Units is what so many tasks take of it, the job's own units with them if it is not held yet.
func (n PoolRequest) Units(tasks int, held bool) int {
	u := n.Task * tasks
	if !held && tasks > 0 {
		u += n.Job
	}
	return u
}

// PoolRequest finds what the job takes of a pool.
func (s *JobSpec) PoolRequest(pool PoolName) (PoolRequest, bool) {
	i := slices.IndexFunc(s.Needs, func(n PoolRequest) bool { return n.Pool == pool })
	if i < 0 {
		return PoolRequest{}, false
	}
	return s.Needs[i], true
}

// GangSize is how many of the job's tasks start together: a gang's all, else one.
func (s *JobSpec) GangSize() int {
	if s.Kind == Gang {
		return s.Tasks
	}
	return 1
}

// HasJobUnits reports whether the job takes units for itself.
func (s *JobSpec) HasJobUnits() bool {
	return slices.ContainsFunc(s.Needs, func(n PoolRequest) bool { return n.Job > 0 })
}

// Demand is what one task takes.
func (s *JobSpec) Demand() Resources {
	return Resources{ToQuantity(s.CPUs), ToQuantity(s.GPUs), ToQuantity(s.MemGB)}
}

// NeedsSinglePartition reports whether the job's tasks constrain each other's placement, so
// that one partition must hold them all.
func (s *JobSpec) NeedsSinglePartition() bool {
	return s.Kind != Array || s.OneZone || s.Spread || s.HasJobUnits()
}

type rawSpec struct {
	JobID      *string            `json:"ref"`
	Class      *Class             `json:"mestiere"`
	Team       *Team              `json:"bottega"`
	Kind       *Kind              `json:"forma"`
	Priority   *Priority          `json:"urgenza"`
	Tasks      *int               `json:"pezzi"`
	CPUs       *float64           `json:"cores"`
	GPUs       *float64           `json:"gpus"`
	MemGB      *float64           `json:"ram_gb"`
	Image      *Image             `json:"stampo"`
	ImageGB    *float64           `json:"image_gb"`
	Types      *[]MachineTypeName `json:"banchi"`
	Zone       *Zone              `json:"cortile"`
	OneZone    *bool              `json:"together"`
	Spread     *bool              `json:"scatter"`
	Spot       *bool              `json:"avanzi"`
	Estimate   *float64           `json:"stima_s"`
	Checkpoint *float64           `json:"tappa_s"`
	Save       *float64           `json:"salvo_s"`
	Deadline   *float64           `json:"consegna_s"`
	Needs      []PoolRequest      `json:"gettoni"`
}

const maxTasks = 100_000

// Bounds on what a job asks of pools.
const (
	maxPoolRequests = 4
	maxUnits        = 1_000_000
)

// ParseJob reads a submission; the error names the field at fault.
func ParseJob(body []byte) (*JobSpec, error) {
	var r rawSpec
	if err := json.Unmarshal(body, &r); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) && te.Field != "" {
			return nil, fmt.Errorf("%s: wrong type", te.Field)
		}
		return nil, errors.New("body is not a JSON object")
	}
	var invalidField string
	require := func(ok bool, field string) {
		if !ok && invalidField == "" {
			invalidField = field
		}
	}
	number := func(f *float64, field string) float64 {
		require(f != nil && *f >= 0 && *f <= 1e9 && !math.IsNaN(*f), field)
		if f == nil {
			return 0
		}
		return *f
	}
	flag := func(b *bool, field string) bool {
		require(b != nil, field)
		return b != nil && *b
	}
	require(r.JobID != nil && ValidJobID(*r.JobID), "ref")
	require(r.Class != nil && *r.Class != "" && len(*r.Class) <= 200, "mestiere")
	require(r.Team != nil && *r.Team != "" && len(*r.Team) <= 200, "bottega")
	require(r.Kind != nil && slices.Contains([]Kind{Array, Gang, Service}, *r.Kind), "forma")
	require(r.Priority != nil && r.Priority.Rank() >= 0, "urgenza")
	require(r.Tasks != nil && *r.Tasks >= 1 && *r.Tasks <= maxTasks, "pezzi")
	require(r.Image != nil && *r.Image != "" && len(*r.Image) <= 500, "stampo")
	s := &JobSpec{
		CPUs: number(r.CPUs, "cores"), GPUs: number(r.GPUs, "gpus"), MemGB: number(r.MemGB, "ram_gb"),
		ImageGB: number(r.ImageGB, "image_gb"), OneZone: flag(r.OneZone, "together"),
		Spread: flag(r.Spread, "scatter"), Spot: flag(r.Spot, "avanzi"),
		Estimate: number(r.Estimate, "stima_s"), Checkpoint: number(r.Checkpoint, "tappa_s"),
		Save: number(r.Save, "salvo_s"), Deadline: r.Deadline,
	}
	if r.Deadline != nil {
		number(r.Deadline, "consegna_s")
	}
	if r.Types != nil {
		require(len(*r.Types) > 0 && len(*r.Types) <= 64, "banchi")
		for _, t := range *r.Types {
			require(t != "" && len(t) <= 200, "banchi")
		}
		s.Types = *r.Types
	}
	if r.Zone != nil {
		require(*r.Zone != "" && len(*r.Zone) <= 200, "cortile")
		s.Zone = *r.Zone
	}
	require(s.CPUs > 0 || s.GPUs > 0 || s.MemGB > 0, "cores")
	require(len(r.Needs) <= maxPoolRequests, "gettoni")
	for i, n := range r.Needs {
		require(n.Pool != "" && len(n.Pool) <= 40, "gettoni.nome")
		require(!slices.ContainsFunc(r.Needs[:i], func(o PoolRequest) bool { return o.Pool == n.Pool }), "gettoni.nome")
		require(n.Task >= 0 && n.Task <= maxUnits, "gettoni.a_pezzo")
		require(n.Job >= 0 && n.Job <= maxUnits && n.Task+n.Job > 0, "gettoni.a_lavoro")
	}
	s.Needs = r.Needs
	if invalidField != "" {
		return nil, fmt.Errorf("%s: missing or invalid", invalidField)
	}
	s.Ref, s.Class, s.Team, s.Kind = JobID(*r.JobID), *r.Class, *r.Team, *r.Kind
	s.Priority, s.Tasks, s.Image = *r.Priority, *r.Tasks, *r.Image
	return s, nil
}

// JobStatus answers a poll, a submission or a cancellation.
type JobStatus struct {
	JobID   JobID    `json:"ref"`
	State   JobState `json:"stato"`
	Done    *int     `json:"done,omitempty"`
	Running *int     `json:"running,omitempty"`
}

// Terminal reports whether the state can't change any more.
func (s JobStatus) Terminal() bool { return s.State == JobDone || s.State == JobCancelled }

// NoCapacity is the cloud's word that it has no machine of the kind asked for.
const NoCapacity = "no capacity"

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         string    `json:"pezzo"`
	Attempt      Attempt   `json:"tentativo"`
	State        TaskState `json:"stato"`
	Reason       Reason    `json:"motivo,omitempty"`
	Checkpointed bool      `json:"saved,omitempty"`
}

// Heartbeat is a worker's message.
type Heartbeat struct {
	Machine          MachineID       `json:"tornio"`
	Address          string          `json:"address"`
	Type             MachineTypeName `json:"banco"`
	Zone             Zone            `json:"cortile"`
	Spot             bool            `json:"avanzi"`
	Epoch            Epoch           `json:"turno"`
	Seq              Seq             `json:"conta"`
	Token            FencingToken    `json:"sigillo"`
	PreemptionNotice *float64        `json:"preavviso_s"`
	Tasks            []TaskStatus    `json:"pezzi"`
}

// Command is one command to a worker.
type Command struct {
	Op          Op      `json:"gesto"`
	Task        string  `json:"pezzo"`
	Attempt     Attempt `json:"tentativo"`
	GracePeriod float64 `json:"tregua_s,omitempty"`
}

// CommandBatch is the answer to a report, or with a session a direct command.
type CommandBatch struct {
	Token    FencingToken `json:"sigillo"`
	Epoch    Epoch        `json:"turno,omitempty"`
	Commands []Command    `json:"ordini"`
}

// Redirect names the node a worker should report to.
type Redirect struct {
	Owner ControllerID `json:"capobottega,omitempty"`
}

// MachineType is the cloud's description of a type.
type MachineType struct {
	Name        MachineTypeName `json:"name"`
	CPUs        float64         `json:"cores"`
	GPUs        float64         `json:"gpus"`
	MemGB       float64         `json:"ram_gb"`
	CacheGB     float64         `json:"cache_gb"`
	FetchRate   float64         `json:"fetch_gb_per_s"`
	Price       float64         `json:"price"`
	SpotPrice   float64         `json:"spot_price"`
	BootSeconds float64         `json:"ready_s"`
	Zones       []Zone          `json:"cortili"`
}

// Capacity is what a machine of the type offers.
func (t *MachineType) Capacity() Resources {
	return Resources{ToQuantity(t.CPUs), ToQuantity(t.GPUs), ToQuantity(t.MemGB)}
}

// MachineTypes is the cloud's catalogue.
type MachineTypes struct {
	Types []MachineType `json:"banchi"`
}

// ScaleOutRequest asks for machines.
type ScaleOutRequest struct {
	Name  string          `json:"noleggio"`
	Type  MachineTypeName `json:"banco"`
	Zone  Zone            `json:"cortile"`
	Spot  bool            `json:"avanzi"`
	Count int             `json:"number"`
}

// MachineIDList answers a rental and asks for a deletion.
type MachineIDList struct {
	Machines []MachineID `json:"torni"`
}

// Instance is a machine in the cloud's list.
type Instance struct {
	ID         MachineID       `json:"ref"`
	Address    string          `json:"address"`
	Type       MachineTypeName `json:"banco"`
	Zone       Zone            `json:"cortile"`
	Spot       bool            `json:"avanzi"`
	State      MachineState    `json:"stato"`
	AgeSeconds float64         `json:"age_s"`
}

// InstanceList is a page of the cloud's list.
type InstanceList struct {
	Machines []Instance `json:"torni"`
	More     bool       `json:"more"`
}

// KeyValue is a key with its value and version.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version Revision        `json:"ritocco"`
}

// KeyPage is a page of keys.
type KeyPage struct {
	Pairs    []KeyValue `json:"pairs"`
	More     bool       `json:"more"`
	Revision Revision   `json:"registro"`
}

// Condition requires a key's version; 0 requires its absence.
type Condition struct {
	Key     string   `json:"k"`
	Version Revision `json:"ritocco"`
}

// Write is a put or, with Drop set, a delete.
type Write struct {
	Put   string          `json:"write,omitempty"`
	Value json.RawMessage `json:"data,omitempty"`
	Lease LeaseID         `json:"affitto,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// Txn is a conditional atomic write.
type Txn struct {
	If     []Condition `json:"if"`
	Writes []Write     `json:"writes"`
}

// TxnResponse is the outcome of a Txn.
type TxnResponse struct {
	Failed   []string `json:"failed,omitempty"`
	Revision Revision `json:"registro"`
}

// Change is one change of a key.
type Change struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Version Revision        `json:"ritocco"`
}

// Changes answers a watch.
type Changes struct {
	Revision Revision `json:"registro"`
	Log      []Change `json:"log"`
}

// LeaseRequest requests a lease, LeaseResponse grants it.
type LeaseRequest struct {
	TTL int64 `json:"life_ms"`
}

// LeaseResponse names a lease.
type LeaseResponse struct {
	Lease LeaseID `json:"affitto"`
}
