package message

// ListHistory asks for a page of the tenant's finished jobs.
type ListHistory struct {
	Req    ReqID
	After  string
	Limit  int
	Caller Caller
}
