package core

// This file holds the log attributes of jobs.

import (
	"log/slog"

	"basaltwall/api"
)

// SpecAttr is what a job asks for, as a log attribute. It is logged when a job is accepted, when
// it starts and when it ends, as another controller, which may be gone by then, may have
// accepted the job.
func SpecAttr(spec *api.JobSpec) slog.Attr {
	return slog.Group("asks", "class", spec.Class, "team", spec.Team, "priority", spec.Priority, "form", spec.Kind,
		"tasks", spec.Tasks, "cpus", spec.CPUs, "gpus", spec.GPUs, "mem_gb", spec.MemGB)
}

// TenantAttr is the tenant that a job belongs to, as a log attribute; it is empty where the
// service has no tenants.
func TenantAttr(j *Job) slog.Attr {
	if j.Tenant == "" {
		return slog.Attr{}
	}
	return slog.Group("tenant", "name", j.Tenant, "ref", string(j.TenantJobID))
}
