package admin

// This file holds the bodies of the subcommands' requests. Fields are sorted by JSON name, which is their
// order on the wire.

import (
	"time"

	"basaltwall/api"
)

// revisioned is a request that contains the revision of the resource to change.
type revisioned interface{ setRevision(api.Revision) }

// revision is the revision of a resource. It is embedded in requests, and is itself the body of requests
// without other fields.
type revision struct {
	Revision api.Revision `json:"revision"`
}

func (r *revision) setRevision(current api.Revision) { r.Revision = current }

// tenantRequest sets the attributes of a tenant.
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

type suspendRequest struct {
	DrainSeconds float64 `json:"drain_s"`
	revision
	Reason string `json:"why"`
}

type removeTenantRequest struct {
	CancelJobs bool `json:"cancel"`
	revision
}

// keyRequest creates a key.
type keyRequest struct {
	Expires int64  `json:"expires,omitempty"` // Unix milliseconds; 0 for never
	Name    string `json:"name"`
	revision
}

// newKeyRequest returns a request for a key with a lifetime; 0 means unlimited.
func newKeyRequest(name string, lifetime time.Duration) keyRequest {
	request := keyRequest{Name: name}
	if lifetime > 0 {
		request.Expires = time.Now().Add(lifetime).UnixMilli()
	}
	return request
}

// operatorKeyRequest creates an operator's key.
type operatorKeyRequest struct {
	keyRequest
	Role string `json:"role"`
}

// operatorsRequest sets the operators' networks and proxies, and the resources reserved for teams.
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
	MaxSize    int            `json:"largest"`
	Reclaim    bool           `json:"reclaim"`
	revision
	Size    int      `json:"size"`
	Teams   []string `json:"teams"`
	Tenants []string `json:"tenants"`
	Unit    string   `json:"unit"`
}

// reserveRequest offers or promises a skip: either a free one for a period, or the skip of an earlier offer,
// given by its number. Nil fields are omitted.
type reserveRequest struct {
	HoldSeconds *float64 `json:"for_s,omitempty"` // only in an offer
	From        *string  `json:"from,omitempty"`
	Kind        *string  `json:"kind,omitempty"`
	Name        string   `json:"name"`
	Number      uint64   `json:"number,omitempty"`
	Site        *string  `json:"site,omitempty"` // only in a promise
	Skip        string   `json:"skip"`
	To          *string  `json:"to,omitempty"`
}

// bookingRequest changes the offer or promise with a number.
type bookingRequest struct {
	Number uint64 `json:"number"`
	Skip   string `json:"skip"`
}

// skipRequest takes a skip out of service or returns it to service.
type skipRequest struct {
	Skip string `json:"skip"`
}

// importRequest adds skips to a depot.
type importRequest struct {
	Skips []importedSkip `json:"skips"`
}

type importedSkip struct {
	Skip string `json:"skip"`
	Kind string `json:"kind"`
}
