// This file holds the messages between controllers and workers: heartbeats and commands.

package api

// Paths of the workers' protocol.
const (
	PathHeartbeat = "/checkin"
	PathCommands  = "/commands"
)

// TaskState is the state of a task as reported by its worker.
type TaskState string

// The states of a task.
const (
	TaskFetching      TaskState = "fetching"
	TaskWaiting       TaskState = "waiting"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "flushing"
	TaskExited        TaskState = "ended"
)

// Reason is the reason why a task ended.
type Reason string

// The reasons why a task ended.
const (
	ReasonDone           Reason = "done"
	ReasonStopped        Reason = "halted"
	ReasonGangPeersLost  Reason = "mates_gone" // other tasks of the gang ended
	ReasonGangIncomplete Reason = "incomplete" // not all tasks of the gang started
	ReasonError          Reason = "error"
	ReasonNoCapacity     Reason = "full"    // the machine has too little free capacity for the task
	ReasonBusy           Reason = "in_use"  // an earlier attempt of the task is still on the machine
	ReasonUnknown        Reason = "no_such" // the worker does not know the task
)

// Op is the operation of a command to a worker.
type Op string

// The operations.
const (
	OpStart Op = "launch"
	OpStop  Op = "halt"
	OpReap  Op = "reap" // remove an exited task from the heartbeats
)

// TaskStatus is the status of one task in a worker's heartbeat.
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
	PreemptionNotice *float64        `json:"preavviso_s"` // seconds until the cloud reclaims a spot machine; nil: no notice
	Tasks            []TaskStatus    `json:"pezzi"`
}

// Command is a command to a worker. The grace period is in seconds.
type Command struct {
	Op          Op      `json:"gesto"`
	Task        string  `json:"pezzo"`
	Attempt     Attempt `json:"tentativo"`
	GracePeriod float64 `json:"tregua_s,omitempty"`
}

// CommandBatch is the response to a heartbeat or, with an epoch, a direct call to a worker.
type CommandBatch struct {
	Token    FencingToken `json:"sigillo"`
	Epoch    Epoch        `json:"turno,omitempty"`
	Commands []Command    `json:"ordini"`
}

// Redirect names the controller to which a worker must send its heartbeats.
type Redirect struct {
	Owner ControllerID `json:"capobottega,omitempty"`
}
