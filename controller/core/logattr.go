package core

// This file defines the log attributes of jobs.

import (
	"log/slog"

	"basaltwall/api"
)

// SpecAttr returns a job's specification as a log attribute. It is logged when a job is accepted,
// when it starts and when it ends, because the controller that accepted the job may be gone by
// then.
func SpecAttr(spec *api.JobSpec) slog.Attr {
	return slog.Group("asks", "class", spec.Class, "team", spec.Team, "priority", spec.Priority, "form", spec.Kind,
		"tasks", spec.Tasks, "cpus", spec.CPUs, "gpus", spec.GPUs, "mem_gb", spec.MemGB)
}

// TenantAttr returns the tenant of a job as a log attribute; it is empty for a job without a
// tenant.
func TenantAttr(j *Job) slog.Attr {
	if j.Tenant == "" {
		return slog.Attr{}
	}
	return slog.Group("tenant", "name", j.Tenant, "ref", string(j.TenantJobID))
}
