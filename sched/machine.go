// Machines in the input of a round, and their eligibility for jobs.

package sched

import (
	"math"
	"slices"

	"basaltwall/api"
)

// Machine is a machine that may take tasks in a round.
type Machine struct {
	ID                  api.MachineID
	Type                api.MachineTypeName
	Zone                api.Zone
	Spot                bool
	Free                api.Resources
	TaskSlots           int     // number of tasks that it may still take; 0: no limit
	HasAccelerators     bool    // the type has accelerators
	AcceleratorOnly     bool    // only for jobs that need its accelerators
	ForLatencySensitive bool    // of a type that latency-sensitive jobs need
	Surplus             bool    // exceeds the demand: used last, so that it can be scaled in
	Slowdown            float64 // runtime of its tasks relative to other machines; 0: unknown
	CachedImages        map[api.Image]CachedImage
	FetchRate           float64      // GB per second
	FetchingImages      []ImageFetch // fetches in progress, which may share the rate
	ReservedFor         api.JobID    // only this job may use the machine; see SoftReservation
	SoftReservation     bool         // jobs of a higher rank than ReservationRank may use it too
	ReservationRank     int
}

// ImageFetch is an image that a machine is fetching.
type ImageFetch struct {
	Name           api.Image
	SizeGB         float64
	ElapsedSeconds float64 // since the fetch began
}

// CachedImage is an image in a machine's cache, as far as is known.
type CachedImage struct {
	SizeGB   float64
	LastUsed api.Time
}

// taskSlots returns the number of tasks that the machine may still take.
func (m *Machine) taskSlots() int {
	if m.TaskSlots > 0 {
		return m.TaskSlots
	}
	return math.MaxInt
}

// Eligible reports whether a job may use the machine: its constraints allow the machine, it has not
// failed there, and the machine is neither reserved for another job nor limited to jobs that need
// its accelerators.
func (m *Machine) Eligible(j *Job) bool {
	return m.reservationAllows(j) && !m.withholdsAccelerators(j) && !j.ExcludedMachines[m.ID] && Feasible(j.Spec, m.Type, m.Zone, m.Spot)
}

// reservationAllows reports whether the machine's reservation, if any, allows a job.
func (m *Machine) reservationAllows(j *Job) bool {
	return m.ReservedFor == "" || m.ReservedFor == j.Spec.Ref || m.SoftReservation && j.Spec.Priority.Rank() > m.ReservationRank
}

// withholdsAccelerators reports whether the machine rejects a job that can run without
// accelerators, to keep its accelerators free. A service never ends and would block them
// permanently.
func (m *Machine) withholdsAccelerators(j *Job) bool {
	return j.AcceleratorOptional && m.HasAccelerators && (m.AcceleratorOnly || j.Spec.Kind == api.Service)
}

// HasImage reports whether an image is in the machine's cache.
func (m *Machine) HasImage(img api.Image) bool {
	_, ok := m.CachedImages[img]
	return ok
}

// FetchTime returns the seconds until a job's image is on the machine. It is the time of all the
// machine's fetches together, since they may share the rate.
func (m *Machine) FetchTime(s *api.JobSpec) float64 {
	if m.FetchRate <= 0 || m.HasImage(s.Image) {
		return 0
	}
	totalGB, elapsed := s.ImageGB, 0.0
	for _, other := range m.FetchingImages {
		if other.Name == s.Image {
			elapsed = other.ElapsedSeconds
		} else {
			totalGB += other.SizeGB
		}
	}
	return max(0, totalGB/m.FetchRate-elapsed)
}

// Feasible reports whether the job's constraints allow a machine, regardless of the job's other
// tasks.
func Feasible(s *api.JobSpec, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneFeasible reports whether one more task of the job may be placed in a zone, given its tasks by
// zone.
func ZoneFeasible(s *api.JobSpec, zones map[api.Zone]int, z api.Zone) bool {
	if s.OneZone {
		for other, n := range zones {
			if n > 0 && other != z {
				return false
			}
		}
	}
	return !s.Spread || zones[z] < (s.Tasks+1)/2
}
