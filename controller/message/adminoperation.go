package message

// This file holds the operations that operators may request.

// AdminOperation is the operation that an AdminRequest asks for. Its value is sent in forwarded
// requests and recorded as the action in the audit log.
type AdminOperation string

// Operations of any service.
const (
	AdminMetrics        AdminOperation = "metrics"
	AdminMembers        AdminOperation = "members"
	AdminPartitions     AdminOperation = "parts"
	AdminMachines       AdminOperation = "machines"
	AdminTeams          AdminOperation = "teams"
	AdminJobs           AdminOperation = "jobs"
	AdminJob            AdminOperation = "job"
	AdminSkips          AdminOperation = "skips"    // of one depot, or the counts of all depots
	AdminChangeSkip     AdminOperation = "skips-do" // AdminRequest.Sub is the kind of change
	AdminSettings       AdminOperation = "settings"
	AdminChangeSettings AdminOperation = "set"
	AdminDrain          AdminOperation = "drain"
	AdminUndrain        AdminOperation = "undrain"
)

// Operations of a hosted service.
const (
	AdminTenants           AdminOperation = "tenants"
	AdminTenant            AdminOperation = "tenant"
	AdminUsage             AdminOperation = "usage"
	AdminPutTenant         AdminOperation = "tenant-put"
	AdminSuspendTenant     AdminOperation = "suspend"
	AdminResumeTenant      AdminOperation = "resume"
	AdminRemoveTenant      AdminOperation = "remove"
	AdminAddKey            AdminOperation = "key-add"
	AdminRevokeKey         AdminOperation = "key-revoke"
	AdminOperators         AdminOperation = "operators"
	AdminPutOperators      AdminOperation = "operators-put"
	AdminAddOperatorKey    AdminOperation = "operators-key-add"
	AdminRevokeOperatorKey AdminOperation = "operators-key-revoke"
	AdminPutTeam           AdminOperation = "team-put"
	AdminRemoveTeam        AdminOperation = "team-remove"
	AdminPools             AdminOperation = "pools"
	AdminPool              AdminOperation = "pool"
	AdminPutPool           AdminOperation = "pool-put"
	AdminRemovePool        AdminOperation = "pool-remove"
	AdminAudit             AdminOperation = "audit"
)

// AddsKey reports whether the operation generates a key, from random bytes in the request.
func (o AdminOperation) AddsKey() bool { return o == AdminAddKey || o == AdminAddOperatorKey }
