package message

// This file holds what operators may ask.

// AdminOperation says what an AdminRequest asks. Its text is the wire of a forwarded request, and the
// action that the audit names.
type AdminOperation string

// Operations of any service.
const (
	AdminMetrics           AdminOperation = "metrics"
	AdminMembers           AdminOperation = "members"
	AdminPartitions        AdminOperation = "parts"
	AdminMachines          AdminOperation = "machines"
	AdminTeams             AdminOperation = "teams"
	AdminJobs              AdminOperation = "jobs"
	AdminJob               AdminOperation = "job"
	AdminReservations      AdminOperation = "skips"    // of a depot, or without one the counts of all
	AdminChangeReservation AdminOperation = "skips-do" // AdminRequest.Sub says how
	AdminSettings          AdminOperation = "settings"
	AdminChangeSettings    AdminOperation = "set"
	AdminDrain             AdminOperation = "drain"
	AdminUndrain           AdminOperation = "undrain"
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

// AddsKey reports whether the operation makes a key, for which the request brings random bytes.
func (o AdminOperation) AddsKey() bool { return o == AdminAddKey || o == AdminAddOperatorKey }
