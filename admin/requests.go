package admin

// This file holds the bodies of the requests that subcommands send. Fields are in the order of their
// names in JSON, which is the order on the wire.

import (
	"time"

	"basaltwall/api"
)

// revisioned is a request that names the revision it changes.
type revisioned interface{ setRevision(api.Revision) }

// revision is the part of a resource, and of a request that changes it, that says which revision is
// meant. Alone it is the body of a change that needs nothing more.
type revision struct {
	Revision api.Revision `json:"revision"`
}

func (r *revision) setRevision(current api.Revision) { r.Revision = current }

// tenantRequest sets what is agreed with a tenant.
type tenantRequest struct {
	Burst            float64  `json:"burst"`
	Display          string   `json:"display"`
	Networks         []string `json:"networks"`
	OpenJobs         int      `json:"open_jobs"`
	Rate             float64  `json:"rate"`
	RetentionSeconds float64  `json:"retention_s"`
	revision
	Teams []string `json:"teams"`
}

// suspendRequest suspends a tenant.
type suspendRequest struct {
	DrainSeconds float64 `json:"drain_s"`
	revision
	Reason string `json:"why"`
}

// removeTenantRequest removes a tenant.
type removeTenantRequest struct {
	CancelJobs bool `json:"cancel"`
	revision
}

// keyRequest makes a key.
type keyRequest struct {
	Expires int64  `json:"expires,omitempty"` // Unix milliseconds; 0 for never
	Name    string `json:"name"`
	revision
}

// newKeyRequest returns the request for a key that expires after a lifetime, or never if that is 0.
func newKeyRequest(name string, lifetime time.Duration) keyRequest {
	request := keyRequest{Name: name}
	if lifetime > 0 {
		request.Expires = time.Now().Add(lifetime).UnixMilli()
	}
	return request
}

// operatorKeyRequest makes a key of an operator.
type operatorKeyRequest struct {
	keyRequest
	Role string `json:"role"`
}

// operatorsRequest sets what holds for all operators.
type operatorsRequest struct {
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	Networks []string `json:"networks"`
	Proxies  []string `json:"proxies"`
	revision
}

// teamRequest sets a team's guarantee and limit.
type teamRequest struct {
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
	revision
}

// poolRequest sets a pool of counted resources.
type poolRequest struct {
	Frozen     bool           `json:"frozen"`
	Guaranteed map[string]int `json:"guaranteed"`
	Largest    int            `json:"largest"`
	Reclaim    bool           `json:"reclaim"`
	revision
	Size    int      `json:"size"`
	Teams   []string `json:"teams"`
	Tenants []string `json:"tenants"`
	Unit    string   `json:"unit"`
}

// reserveRequest offers or promises a skip: the one that was offered under a number, or a free one
// for a time. What is nil does not belong to the request.
type reserveRequest struct {
	HoldSeconds *float64 `json:"for_s,omitempty"` // of an offer
	From        *string  `json:"from,omitempty"`
	Kind        *string  `json:"kind,omitempty"`
	Name        string   `json:"name"`
	Number      uint64   `json:"number,omitempty"`
	Site        *string  `json:"site,omitempty"` // of a promise
	Skip        string   `json:"skip"`
	To          *string  `json:"to,omitempty"`
}

// reservationRequest changes the offer or promise of a skip that has a number.
type reservationRequest struct {
	Number uint64 `json:"number"`
	Skip   string `json:"skip"`
}

// skipRequest takes a skip out of service or puts it into service.
type skipRequest struct {
	Skip string `json:"skip"`
}

// importRequest adds skips to a depot.
type importRequest struct {
	Skips []importedSkip `json:"skips"`
}

// importedSkip is a skip that is added.
type importedSkip struct {
	Skip string `json:"skip"`
	Kind string `json:"kind"`
}
