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
	PathJobs     = "/v1/jobs"
	PathHistory  = "/v1/history" // of a hosted service only
	PathUsage    = "/v1/usage"   // the same
	PathReady    = "/ready"
	PathCheckin  = "/checkin"
	PathCommands = "/commands"
	PathTypes    = "/machine_types"
	PathHosts    = "/hosts"
	PathDelete   = "/hosts/delete"
	PathKeys     = "/keys"
	PathMulti    = "/multi"
	PathLeases   = "/leases"
	PathChanges  = "/changes"
	EndCancel    = "withdraw"
	EndRenew     = "extend"
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

	TaskFetching TaskState = "fetching"
	TaskWaiting  TaskState = "waiting"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "flushing"
	TaskExited   TaskState = "ended"

	ReasonDone    Reason = "done"
	ReasonStopped Reason = "halted"
	ReasonPeers   Reason = "mates_gone"
	ReasonAlone   Reason = "incomplete"
	ReasonError   Reason = "error"
	ReasonNoRoom  Reason = "full"
	ReasonBusy    Reason = "in_use"
	ReasonUnknown Reason = "no_such"

	OpStart  Op = "launch"
	OpStop   Op = "halt"
	OpForget Op = "reap"

	MachineBooting MachineState = "starting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// Rank orders priorities, higher first served.
func (p Priority) Rank() int {
	return slices.Index([]Priority{Low, Normal, High, Production}, p)
}

// JobSpec is a job as submitted and as kept in the state service.
type JobSpec struct {
	Ref        JobRef     `json:"ref"`
	Class      Class      `json:"mestiere"`
	Team       Team       `json:"bottega"`
	Kind       Kind       `json:"forma"`
	Priority   Priority   `json:"urgenza"`
	Tasks      int        `json:"pezzi"`
	CPUs       float64    `json:"cores"`
	GPUs       float64    `json:"gpus"`
	MemGB      float64    `json:"ram_gb"`
	Image      Image      `json:"stampo"`
	ImageGB    float64    `json:"image_gb"`
	Types      []TypeName `json:"banchi,omitempty"`
	Zone       Zone       `json:"cortile,omitempty"`
	OneZone    bool       `json:"together,omitempty"`
	Spread     bool       `json:"scatter,omitempty"`
	Spot       bool       `json:"avanzi,omitempty"`
	Estimate   float64    `json:"stima_s"`
	Checkpoint float64    `json:"tappa_s,omitempty"`
	Save       float64    `json:"salvo_s,omitempty"`
	Deadline   *float64   `json:"consegna_s,omitempty"`
	Needs      []Need     `json:"gettoni,omitempty"` // of pools, in a hosted service
}

// PoolName names a pool of counted resources.
type PoolName string

// Need is what a job takes of a pool: so many units with each of its tasks, from its start to
// its end, and so many as long as any of its tasks is on a machine.
type Need struct {
	Pool PoolName `json:"nome"`
	Task int      `json:"a_pezzo,omitempty"`
	Job  int      `json:"a_lavoro,omitempty"`
}

// Units is what so many tasks take of it, the job's own part with it if it is not held yet.
func (n Need) Units(tasks int, held bool) int {
	u := n.Task * tasks
	if !held && tasks > 0 {
		u += n.Job
	}
	return u
}

// Need finds what the job takes of a pool.
func (s *JobSpec) Need(pool PoolName) (Need, bool) {
	i := slices.IndexFunc(s.Needs, func(n Need) bool { return n.Pool == pool })
	if i < 0 {
		return Need{}, false
	}
	return s.Needs[i], true
}

// AtOnce is how many of the job's tasks start together: a gang's all, else one.
func (s *JobSpec) AtOnce() int {
	if s.Kind == Gang {
		return s.Tasks
	}
	return 1
}

// OfJob reports whether the job takes units for itself.
func (s *JobSpec) OfJob() bool {
	return slices.ContainsFunc(s.Needs, func(n Need) bool { return n.Job > 0 })
}

// Demand is what one task takes.
func (s *JobSpec) Demand() Resources {
	return Resources{ToAmount(s.CPUs), ToAmount(s.GPUs), ToAmount(s.MemGB)}
}

// Whole reports whether the job's tasks constrain each other's placement, so
// that one part must hold them all.
func (s *JobSpec) Whole() bool {
	return s.Kind != Array || s.OneZone || s.Spread || s.OfJob()
}

