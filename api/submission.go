// This file parses and validates submitted jobs. Errors give the JSON name of the invalid field.

package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"basaltwall/internal/exactjson"
)

// Limits of a submission; lengths are in bytes.
const (
	maxTasks          = 100_000
	maxNumber         = 1e9 // limit of amounts and durations
	maxNameLength     = 200 // of a class, team, zone or machine type
	maxImageLength    = 500
	maxTypes          = 64
	maxPoolRequests   = 4
	maxPoolNameLength = 40
	maxUnits          = 1_000_000
)

var errNotJSONObject = errors.New("body is not a JSON object")

// rawSpec is a submission before validation. A nil field is missing in the JSON object.
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

// ParseJob decodes and validates a submission. The error names the first invalid field.
func ParseJob(body []byte) (*JobSpec, error) {
	var r rawSpec
	if err := exactjson.Decode(body, &r); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return nil, fmt.Errorf("%s: wrong type", typeError.Field)
		}
		return nil, errNotJSONObject
	}
	var v validator
	s := &JobSpec{}
	r.readIdentity(&v, s)
	r.readRequirements(&v, s)
	r.readPlacementRules(&v, s)
	r.readPoolRequests(&v, s)
	if v.invalidField != "" {
		return nil, fmt.Errorf("%s: missing or invalid", v.invalidField)
	}
	return s, nil
}

// validator records the first invalid field of a submission.
type validator struct{ invalidField string }

func (v *validator) require(ok bool, field string) {
	if !ok && v.invalidField == "" {
		v.invalidField = field
	}
}

// number requires a number from 0 to maxNumber and returns it.
func (v *validator) number(f *float64, field string) float64 {
	v.require(f != nil && *f >= 0 && *f <= maxNumber && !math.IsNaN(*f), field)
	return valueOrZero(f)
}

// flag requires a boolean and returns it.
func (v *validator) flag(b *bool, field string) bool {
	v.require(b != nil, field)
	return valueOrZero(b)
}

// validName reports whether a name is present, not empty and at most maxLength bytes long.
func validName[T ~string](name *T, maxLength int) bool {
	return name != nil && *name != "" && len(*name) <= maxLength
}

func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// readIdentity reads the job's id, class, team, kind, priority, number of tasks and image.
func (r *rawSpec) readIdentity(v *validator, s *JobSpec) {
	v.require(r.JobID != nil && ValidJobID(*r.JobID), "ref")
	v.require(validName(r.Class, maxNameLength), "mestiere")
	v.require(validName(r.Team, maxNameLength), "bottega")
	v.require(r.Kind != nil && slices.Contains([]Kind{Array, Gang, Service}, *r.Kind), "forma")
	v.require(r.Priority != nil && r.Priority.Rank() >= 0, "urgenza")
	v.require(r.Tasks != nil && *r.Tasks >= 1 && *r.Tasks <= maxTasks, "pezzi")
	v.require(validName(r.Image, maxImageLength), "stampo")
	s.Ref, s.Class, s.Team = JobID(valueOrZero(r.JobID)), valueOrZero(r.Class), valueOrZero(r.Team)
	s.Kind, s.Priority, s.Tasks = valueOrZero(r.Kind), valueOrZero(r.Priority), valueOrZero(r.Tasks)
	s.Image = valueOrZero(r.Image)
}

// readRequirements reads the resources of a task, the zone and spot options, and the durations.
func (r *rawSpec) readRequirements(v *validator, s *JobSpec) {
	s.CPUs = v.number(r.CPUs, "cores")
	s.GPUs = v.number(r.GPUs, "gpus")
	s.MemGB = v.number(r.MemGB, "ram_gb")
	s.ImageGB = v.number(r.ImageGB, "image_gb")
	s.OneZone = v.flag(r.OneZone, "together")
	s.Spread = v.flag(r.Spread, "scatter")
	s.Spot = v.flag(r.Spot, "avanzi")
	s.Estimate = v.number(r.Estimate, "stima_s")
	s.Checkpoint = v.number(r.Checkpoint, "tappa_s")
	s.Save = v.number(r.Save, "salvo_s")
	if r.Deadline != nil {
		v.number(r.Deadline, "consegna_s")
	}
	s.Deadline = r.Deadline
}

// readPlacementRules reads the allowed machine types and zone, and requires that a task requests at least
// one resource.
func (r *rawSpec) readPlacementRules(v *validator, s *JobSpec) {
	if r.Types != nil {
		v.require(len(*r.Types) > 0 && len(*r.Types) <= maxTypes, "banchi")
		for _, t := range *r.Types {
			v.require(validName(&t, maxNameLength), "banchi")
		}
		s.Types = *r.Types
	}
	if r.Zone != nil {
		v.require(validName(r.Zone, maxNameLength), "cortile")
		s.Zone = *r.Zone
	}
	v.require(s.CPUs > 0 || s.GPUs > 0 || s.MemGB > 0, "cores")
}

// readPoolRequests reads the requested pool units and requires that each pool occurs at most once.
func (r *rawSpec) readPoolRequests(v *validator, s *JobSpec) {
	v.require(len(r.Needs) <= maxPoolRequests, "gettoni")
	for i, n := range r.Needs {
		v.require(validName(&n.Pool, maxPoolNameLength), "gettoni.nome")
		v.require(!slices.ContainsFunc(r.Needs[:i], func(o PoolRequest) bool { return o.Pool == n.Pool }), "gettoni.nome")
		v.require(n.Task >= 0 && n.Task <= maxUnits, "gettoni.a_pezzo")
		v.require(n.Job >= 0 && n.Job <= maxUnits && n.Task+n.Job > 0, "gettoni.a_lavoro")
	}
	s.Needs = r.Needs
}
