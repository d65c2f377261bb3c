package core

// This file contains queries on machine types: which of them can run a job, and how long they take
// to boot and to fetch images.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// MachineOffer is a type, zone and pricing of machines that can be requested from the cloud.
type MachineOffer struct {
	Type api.MachineTypeName
	Zone api.Zone
	Spot bool
}

// AddMachineTypes adds machine types to the known ones, replacing types of the same name.
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

// BootSeconds returns the boot time of a machine type in seconds; 0 if the type is unknown.
func (k *Core) BootSeconds(t api.MachineTypeName) float64 {
	if machineType := k.MachineTypes[t]; machineType != nil {
		return machineType.BootSeconds
	}
	return 0
}

// IsCPUOnly reports whether some type without accelerators can run the job's tasks. Machines with
// accelerators are neither requested nor kept for such jobs: they cost more, and whole machines
// should stay free for jobs that need accelerators.
func (k *Core) IsCPUOnly(s *api.JobSpec) bool {
	demand := s.Demand()
	for _, t := range k.MachineTypes {
		if t.GPUs == 0 && allowsType(s, t.Name) && demand.Fits(t.Capacity()) {
			return true
		}
	}
	return false
}

func allowsType(s *api.JobSpec, typ api.MachineTypeName) bool {
	return len(s.Types) == 0 || slices.Contains(s.Types, typ)
}

// IsEligible reports whether a job's tasks may run on a machine of the given type, zone and
// pricing. CPU-only jobs do not run on machines with accelerators.
func (k *Core) IsEligible(s *api.JobSpec, cpuOnly bool, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	if cpuOnly && k.HasAccelerators(typ) {
		return false
	}
	return sched.Feasible(s, typ, zone, spot)
}

// SlowestFetchRate returns the lowest image fetch rate of the machine types that can run the job; 1
// if none is known.
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
