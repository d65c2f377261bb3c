// Machines: what a round knows of them, and which jobs may use them.

package sched

import (
	"slices"

	"basaltwall/api"
)

// Machine is a machine that may take tasks in a round.
type Machine struct {
	ID              api.MachineID
	Type            api.MachineTypeName
	Zone            api.Zone
	Spot            bool
	Free            api.Resources
	GPU             bool    // the type has accelerators
	AcceleratorOnly bool    // only for work that needs its accelerators
	FastStart       bool    // of a type that latency-sensitive work needs
	Surplus         bool    // beyond what the load needs: used last, so that it can be scaled in
	Slowdown        float64 // run time of tasks here relative to other machines; 0: not known
	CachedImages    map[api.Image]CachedImage
	FetchRate       float64      // GB per second
	FetchingImages  []ImageFetch // fetches under way: they may share the rate
	ReservedFor     api.JobID    // only for this job, for which tasks were preempted or capacity is gathered
	SoftReservation bool         // work of a higher rank than ReservationRank may use it nevertheless
	ReservationRank int
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

// Eligible reports whether a job may use the machine at all: the machine may be reserved for
// another job, be limited to work that needs its accelerators, or be one on which the job failed.
func (m *Machine) Eligible(j *Job) bool {
	return m.openTo(j) && !m.withholdsAccelerators(j) && !j.ExcludedMachines[m.ID] && Feasible(j.Spec, m.Type, m.Zone, m.Spot)
}

// openTo reports whether no reservation keeps a job off the machine.
func (m *Machine) openTo(j *Job) bool {
	return m.ReservedFor == "" || m.ReservedFor == j.Spec.Ref || m.SoftReservation && j.Spec.Priority.Rank() > m.ReservationRank
}

// withholdsAccelerators reports whether a job that can do without accelerators is kept off the
// machine for the sake of them. A service, which never ends, would block them for good.
func (m *Machine) withholdsAccelerators(j *Job) bool {
	return j.AcceleratorOptional && m.GPU && (m.AcceleratorOnly || j.Spec.Kind == api.Service)
}

// HasImage reports whether an image is in the machine's cache.
func (m *Machine) HasImage(img api.Image) bool {
	_, ok := m.CachedImages[img]
	return ok
}

// FetchTime is how many seconds remain until a job's image is on the machine: as long as all
// fetches of the machine together, since they may share the rate.
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

// Feasible reports whether the job's constraints allow the machine, the job's other tasks aside.
func Feasible(s *api.JobSpec, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	return (len(s.Types) == 0 || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// ZoneFeasible reports whether one more task of the job may go into the zone, given its tasks by zone.
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
