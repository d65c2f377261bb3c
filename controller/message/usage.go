package message

// TenantQuery asks for a tenant's own: a page of its jobs that are not over, or its usage.
type TenantQuery struct {
	Req    ReqID
	What   string // "jobs" or "usage"
	After  string
	Limit  int
	Caller Caller
}