type rawSpec struct {
	Ref        *string     `json:"ref"`
	Class      *Class      `json:"mestiere"`
	Team       *Team       `json:"bottega"`
	Kind       *Kind       `json:"forma"`
	Priority   *Priority   `json:"urgenza"`
	Tasks      *int        `json:"pezzi"`
	CPUs       *float64    `json:"cores"`
	GPUs       *float64    `json:"gpus"`
	MemGB      *float64    `json:"ram_gb"`
	Image      *Image      `json:"stampo"`
	ImageGB    *float64    `json:"image_gb"`
	Types      *[]TypeName `json:"banchi"`
	Zone       *Zone       `json:"cortile"`
	OneZone    *bool       `json:"together"`
	Spread     *bool       `json:"scatter"`
	Spot       *bool       `json:"avanzi"`
	Estimate   *float64    `json:"stima_s"`
	Checkpoint *float64    `json:"tappa_s"`
	Save       *float64    `json:"salvo_s"`
	Deadline   *float64    `json:"consegna_s"`
	Needs      []Need      `json:"gettoni"`
}

const maxTasks = 100_000

// Bounds on what a job asks of pools.
const (
	maxNeeds = 4
	maxUnits = 1_000_000
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
	var bad string
	check := func(ok bool, field string) {
		if !ok && bad == "" {
			bad = field
		}
	}
	num := func(f *float64, field string) float64 {
		check(f != nil && *f >= 0 && *f <= 1e9 && !math.IsNaN(*f), field)
		if f == nil {
			return 0
		}
		return *f
	}
	flag := func(b *bool, field string) bool {
		check(b != nil, field)
		return b != nil && *b
	}
	check(r.Ref != nil && ValidRef(*r.Ref), "ref")
	check(r.Class != nil && *r.Class != "" && len(*r.Class) <= 200, "mestiere")
	check(r.Team != nil && *r.Team != "" && len(*r.Team) <= 200, "bottega")
	check(r.Kind != nil && slices.Contains([]Kind{Array, Gang, Service}, *r.Kind), "forma")
	check(r.Priority != nil && r.Priority.Rank() >= 0, "urgenza")
	check(r.Tasks != nil && *r.Tasks >= 1 && *r.Tasks <= maxTasks, "pezzi")
	check(r.Image != nil && *r.Image != "" && len(*r.Image) <= 500, "stampo")
	s := &JobSpec{
		CPUs: num(r.CPUs, "cores"), GPUs: num(r.GPUs, "gpus"), MemGB: num(r.MemGB, "ram_gb"),
		ImageGB: num(r.ImageGB, "image_gb"), OneZone: flag(r.OneZone, "together"),
		Spread: flag(r.Spread, "scatter"), Spot: flag(r.Spot, "avanzi"),
		Estimate: num(r.Estimate, "stima_s"), Checkpoint: num(r.Checkpoint, "tappa_s"),
		Save: num(r.Save, "salvo_s"), Deadline: r.Deadline,
	}
	if r.Deadline != nil {
		num(r.Deadline, "consegna_s")
	}
	if r.Types != nil {
		check(len(*r.Types) > 0 && len(*r.Types) <= 64, "banchi")
		for _, t := range *r.Types {
			check(t != "" && len(t) <= 200, "banchi")
		}
		s.Types = *r.Types
	}
	if r.Zone != nil {
		check(*r.Zone != "" && len(*r.Zone) <= 200, "cortile")
		s.Zone = *r.Zone
	}
	check(s.CPUs > 0 || s.GPUs > 0 || s.MemGB > 0, "cores")
	check(len(r.Needs) <= maxNeeds, "gettoni")
	for i, n := range r.Needs {
		check(n.Pool != "" && len(n.Pool) <= 40, "gettoni.nome")
		check(!slices.ContainsFunc(r.Needs[:i], func(o Need) bool { return o.Pool == n.Pool }), "gettoni.nome")
		check(n.Task >= 0 && n.Task <= maxUnits, "gettoni.a_pezzo")
		check(n.Job >= 0 && n.Job <= maxUnits && n.Task+n.Job > 0, "gettoni.a_lavoro")
	}
	s.Needs = r.Needs
	if bad != "" {
		return nil, fmt.Errorf("%s: missing or invalid", bad)
	}
	s.Ref, s.Class, s.Team, s.Kind = JobRef(*r.Ref), *r.Class, *r.Team, *r.Kind
	s.Priority, s.Tasks, s.Image = *r.Priority, *r.Tasks, *r.Image
	return s, nil
}

