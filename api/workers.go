// Messages between controllers and workers: heartbeats and commands. Themed protocol names live
// only in the tags and constants here.

package api

// Paths of the workers' protocol.
const (
	PathHeartbeat = "/checkin"
	PathCommands  = "/commands"
)

// TaskState is a task's state as its worker sees it.
type TaskState string

// The states of a task.
const (
	TaskFetching      TaskState = "fetching"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "ended"
)

// Reason is why a task ended.
type Reason string

// The reasons.
const (
	ReasonDone           Reason = "done"
	ReasonStopped        Reason = "halted"
	ReasonGangPeersLost  Reason = "mates_gone" // other tasks of the gang ended
	ReasonGangIncomplete Reason = "incomplete" // not all tasks of the gang started
	ReasonError          Reason = "error"
	ReasonNoCapacity     Reason = "full"    // the machine has no free capacity for it
	ReasonBusy           Reason = "in_use"  // an earlier attempt is still on the machine
	ReasonUnknown        Reason = "no_such" // the worker does not know the task
)

// Op is the operation of a command to a worker.
type Op string

// The operations.
const (
	OpStart Op = "launch"
	OpStop  Op = "halt"
	OpReap  Op = "reap" // forget an exited task
)

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Task         string    `json:"pezzo"`
	Attempt      Attempt   `json:"tentativo"`
	State        TaskState `json:"stato"`
	Reason       Reason    `json:"motivo,omitempty"`
	Checkpointed bool      `json:"saved,omitempty"`
}

// Heartbeat is a worker's periodic message with its complete state.
type Heartbeat struct {
	Machine          MachineID       `json:"tornio"`
	Address          string          `json:"address"`
	Type             MachineTypeName `json:"banco"`
	Zone             Zone            `json:"cortile"`
	Spot             bool            `json:"avanzi"`
	Epoch            Epoch           `json:"turno"`
	Seq              Seq             `json:"conta"`
	Token            FencingToken    `json:"sigillo"`
	PreemptionNotice *float64        `json:"preavviso_s"` // seconds until the cloud takes a spot machine; nil: none
	Tasks            []TaskStatus    `json:"pezzi"`
}

// Command is one command to a worker. The grace period is in seconds.
type Command struct {
	Op          Op      `json:"gesto"`
	Task        string  `json:"pezzo"`
	Attempt     Attempt `json:"tentativo"`
	GracePeriod float64 `json:"tregua_s,omitempty"`
}

// CommandBatch is the answer to a heartbeat or, with an epoch, a message of its own.
type CommandBatch struct {
	Token    FencingToken `json:"sigillo"`
	Epoch    Epoch        `json:"turno,omitempty"`
	Commands []Command    `json:"ordini"`
}

// Redirect names the controller that a worker should send its heartbeats to.
type Redirect struct {
	Owner ControllerID `json:"capobottega,omitempty"`
}
