package core

// This file has the attributes that log lines about jobs share.

import (
	"log/slog"

	"basaltwall/api"
)

// SpecAttr is what a job asks for. The lines of its acceptance, its start and its end all have
// it, as the first may be in the log of a controller that is gone.
func SpecAttr(s *api.JobSpec) slog.Attr {
	return slog.Group("asks", "class", s.Class, "team", s.Team, "priority", s.Priority, "form", s.Kind, "tasks", s.Tasks,
		"cpus", s.CPUs, "gpus", s.GPUs, "mem_gb", s.MemGB)
}

// TenantAttr is whose a job is; empty in a service without tenants.
func TenantAttr(j *Job) slog.Attr {
	if j.Tenant == "" {
		return slog.Attr{}
	}
	return slog.Group("tenant", "name", j.Tenant, "ref", string(j.TenantJobID))
}
