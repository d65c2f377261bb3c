// This file holds the messages between controllers and the cloud: machine types and instances.

package api

// Paths of the cloud's protocol.
const (
	PathMachineTypes    = "/machine_types"
	PathInstances       = "/hosts"
	PathDeleteInstances = "/hosts/delete"
)

// MachineState is the state of an instance as reported by the cloud.
type MachineState string

// The states of an instance.
const (
	MachineBooting MachineState = "starting"
	MachineRunning MachineState = "running"
	MachineFailed  MachineState = "failed"
)

// NoCapacity is the cloud's error text if no machine of the requested type is available.
const NoCapacity = "no capacity"

// MachineType is the cloud's description of a machine type.
type MachineType struct {
	Name        MachineTypeName `json:"name"`
	CPUs        float64         `json:"cores"`
	GPUs        float64         `json:"gpus"`
	MemGB       float64         `json:"ram_gb"`
	CacheGB     float64         `json:"cache_gb"`
	FetchRate   float64         `json:"fetch_gb_per_s"`
	Price       float64         `json:"price"`
	SpotPrice   float64         `json:"spot_price"`
	BootSeconds float64         `json:"ready_s"` // from the scale-out request until the worker runs
	Zones       []Zone          `json:"cortili"`
}

// Capacity returns the resources of a machine of the type.
func (t *MachineType) Capacity() Resources {
	return Resources{CPU: ToQuantity(t.CPUs), GPU: ToQuantity(t.GPUs), Mem: ToQuantity(t.MemGB)}
}

// MachineTypes is the cloud's catalogue of machine types.
type MachineTypes struct {
	Types []MachineType `json:"banchi"`
}

// ScaleOutRequest requests new machines. Its name is an idempotency key.
type ScaleOutRequest struct {
	Name  string          `json:"noleggio"`
	Type  MachineTypeName `json:"banco"`
	Zone  Zone            `json:"cortile"`
	Spot  bool            `json:"avanzi"`
	Count int             `json:"number"`
}

// MachineIDList is the response to a scale-out request, and the body of a deletion request.
type MachineIDList struct {
	Machines []MachineID `json:"torni"`
}

// Instance is a machine in the cloud's list of instances.
type Instance struct {
	ID         MachineID       `json:"ref"`
	Address    string          `json:"address"`
	Type       MachineTypeName `json:"banco"`
	Zone       Zone            `json:"cortile"`
	Spot       bool            `json:"avanzi"`
	State      MachineState    `json:"stato"`
	AgeSeconds float64         `json:"age_s"`
}

// InstanceList is a page of the cloud's list of instances.
type InstanceList struct {
	Machines []Instance `json:"torni"`
	More     bool       `json:"more"`
}