// JobStatus answers a poll, a submission or a cancellation.
type JobStatus struct {
	Ref     JobRef   `json:"ref"`
	State   JobState `json:"stato"`
	Done    *int     `json:"done,omitempty"`
	Running *int     `json:"running,omitempty"`
}

// Final reports whether the state can't change any more.
func (s JobStatus) Final() bool { return s.State == JobDone || s.State == JobCancelled }

// NoCapacity is the cloud's word that it has no machine of the kind asked for.
const NoCapacity = "no capacity"

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string    `json:"pezzo"`
	Attempt Attempt   `json:"tentativo"`
	State   TaskState `json:"stato"`
	Reason  Reason    `json:"motivo,omitempty"`
	Saved   bool      `json:"saved,omitempty"`
}

// Report is a worker's message.
type Report struct {
	Machine MachineID    `json:"tornio"`
	Address string       `json:"address"`
	Type    TypeName     `json:"banco"`
	Zone    Zone         `json:"cortile"`
	Spot    bool         `json:"avanzi"`
	Session Session      `json:"turno"`
	Seq     Seq          `json:"conta"`
	Token   Token        `json:"sigillo"`
	Notice  *float64     `json:"preavviso_s"`
	Tasks   []TaskReport `json:"pezzi"`
}

// Order is one command to a worker.
type Order struct {
	Op      Op      `json:"gesto"`
	Task    string  `json:"pezzo"`
	Attempt Attempt `json:"tentativo"`
	Grace   float64 `json:"tregua_s,omitempty"`
}

// Orders is the answer to a report, or with a session a direct command.
type Orders struct {
	Token   Token   `json:"sigillo"`
	Session Session `json:"turno,omitempty"`
	Orders  []Order `json:"ordini"`
}

// Redirect names the node a worker should report to.
type Redirect struct {
	ReportTo Label `json:"capobottega,omitempty"`
}

// MachineType is the cloud's description of a type.
type MachineType struct {
	Name      TypeName `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"ram_gb"`
	CacheGB   float64  `json:"cache_gb"`
	FetchRate float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"spot_price"`
	Boot      float64  `json:"ready_s"`
	Zones     []Zone   `json:"cortili"`
}

// Capacity is what a machine of the type offers.
func (t *MachineType) Capacity() Resources {
	return Resources{ToAmount(t.CPUs), ToAmount(t.GPUs), ToAmount(t.MemGB)}
}

// MachineTypes is the cloud's catalogue.
type MachineTypes struct {
	Types []MachineType `json:"banchi"`
}

// RentRequest asks for machines.
type RentRequest struct {
	Name  string   `json:"noleggio"`
	Type  TypeName `json:"banco"`
	Zone  Zone     `json:"cortile"`
	Spot  bool     `json:"avanzi"`
	Count int      `json:"number"`
}

// MachineNames answers a rental and asks for a deletion.
type MachineNames struct {
	Machines []MachineID `json:"torni"`
}

// Host is a machine in the cloud's list.
type Host struct {
	ID      MachineID    `json:"ref"`
	Address string       `json:"address"`
	Type    TypeName     `json:"banco"`
	Zone    Zone         `json:"cortile"`
	Spot    bool         `json:"avanzi"`
	State   MachineState `json:"stato"`
	Age     float64      `json:"age_s"`
}

// HostList is a page of the cloud's list.
type HostList struct {
	Machines []Host `json:"torni"`
	More     bool   `json:"more"`
}

// Pair is a key with its value and version.
type Pair struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version Revision        `json:"ritocco"`
}

// KeyPage is a page of keys.
type KeyPage struct {
	Pairs    []Pair   `json:"pairs"`
	More     bool     `json:"more"`
	Revision Revision `json:"registro"`
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

// TxnAnswer is the outcome of a Txn.
type TxnAnswer struct {
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

// LeaseAsk requests a lease, LeaseAnswer grants it.
type LeaseAsk struct {
	TTL int64 `json:"life_ms"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease LeaseID `json:"affitto"`
}
