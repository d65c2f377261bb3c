package core

// This file holds what is asked of machine types: which of them can run a job, and at what cost in
// time.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// MachineOffer is a kind of machine that can be requested from the cloud.
type MachineOffer struct {
	Type api.MachineTypeName
	Zone api.Zone
	Spot bool
}

// AddMachineTypes adds the machine types to those that are known; types of the same name are
// replaced.
func (k *Core) AddMachineTypes(types []api.MachineType) {
	for _, t := range types {
		k.MachineTypes[t.Name] = &t
		capacity, largest := t.Capacity(), k.LargestMachine
		k.LargestMachine = api.Resources{
			CPU: max(largest.CPU, capacity.CPU),
			GPU: max(largest.GPU, capacity.GPU),
			Mem: max(largest.Mem, capacity.Mem),
		}
	}
}

// HasAccelerators reports whether machines of a type have accelerators.
func (k *Core) HasAccelerators(t api.MachineTypeName) bool {
	machineType := k.MachineTypes[t]
	return machineType != nil && machineType.GPUs > 0
}

// BootSeconds is how long a machine of a type takes to boot, in seconds; 0 if the type is unknown.
func (k *Core) BootSeconds(t api.MachineTypeName) float64 {
	if machineType := k.MachineTypes[t]; machineType != nil {
		return machineType.BootSeconds
	}
	return 0
}

// IsCPUOnly reports whether a type without accelerators can take the job's tasks. Machines with
// accelerators are neither requested nor kept for such work: they cost more, and whole ones should
// be free for the work that needs them.
func (k *Core) IsCPUOnly(s *api.JobSpec) bool {
	demand := s.Demand()
	for _, t := range k.MachineTypes {
		if t.GPUs == 0 && allowsType(s, t.Name) && demand.Fits(t.Capacity()) {
			return true
		}
	}
	return false
}

// allowsType reports whether a job allows a machine type.
func allowsType(s *api.JobSpec, typ api.MachineTypeName) bool {
	return len(s.Types) == 0 || slices.Contains(s.Types, typ)
}

// IsEligible reports whether a job's tasks may run on a machine of that type, zone and price; work
// that needs CPUs only runs on none with accelerators.
func (k *Core) IsEligible(s *api.JobSpec, cpuOnly bool, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	if cpuOnly && k.HasAccelerators(typ) {
		return false
	}
	return sched.Feasible(s, typ, zone, spot)
}

// SlowestFetchRate is the lowest rate at which a machine type that can run the job fetches images;
// 1 if none is known.
func (k *Core) SlowestFetchRate(s *api.JobSpec) float64 {
	demand := s.Demand()
	slowest := 0.0
	for _, t := range k.MachineTypes {
		if t.FetchRate > 0 && (slowest == 0 || t.FetchRate < slowest) && allowsType(s, t.Name) && demand.Fits(t.Capacity()) {
			slowest = t.FetchRate
		}
	}
	if slowest == 0 {
		return 1
	}
	return slowest
}
